package placement

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

// shiftLimiter bounds how fast the share of shifted requests changes, that is
// of requests that run in another region than the first one that has a usable
// server for their object. When a load peak starts or ends, requests then move
// between regions gradually and overload the servers of neither. Requests that
// move because their region's servers have left or fail do not count.
type shiftLimiter struct {
	// maxShift bounds the change within a short time; zero means no bound.
	maxShift float64
	// shiftedShare is the moving average of the share of requests that were
	// shifted; baselineShare follows it with a delay.
	shiftedShare  float64
	baselineShare float64
	updatedAt     clock.Millis
}

const (
	// shiftWeight is the weight of the newest request in shiftedShare.
	shiftWeight = 1.0 / 30
	// shiftTimeConstant is the time constant with which baselineShare follows.
	shiftTimeConstant = 2 * clock.Second
	// shiftMargin is the fraction of the bound that is used, since requests are
	// not spread evenly over time and instances.
	shiftMargin = 0.4
)

// mayShift reports whether another request may leave its region.
func (l *shiftLimiter) mayShift(now clock.Millis) bool {
	if l.maxShift <= 0 {
		return true
	}
	l.advance(now)
	return l.shiftedShare <= l.baselineShare+l.maxShift*shiftMargin
}

// mustShift reports whether the share of shifted requests has fallen so far
// below the baseline that another request should leave its region.
func (l *shiftLimiter) mustShift(now clock.Millis) bool {
	if l.maxShift <= 0 {
		return false
	}
	l.advance(now)
	return l.shiftedShare < l.baselineShare-l.maxShift*shiftMargin
}

// record counts a request that was assigned to a server.
func (l *shiftLimiter) record(now clock.Millis, shifted bool) {
	l.advance(now)
	l.shiftedShare = ewma(l.shiftedShare, indicator(shifted), shiftWeight)
}

// advance moves the baseline forward to the given time.
func (l *shiftLimiter) advance(now clock.Millis) {
	l.baselineShare = ewma(l.baselineShare, l.shiftedShare, 1-clock.Decay(now-l.updatedAt, shiftTimeConstant))
	l.updatedAt = now
}

// idleServerOutside returns the preferred server with a free slot outside a
// region if it keeps the object warm and is expected to respond within the
// objective; otherwise it returns nil.
func (b *Balancer) idleServerOutside(now clock.Millis, q Query, region string) *candidate {
	others := values.NewSet[string]()
	for _, r := range b.services[q.Service].regions {
		if r.name != region {
			others = others.With(r.name)
		}
	}
	c := b.idleServer(now, q, others)
	if c == nil || !c.warm || c.latency > q.Objective {
		return nil
	}
	return c
}
