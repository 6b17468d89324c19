package clock

import "math"

// Decay returns the fraction of a value that remains after a span of exponential
// decay with the given time constant.
func Decay(span, timeConstant Millis) float64 {
	return math.Exp(-float64(span) / float64(timeConstant))
}
