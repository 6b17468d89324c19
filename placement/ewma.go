package placement

// blend moves a running average towards a sample by the sample's weight.
func blend(average, sample, weight float64) float64 {
	return average + (sample-average)*weight
}

// share is what one event adds to a share of events: one where it is of the
// counted kind, else zero.
func share(counted bool) float64 {
	if counted {
		return 1
	}
	return 0
}
