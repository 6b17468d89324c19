package placement

// ewma returns an exponentially weighted moving average after a new sample.
func ewma(average, sample, weight float64) float64 {
	return average + (sample-average)*weight
}

// indicator returns 1 for true and 0 for false, as a sample of a rate.
func indicator(counted bool) float64 {
	if counted {
		return 1
	}
	return 0
}
