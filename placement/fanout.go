package placement

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

type (
	// fanout adapts the number of servers that share the requests for one object. A
	// server keeps only a few objects warm. If requests for objects that a server
	// handled recently are often slow, there are too many servers per object. If
	// requests are refused beside servers with room, there can be more. If they are
	// refused and no server has room, more servers per object would only cost
	// warmth, and with it capacity.
	fanout struct {
		count int
		// missRate is the share of requests for objects expected to be warm that
		// were as slow as cold ones.
		missRate float64
		// refusedBesideRoom and refusedWhileFull are set if, since the last
		// adjustment, a request was refused while another server of its region had
		// a free slot, and while none had.
		refusedBesideRoom bool
		refusedWhileFull  bool
		adjustedAt        clock.Millis
	}

	// fanoutKey names the objects that have a fanout of their own: those of a service
	// that belong to one region. How many servers an object needs, and how many
	// objects there are for each server, differs between regions.
	fanoutKey struct{ service, region string }
)

const (
	initialFanout  = 1
	minFanout      = 1
	maxFanout      = 4
	missRateWeight = 0.03
	// highMissRate and lowMissRate are the miss rates above which the fanout
	// shrinks and below which it may grow.
	highMissRate = 0.2
	lowMissRate  = 0.05
	fanoutPeriod = clock.Second
)

func newFanout(now clock.Millis) *fanout {
	return &fanout{count: initialFanout, adjustedAt: now}
}

// recordWarmRequest records whether an object that was expected to be warm
// turned out to be cold.
func (f *fanout) recordWarmRequest(missed bool) {
	f.missRate = ewma(f.missRate, indicator(missed), missRateWeight)
}

// adjust changes the fanout by at most one per period.
func (f *fanout) adjust(now clock.Millis) {
	if now-f.adjustedAt < fanoutPeriod {
		return
	}
	f.adjustedAt = now
	switch {
	case f.missRate > highMissRate && f.count > minFanout:
		f.count--
		f.missRate = highMissRate / 2
	case f.refusedBesideRoom && f.missRate < lowMissRate && f.count < maxFanout:
		f.count++
	case f.refusedWhileFull && !f.refusedBesideRoom && f.count > minFanout:
		f.count--
	}
	f.refusedBesideRoom, f.refusedWhileFull = false, false
}

// recordRefusal records that a request for an object of the region was refused for want
// of room. It reports whether another server of the region had a free slot.
func (b *Balancer) recordRefusal(now clock.Millis, q Query, region string) (besideRoom bool) {
	f := b.fanoutOf(now, q.Service, region)
	besideRoom = b.idleServer(now, q, values.NewSet(region)) != nil
	f.refusedBesideRoom = f.refusedBesideRoom || besideRoom
	f.refusedWhileFull = f.refusedWhileFull || !besideRoom
	return besideRoom
}

// fanoutOf returns the fanout of the objects of a service that belong to a region,
// adjusted to the present time.
func (b *Balancer) fanoutOf(now clock.Millis, service, region string) *fanout {
	key := fanoutKey{service: service, region: region}
	f, ok := b.fanouts[key]
	if !ok {
		f = newFanout(now)
		b.fanouts[key] = f
	}
	f.adjust(now)
	return f
}
