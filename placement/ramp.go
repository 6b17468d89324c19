package placement

import "github.com/bulrushferry/bulrushferry/clock"

// ramp limits the requests at a server that has just started, has answered again after
// failures, is back from an evacuation, or is no longer cold. Such a server keeps no object
// warm, and all objects that rank it first would come at once.
//
// The limit counts the requests of all instances, as far as the server's last report shows
// them. It grows with answers in time, by one each and to what the server has shown that it
// can run, and with time, so that it ends without requests too. Declined requests, and
// timeouts and late answers from the second in a row on, halve it.
type ramp struct {
	active bool
	reason rampReason
	// limit is the limit as of limitAt, which is in the future while the server is cold.
	limit     float64
	limitAt   clock.Millis
	startedAt clock.Millis
	slots     int
	// late is set if the newest answer was late.
	late     bool
	setbacks int
}

// rampReason says why a ramp has begun.
type rampReason string

const (
	rampStarted   rampReason = "started"
	rampRecovered rampReason = "recovered"
	rampReturned  rampReason = "returned"
	rampWasCold   rampReason = "was cold"
)

const (
	// rampStartDivisor is the part of the slots, as a divisor, at which a ramp starts.
	rampStartDivisor = 2
	// rampTime is how long a ramp from nothing to all slots takes without any answer, and
	// setBackTime how long after a setback. Slower ramps keep objects from the server that
	// is to warm them (docs/design/server-pace.md).
	rampTime    = 1200 * clock.Millis(1)
	setBackTime = 2500 * clock.Millis(1)
	// maxRampTime is when a ramp ends whatever the answers were.
	maxRampTime = 10 * clock.Second
	// lateRatio is the ratio to the expected latency above which an answer is late.
	lateRatio = 2.0
)

// begin starts a ramp at a time which may be in the future. A ramp that has not begun yet,
// since the server stays cold for longer, keeps what it has reached.
func (r *ramp) begin(now, at clock.Millis, slots int, reason rampReason) {
	if !r.active || r.limitAt <= now {
		*r = ramp{active: true, limit: max(1, float64(slots/rampStartDivisor))}
	}
	r.reason, r.slots, r.startedAt, r.limitAt = reason, slots, at, at
}

// current returns the limit.
func (r *ramp) current(now clock.Millis) float64 {
	whole := rampTime
	if r.setbacks > 0 {
		whole = setBackTime
	}
	return r.limit + float64(r.slots)*float64(max(0, now-r.limitAt))/float64(whole)
}

// isOver reports whether the limit has reached all slots, or the time is over.
func (r *ramp) isOver(now clock.Millis) bool {
	return now >= r.limitAt && (r.current(now) >= float64(r.slots) || now-r.startedAt >= maxRampTime)
}

// advance brings the limit up to the present.
func (r *ramp) advance(now clock.Millis) {
	r.limit = r.current(now)
	r.limitAt = max(r.limitAt, now)
}

// answered records an answer, the load that the server reported with it, and whether it was
// late. One late answer may be a request that takes long by nature.
func (r *ramp) answered(now clock.Millis, load int, late bool) {
	r.advance(now)
	wasLate := r.late
	r.late = late
	switch {
	case late && wasLate:
		r.setBack(now)
	case !late:
		r.limit = max(r.limit, float64(load+1)) + 1
	}
}

// setBack halves the limit.
func (r *ramp) setBack(now clock.Millis) {
	r.advance(now)
	r.limit = max(1, r.limit/2)
	r.setbacks++
}

// allows reports whether another request fits below the limit. Without a fresh report of the
// server, load, an instance cannot know what the others have sent. Then a part of the
// objects is allowed, by a point of each between zero and one: as many as the limit is of
// the slots. All instances leave out the same ones, and an object moves once.
func (r *ramp) allows(now clock.Millis, load int, fresh bool, point float64) bool {
	limit := r.current(now)
	if fresh {
		return float64(load+1) <= limit
	}
	return point*float64(r.slots) < limit
}

// beginRamp starts a server's ramp once it is no longer cold.
func (b *Balancer) beginRamp(now clock.Millis, s *serverState, reason rampReason) {
	if s.isCold(now) {
		reason = rampWasCold
	}
	begins := !s.ramp.active
	s.ramp.begin(now, max(now, s.coldUntil), s.info.Slots, reason)
	if begins {
		b.counts.Ramps++
		b.recordEvent("slow start of a backend server begins", s, "reason", string(reason), "limit", int(s.ramp.limit),
			"slots", s.info.Slots, "cold_ms", int64(max(0, s.coldUntil-now)))
	}
}

// holdsRamp reports whether a server's ramp has no room for another request. It ends a ramp
// whose time is over.
func (b *Balancer) holdsRamp(now clock.Millis, object uint64, s *serverState) bool {
	if !s.ramp.active || s.isCold(now) {
		return false
	}
	if s.ramp.isOver(now) {
		s.ramp.active = false
		b.recordEvent("slow start of a backend server ends", s, "reason", string(s.ramp.reason), "limit", int(s.ramp.current(now)),
			"slots", s.info.Slots, "took_ms", int64(now-s.ramp.startedAt), "setbacks", s.ramp.setbacks)
		return false
	}
	if b.ignoreRamps {
		return false
	}
	point := objectPoint(s, object)
	if object == 0 {
		point = b.config.Random.Float64()
	}
	if s.ramp.allows(now, s.knownLoad(now), now-s.reportedAt < maxReportAge, point) {
		return false
	}
	b.rampHeld = true
	return true
}

// recordRamp passes the result of a request on to the server's ramp.
func (b *Balancer) recordRamp(now clock.Millis, c *Choice, result Result) {
	s := c.state
	if !s.ramp.active {
		return
	}
	before := s.ramp.setbacks
	switch result.Outcome {
	case Answered:
		expected := float64(max(c.baseLatency, 1)) * c.paceDuring(result)
		late := float64(now-c.sentAt-b.roundTrips[c.Server.Region]) > lateRatio*expected
		load := 0
		if result.HasLoad {
			load = min(result.Load, s.info.Slots)
		}
		s.ramp.answered(now, load, late)
	case TimedOut:
		s.ramp.answered(now, 0, true)
	case Declined, Failed, ResponseLost, Unreachable:
		s.ramp.setBack(now)
	default:
	}
	b.counts.RampSetbacks += s.ramp.setbacks - before
}
