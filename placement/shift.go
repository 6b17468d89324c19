package placement

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

// detours bounds how fast the part of this instance's requests changes that run
// in another region than the one that the plan gives their objects. A crowd that
// comes or goes then moves requests between regions little by little, and the
// servers of neither region are run over. What moves because servers of a region
// have left or fail is no detour.
type detours struct {
	// share bounds the change within a short time; zero stands for no bound.
	share float64
	// present is the part of the latest requests that were moved, usual follows
	// it with time.
	present float64
	usual   float64
	seenAt  clock.Millis
}

const (
	// detourWeight is the weight of the newest request in the present part.
	detourWeight = 1.0 / 30
	// detourFade is the time constant with which the usual part follows.
	detourFade = 2 * clock.Second
	// detourMargin is the part of the bound that is used, for callers' requests
	// are not spread evenly over time and instances.
	detourMargin = 0.4
)

// mayMove reports whether one more request may leave its region.
func (d *detours) mayMove(now clock.Millis) bool {
	if d.share <= 0 {
		return true
	}
	d.advance(now)
	return d.present <= d.usual+d.share*detourMargin
}

// mustMove reports whether so few requests leave their region, measured by what
// was usual a moment ago, that one more should.
func (d *detours) mustMove(now clock.Millis) bool {
	if d.share <= 0 {
		return false
	}
	d.advance(now)
	return d.present < d.usual-d.share*detourMargin
}

// note counts a placed request.
func (d *detours) note(now clock.Millis, moved bool) {
	d.advance(now)
	d.present = blend(d.present, share(moved), detourWeight)
}

// advance lets time pass.
func (d *detours) advance(now clock.Millis) {
	d.usual = blend(d.usual, d.present, 1-clock.Fade(now-d.seenAt, detourFade))
	d.seenAt = now
}

// keepAway returns a server with a free slot outside a region, for a request
// that goes on being moved: one that has the object warm and answers within the
// objective. There may be none.
func (t *Balancer) keepAway(now clock.Millis, q Query, region string) *candidate {
	away := values.NewSet[string]()
	for _, r := range t.services[q.Service].regions {
		if r.name != region {
			away = away.With(r.name)
		}
	}
	c := t.idle(now, q, away)
	if c == nil || !c.warm || c.time > q.Objective {
		return nil
	}
	return c
}
