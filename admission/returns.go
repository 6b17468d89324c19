package admission

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// returns books when refused callers of one service come back, so that they arrive in
	// the order and at the pace in which capacity is expected: the urgent ones first, and
	// each class no faster than a part of the rate at which the service ends requests.
	returns struct {
		// first is the number of the earliest slot that is kept, counted from the clock's
		// origin; slots is a ring.
		first int64
		slots [returnSlots]returnSlot
		drain drainMeter
	}

	// returnSlot counts the callers that were told to return in a short time, by priority.
	returnSlot [returnClasses]uint16

	// Return says when a refused caller is to come back, and why.
	Return struct {
		After clock.Millis
		// Ahead is the number of callers, as urgent or more urgent, that come back before.
		Ahead int
		// DrainPerS is the rate at which the service ends requests of this instance.
		DrainPerS float64
	}

	// drainMeter measures a rate with a decaying sum.
	drainMeter struct {
		sum float64
		at  clock.Millis
	}
)

const (
	// returnSlots is the number of slots of returnTime each that are kept, which bounds how
	// far ahead returns are booked.
	returnSlots = 128
	returnTime  = 50 * clock.Millis(1)
	// returnClasses is the number of priorities that are told apart; less urgent ones count
	// as the last.
	returnClasses = 8
	// returnPart is the part of the service's rate that callers are expected to find when
	// they return; the rest is taken by requests that come for the first time.
	returnPart = 0.3
	// minReturnsPerS is the rate assumed where too few requests have ended to tell.
	minReturnsPerS = 1.0
	// drainTime is the time constant of the drain meter.
	drainTime = 2 * clock.Second
)

// book returns when a caller refused now is to come back, between two times from now, and
// books it. It takes the first time by which the callers ahead are expected to be served. If
// there is none, it takes the one with the fewest bookings of the later half, of these the
// last: a second refusal costs a caller more than a late return.
func (r *returns) book(now clock.Millis, priority int, earliest, latest clock.Millis, random float64) Return {
	r.advance(now)
	class := min(max(priority, 0), returnClasses-1)
	latest = min(max(latest, 0), (returnSlots-2)*returnTime)
	earliest = min(max(earliest, 0), latest)
	drain := r.drain.perS(now)
	perSlot := max(drain*returnPart, minReturnsPerS) * returnTime.Seconds()
	from, to := int64((now+earliest)/returnTime), int64((now+latest)/returnTime)
	ahead, aheadOfBest, best, fewest := 0, 0, to, int(^uint(0)>>1)
	for n := r.first; n <= to; n++ {
		slot := r.slot(n)
		if n >= from {
			if float64(ahead+slot.upTo(class)+1) <= perSlot*float64(n-r.first+1) {
				best, aheadOfBest = n, ahead
				break
			}
			if booked := slot.upTo(returnClasses - 1); booked <= fewest && n >= (from+to)/2 {
				best, fewest, aheadOfBest = n, booked, ahead
			}
		}
		ahead += slot.upTo(class)
	}
	r.slot(best)[class]++
	after := clock.Millis(best)*returnTime + clock.Millis(random*float64(returnTime)) - now
	return Return{After: min(max(after, earliest), latest), Ahead: aheadOfBest, DrainPerS: drain}
}

// advance drops the slots that have passed.
func (r *returns) advance(now clock.Millis) {
	current := int64(now / returnTime)
	if current-r.first >= returnSlots {
		r.slots = [returnSlots]returnSlot{}
		r.first = current
	}
	for ; r.first < current; r.first++ {
		*r.slot(r.first) = returnSlot{}
	}
}

func (r *returns) slot(n int64) *returnSlot {
	return &r.slots[n%returnSlots]
}

// upTo counts the callers of a class and of all more urgent ones.
func (s *returnSlot) upTo(class int) int {
	sum := 0
	for _, n := range s[:class+1] {
		sum += int(n)
	}
	return sum
}

func (m *drainMeter) add(now clock.Millis) {
	m.sum = m.sum*clock.Decay(now-m.at, drainTime) + 1
	m.at = now
}

func (m *drainMeter) perS(now clock.Millis) float64 {
	return m.sum * clock.Decay(now-m.at, drainTime) / drainTime.Seconds()
}
