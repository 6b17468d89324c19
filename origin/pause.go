package origin

import (
	"math"
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/clock"
)

// Pause is how long a server wants no requests, from the Retry-After field of a 503.
type Pause struct {
	// For is zero if the server wants no pause.
	For clock.Millis
	// Given is the field's value if For is not what it says, and empty otherwise.
	Given string
}

const (
	// maxPause limits a pause, so that a wrong value does not take a server out of use
	// for good.
	maxPause = 120 * clock.Second
	// unreadablePause replaces a value that is no number, such as a date: the clocks of
	// servers and instances differ.
	unreadablePause = clock.Second
	// maxLoggedValueBytes limits how much of a wrong value is kept for the log.
	maxLoggedValueBytes = 64
)

// parsePause parses the value of a Retry-After field, in seconds with or without
// fractions. A missing or negative value asks for no pause.
func parsePause(field []byte) Pause {
	value := strings.TrimSpace(string(field))
	if value == "" {
		return Pause{}
	}
	given := strconv.QuoteToASCII(value[:min(len(value), maxLoggedValueBytes)])
	seconds, err := strconv.ParseFloat(value, 64)
	switch {
	case math.IsNaN(seconds) || (err != nil && !math.IsInf(seconds, 0)):
		return Pause{For: unreadablePause, Given: given}
	case seconds < 0:
		return Pause{Given: given}
	case seconds > maxPause.Seconds():
		return Pause{For: maxPause, Given: given}
	default:
		return Pause{For: clock.Millis(math.Ceil(seconds * float64(clock.Second)))}
	}
}
