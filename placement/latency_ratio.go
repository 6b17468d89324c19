package placement

// latencyRatio is the moving average of the ratio of actual to expected latency at a server,
// or at the servers of a failure domain. Some requests take several times as long by
// nature, and others find an object cold that was expected to be warm. One of these alone
// hardly moves the average: a ratio of more than farRatio times the average is taken for
// farCap times it, unless the one before it was as far. From the second in a row on it
// counts in full, and with farWeight, since a server that has become slow is to be known
// after a handful of answers.
type latencyRatio struct {
	// far is set if the newest ratio was far above the average.
	far bool
}

const (
	// farRatio is above the usual slowdown of a shared machine, and below the usual ratio of
	// the latency of a cold object to that of a warm one.
	farRatio  = 3.0
	farCap    = 1.5
	farWeight = 0.35
)

// add returns the average after a new ratio, and whether the ratio counted in full.
func (r *latencyRatio) add(average, ratio, weight float64) (next float64, full bool) {
	wasFar := r.far
	r.far = ratio > farRatio*average
	switch {
	case !r.far:
		return ewma(average, ratio, weight), true
	case wasFar:
		return ewma(average, ratio, max(weight, farWeight)), true
	default:
		return ewma(average, farCap*average, weight), false
	}
}
