package directory

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Limit is a limit of an instance's own.
	Limit string

	// Usage is how much of each limit is used, as a fraction of it. Limits that are not
	// known are missing.
	Usage map[Limit]float64

	// Watch decides whether an instance says that it is near a limit. Its entry changes at
	// most once per minHold, because each change costs messages to the whole fleet. It is
	// not safe for concurrent use.
	Watch struct {
		// near is the limit that the instance says it is near; empty if none.
		near Limit
		// changedAt is when that last changed.
		changedAt clock.Millis
		// highSince is since when the use of each limit has been high, lowSince since
		// when that of all has been low; zero means that it is not.
		highSince map[Limit]clock.Millis
		lowSince  clock.Millis
	}

	// thresholds tell when an instance is near a limit.
	thresholds struct {
		// enter is the use from which, after the time given by after, the instance is
		// near the limit; below leave it has recovered.
		enter, leave float64
		after        clock.Millis
	}
)

// The limits of an instance.
const (
	NoLimit     Limit = ""
	Descriptors Limit = "descriptors"
	Memory      Limit = "memory"
	Processor   Limit = "processor"
	Link        Limit = "link"
)

const (
	// minHold is the shortest time between two changes.
	minHold = clock.Second
	// recoveryTime is how long the use of all limits stays low before the instance has
	// recovered. Callers return within the time for which they keep answers, 2 s.
	recoveryTime = 3 * clock.Second
)

// limitThresholds are the thresholds by limit. Beyond the limits on descriptors and memory
// connections fail, so an instance says early that it is near them. Short peaks of processor
// and link are usual and delay requests only.
var limitThresholds = map[Limit]thresholds{
	Descriptors: {enter: 0.80, leave: 0.65},
	Memory:      {enter: 0.85, leave: 0.70},
	Processor:   {enter: 0.92, leave: 0.70, after: 2 * clock.Second},
	Link:        {enter: 0.85, leave: 0.60, after: 2 * clock.Second},
}

// limitOrder is the order in which limits are named if the use of several is high.
var limitOrder = []Limit{Descriptors, Memory, Link, Processor}

// Update records the present use and returns the limit that the instance is near, or
// NoLimit, and whether that has changed.
func (w *Watch) Update(now clock.Millis, usage Usage) (near Limit, changed bool) {
	if w.highSince == nil {
		w.highSince = make(map[Limit]clock.Millis)
	}
	high, allLow := NoLimit, true
	for _, limit := range limitOrder {
		use, known := usage[limit]
		t := limitThresholds[limit]
		if known && use >= t.leave {
			allLow = false
		}
		if !known || use < t.enter {
			delete(w.highSince, limit)
			continue
		}
		if _, ok := w.highSince[limit]; !ok {
			w.highSince[limit] = now
		}
		if high == NoLimit && now-w.highSince[limit] >= t.after {
			high = limit
		}
	}
	if !allLow {
		w.lowSince = 0
	} else if w.lowSince == 0 {
		w.lowSince = now
	}
	return w.decide(now, high)
}

// decide changes the limit that the instance says it is near, if it has to.
func (w *Watch) decide(now clock.Millis, high Limit) (Limit, bool) {
	next := w.near
	switch {
	case w.near == NoLimit:
		next = high
	case w.lowSince > 0 && now-w.lowSince >= recoveryTime:
		next = NoLimit
	}
	if next == w.near || (w.changedAt > 0 && now-w.changedAt < minHold) {
		return w.near, false
	}
	w.near, w.changedAt = next, now
	return next, true
}
