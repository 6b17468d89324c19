package clock

import "math"

// Decay returns the fraction of a value that remains when it has decayed exponentially
// for the elapsed time with the given time constant.
func Decay(elapsed, timeConstant Millis) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}
