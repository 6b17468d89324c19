package once

import (
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

type (
	// ActionName is a parsed action name that starts with an action prefix.
	ActionName struct {
		// Incarnation is the process that issued the name's prefix.
		Incarnation string
		// Epoch is the period in which the prefix was issued.
		Epoch int64
	}
)

const (
	// EpochLength is the time for which an incarnation issues the same prefix.
	EpochLength = 5 * 60 * clock.Second
	// epochsRetained is the number of epochs for which an action is remembered,
	// including its own.
	epochsRetained = 3

	prefixTag       = "act"
	nameSeparator   = "."
	namePartCount   = 4
	maxActionLength = 256
)

// ActionPrefix returns the prefix that an incarnation issues in an epoch. Callers
// append their own characters to make the name unique.
func ActionPrefix(incarnation string, epoch int64) string {
	return strings.Join([]string{prefixTag, incarnation, strconv.FormatInt(epoch, 10), ""}, nameSeparator)
}

// EpochAt returns the epoch that contains a time.
func EpochAt(now clock.Millis) int64 {
	return int64(now / EpochLength)
}

// ParseActionName parses an action name that starts with an action prefix. It returns
// nothing for a name without one, which the caller chose freely.
func ParseActionName(action string) values.Option[ActionName] {
	parts := strings.SplitN(action, nameSeparator, namePartCount)
	if len(parts) != namePartCount || parts[0] != prefixTag || parts[3] == "" {
		return values.None[ActionName]()
	}
	epoch, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || parts[1] == "" {
		return values.None[ActionName]()
	}
	return values.Some(ActionName{Incarnation: parts[1], Epoch: epoch})
}

// ValidActionName reports whether an action name is not empty, not too long and
// consists of printable ASCII characters other than the space.
func ValidActionName(action string) bool {
	if action == "" || len(action) > maxActionLength {
		return false
	}
	for _, r := range action {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}
