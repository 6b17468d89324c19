package placement

import (
	"math"

	"github.com/bulrushferry/bulrushferry/clock"
)

// balance limits a server to its part of a region's requests.
// Objects are bound to servers by hash, so some servers have twice as many as others, or
// the busier ones. A server whose reported load stays above the mean of its region keeps a
// share of the objects that rank it first; the others go to the server that ranks second
// for them. Which ones these are depends on the object and the server only, so instances
// that have learned about the same share agree, objects move one by one, and the moved
// ones stay warm where they went.
type balance struct {
	// usage is the moving average of the reported load in relation to the slots, as of
	// usageAt, which is zero if there was no report.
	usage   float64
	usageAt clock.Millis
	// share is the share of objects that are kept, as of shareAt.
	share   float64
	shareAt clock.Millis
	// logged is set from when the share has fallen to loggedShare until it is one again.
	logged bool
}

const (
	// usageTimeConstant averages over several reports and slow spells.
	usageTimeConstant = 8 * clock.Second
	// maxUsage bounds the effect of a server that reports a huge load on the mean.
	maxUsage = 3.0
	// maxRelativeUsage is the usage, in relation to the mean, above which the share
	// shrinks. Below the mean it grows again.
	maxRelativeUsage = 1.08
	// shareRate is how fast the logarithm of the share changes, per second and unit of
	// the relative usage that is too much or too little.
	shareRate = 0.12
	// minShare keeps a server in use for most of its objects, whatever it reports.
	minShare = 0.3
	// loggedShare is the share from which the loss of objects is worth a log line.
	loggedShare = 0.8
	// busyUsage is the usage below which requests hardly wait at a server: moving objects
	// would only add requests that find their object cold.
	busyUsage = 0.9
	// maxShareStep bounds the time for which one report moves the share.
	maxShareStep = 2 * clock.Second
	// Without a report for shareHold, a server gets its objects back with
	// shareTimeConstant.
	shareHold         = 6 * clock.Second
	shareTimeConstant = 2 * clock.Second
)

// recordUsage records a reported load, and adapts the share of objects that the server
// keeps.
func (s *serverState) recordUsage(now clock.Millis, load int) {
	if s.group == nil {
		return
	}
	b := &s.balance
	usage := min(float64(load)/float64(max(s.info.Slots, 1)), maxUsage)
	mean := s.group.usage.mean()
	share := b.current(now)
	if b.usageAt == 0 {
		s.group.usage.add(usage)
		b.usage = usage
	} else {
		next := ewma(b.usage, usage, 1-clock.Decay(now-b.usageAt, usageTimeConstant))
		s.group.usage.replace(b.usage, next)
		b.usage = next
	}
	b.usageAt = now
	step := min(now-b.shareAt, maxShareStep).Seconds()
	b.shareAt = now
	if missing := b.missing(mean); missing < 0 || share < 1 {
		share *= math.Exp(shareRate * step * missing)
	}
	b.share = min(max(share, minShare), 1)
}

// missing returns the relative usage that the server lacks; it is negative if it has too
// much.
func (b *balance) missing(mean float64) float64 {
	relative := b.usage / mean
	switch {
	case mean <= 0:
		return 1
	case relative < 1:
		return 1 - relative
	case b.usage < busyUsage:
		return 0
	case relative > maxRelativeUsage:
		return maxRelativeUsage - relative
	default:
		return 0
	}
}

// current returns the share, which returns to one without reports.
func (b *balance) current(now clock.Millis) float64 {
	if b.share == 0 || b.share == 1 {
		return 1
	}
	return 1 + (b.share-1)*clock.Decay(max(0, now-b.shareAt-shareHold), shareTimeConstant)
}

// logShare records for the log that a server has lost a part of its objects. A server that
// is no longer listed, but answers what it got before, has no group.
func (b *Balancer) logShare(s *serverState) {
	switch {
	case s.group == nil:
	case s.balance.share == 1:
		s.balance.logged = false
	case s.balance.share > 0 && s.balance.share <= loggedShare && !s.balance.logged:
		s.balance.logged = true
		b.recordEvent("backend server keeps a part of its objects", s, "share", round(s.balance.share),
			"usage", round(s.balance.usage), "mean_usage", round(s.group.usage.mean()))
	}
}

// round returns a number with two decimal places, for the log.
func round(value float64) float64 {
	return math.Round(value*100) / 100
}

// keeps reports whether a server keeps an object that ranks it first.
func (s *serverState) keeps(object uint64, now clock.Millis) bool {
	share := s.balance.current(now)
	if share >= 1 {
		return true
	}
	return objectPoint(s, object) < share
}

// objectPoint returns a point between zero and one for an object at a server, by which parts
// of its objects are formed. The hash differs from that of the ranking, whose first places
// have high values.
func objectPoint(s *serverState, object uint64) float64 {
	return float64(mixHashes(s.idHash, object)>>11) / (1 << 53)
}

// rebalance puts the first server that keeps the object in front of those that have too
// much to do. It reports whether the order has changed; it stays as it is if no server
// keeps the object.
func (r *ranking) rebalance(object uint64, now clock.Millis) bool {
	for i := range r.count {
		if !r.best[i].state.keeps(object, now) {
			continue
		}
		first := r.best[i]
		copy(r.best[1:i+1], r.best[:i])
		r.best[0] = first
		return i > 0
	}
	return false
}

// usageMean is the mean usage of the servers of a region that have reported their load.
type usageMean struct {
	sum   float64
	count int
}

func (m *usageMean) add(usage float64) {
	m.sum += usage
	m.count++
}

func (m *usageMean) replace(old, next float64) {
	m.sum += next - old
}

func (m *usageMean) remove(usage float64) {
	m.sum -= usage
	m.count--
	if m.count == 0 {
		m.sum = 0
	}
}

func (m *usageMean) mean() float64 {
	if m.count == 0 {
		return 0
	}
	return m.sum / float64(m.count)
}
