package placement

import "github.com/bulrushferry/bulrushferry/clock"

// fanout adapts the number of servers that share the requests for one object. A
// server keeps only a few objects warm. If requests for objects that a server
// handled recently are often slow, there are too many servers per object. If
// requests are refused while objects stay warm, there can be more.
type fanout struct {
	count int
	// missRate is the share of requests for objects expected to be warm that
	// were as slow as cold ones.
	missRate   float64
	refused    bool
	adjustedAt clock.Millis
}

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
	case f.missRate < lowMissRate && f.refused && f.count < maxFanout:
		f.count++
	}
	f.refused = false
}
