package clock

import "math"

// Fade returns the part that is left of a value after a span, where it fades with
// a time constant.
func Fade(span, constant Millis) float64 {
	return math.Exp(-float64(span) / float64(constant))
}
