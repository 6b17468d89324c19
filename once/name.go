// Package once makes sure that a request which may not be repeated runs at
// most once. A look-up hands out action prefixes that name the incarnation
// which issued them. Only that incarnation runs actions under its prefix, and
// it remembers each one for as long as the prefix is valid.
package once

import (
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

type (
	// ActionName is a parsed action name.
	ActionName struct {
		// Incarnation is the process that issued the name's prefix.
		Incarnation string
		// Epoch is the period in which the prefix was issued.
		Epoch int64
	}
)

const (
	// EpochLength is how long one prefix is handed out.
	EpochLength = 5 * 60 * clock.Second
	// epochsKept is the number of epochs in which an action is remembered.
	epochsKept = 3

	prefixMark      = "act"
	nameSeparator   = "."
	namePartCount   = 4
	maxActionLength = 256
)

// ActionPrefix returns the prefix that an incarnation hands out in an epoch. Callers
// append characters of their own that make the name unique.
func ActionPrefix(incarnation string, epoch int64) string {
	return strings.Join([]string{prefixMark, incarnation, strconv.FormatInt(epoch, 10), ""}, nameSeparator)
}

// EpochAt returns the epoch of a time.
func EpochAt(now clock.Millis) int64 {
	return int64(now / EpochLength)
}

// ParseActionName splits an action name that starts with a prefix. A name that its
// caller chose freely is absent.
func ParseActionName(action string) values.Option[ActionName] {
	parts := strings.SplitN(action, nameSeparator, namePartCount)
	if len(parts) != namePartCount || parts[0] != prefixMark || parts[3] == "" {
		return values.None[ActionName]()
	}
	epoch, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || parts[1] == "" {
		return values.None[ActionName]()
	}
	return values.Some(ActionName{Incarnation: parts[1], Epoch: epoch})
}

// ValidActionName reports whether an action name has an acceptable length and only
// printable characters.
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
