package share

import "github.com/bulrushferry/bulrushferry/clock"

// demand estimates the rate of arriving requests with an exponential window.
type demand struct {
	level     float64
	updatedAt clock.Millis
}

// demandWindow is the time constant of the estimate.
const demandWindow = clock.Second

func (d *demand) add(now clock.Millis) {
	d.decay(now)
	d.level += 1 / demandWindow.Seconds()
}

// rate returns the estimate in requests per second.
func (d *demand) rate(now clock.Millis) float64 {
	d.decay(now)
	return d.level
}

func (d *demand) decay(now clock.Millis) {
	if now <= d.updatedAt {
		return
	}
	d.level *= clock.Fade(now-d.updatedAt, demandWindow)
	d.updatedAt = now
}
