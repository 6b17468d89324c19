package lending

import "github.com/bulrushferry/bulrushferry/clock"

// demandEstimator estimates the rate of arriving requests by an exponentially
// weighted moving average.
type demandEstimator struct {
	// estimate is in requests per second, as of updatedAt.
	estimate  float64
	updatedAt clock.Millis
}

// demandWindow is the time constant of the moving average.
const demandWindow = clock.Second

// record adds one request to the estimate.
func (d *demandEstimator) record(now clock.Millis) {
	d.decay(now)
	d.estimate += 1 / demandWindow.Seconds()
}

// rate returns the estimate in requests per second.
func (d *demandEstimator) rate(now clock.Millis) float64 {
	d.decay(now)
	return d.estimate
}

func (d *demandEstimator) decay(now clock.Millis) {
	if now <= d.updatedAt {
		return
	}
	d.estimate *= clock.Decay(now-d.updatedAt, demandWindow)
	d.updatedAt = now
}
