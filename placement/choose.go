package placement

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

type (
	// Query describes a request to be assigned to a server.
	Query struct {
		Service string
		// Route identifies the kind of work; latencies are learned for each
		// route.
		Route string
		// Object identifies what the request operates on, such as a hash of its
		// affinity key; zero means none.
		Object uint64
		// RegionAllowed reports whether servers of a region may serve the
		// request.
		RegionAllowed func(region string) bool
		// Exclude holds the servers that were already tried.
		Exclude values.Set[string]
		// Idempotent is set where the request may be sent again after a
		// failure.
		Idempotent bool
		// TimeLeft is the time until the request's deadline.
		TimeLeft clock.Millis
		// Objective is the route's latency objective.
		Objective clock.Millis
		// LatencyLimit is the expected latency above which a request that would
		// have to queue is refused.
		LatencyLimit clock.Millis
		// QueueLimit is the expected time in a server's queue above which the request is
		// refused; zero means that only LatencyLimit bounds it.
		QueueLimit clock.Millis
		// Yields is set where the request leaves room for others: it does not queue, and
		// leaves a part of each server's slots free.
		Yields bool
		// WarmOnly is set where the request takes a server beside those of its object only
		// if that is expected to keep the object warm. Where capacity is short, requests
		// that run elsewhere take several times as much of it.
		WarmOnly bool
		// MayWait is set where the request waits for room if there is none, so that having
		// none is not a refusal yet.
		MayWait bool
	}

	// Choice is a request's assignment to a server. It is released with Done.
	Choice struct {
		Server Server
		// Cold is set when the server was still cold.
		Cold bool
		// ExpectedLatency is the estimated time until the response.
		ExpectedLatency clock.Millis

		state *serverState
		query Query
		// warm is set where the server was expected to keep the object warm, or
		// the request has no object.
		warm bool
		// uncontended is set where the server was not cold and had a free slot.
		uncontended bool
		// servedRecently is set where this instance recently sent a request for
		// the same object to the server.
		servedRecently bool
		baseLatency    clock.Millis
		// pace is that expected of the server when the request was sent.
		pace   float64
		sentAt clock.Millis
		// loadBefore is the known load of the server without this request.
		loadBefore int
		// fanout is that of the request's object.
		fanout *fanout
	}

	// candidate is a server under consideration and its estimated latency.
	candidate struct {
		state *serverState
		score uint64
		warm  bool
		// baseLatency is the latency at the server according to the learned
		// averages; latency also includes the server's own latency factor and pace,
		// the round trip and penalties. queueTime is the part spent waiting for a
		// slot.
		baseLatency clock.Millis
		pace        float64
		latency     clock.Millis
		queueTime   clock.Millis
		// fewSamples is set while there are too few measurements to rely on the
		// estimate.
		fewSamples bool
	}
)

const (
	// serversPerRegion is how many servers of the first region may serve one
	// object; further regions provide one each.
	serversPerRegion = 2
	// crossDomainPenalty and crossRegionPenalty are how much faster a server in
	// another failure domain or region must be to be preferred.
	crossDomainPenalty = 10 * clock.Millis(1)
	crossRegionPenalty = 30 * clock.Millis(1)
	// assumedWarmAge is how long after a server was first listed the objects
	// that rank it first are assumed to be warm there.
	assumedWarmAge = 6 * clock.Second
	// retryJitterMs spreads out the retries of refused callers.
	retryJitterMs = 120
	// declinePenalty is added to the latency of a server that is expected to
	// decline the request.
	declinePenalty = 150 * clock.Millis(1)
	// coldFactor is how much slower a cold server is assumed to be.
	coldFactor = 2
	// noServerRetryAfter is when callers retry if there is no usable server.
	noServerRetryAfter = 300 * clock.Millis(1)
	// minRetryAfter is the shortest delay that refused callers are given.
	minRetryAfter = 50 * clock.Millis(1)
	// reservedDivisor is the part, as a divisor, of a server's slots that requests which yield
	// leave free for those that arrive before the server's next report. A server with fewer
	// than minReservingSlots would have too few left.
	reservedDivisor   = 6
	minReservingSlots = 3
	// probeInterval is the interval of the requests of a route that are sent although
	// they are expected to take too long at a server with a free slot.
	probeInterval = clock.Second
)

// Choose assigns a request to the server with the shortest expected latency
// among the few that serve its object. Every choice must be released with Done.
func (b *Balancer) Choose(now clock.Millis, q Query) (*Choice, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates, best, inTime := b.find(now, q)
	if best == nil {
		return nil, b.refuseWithoutServer(now, q)
	}
	s := best.state
	if !inTime {
		besideRoom := b.recordNoRoom(now, q, candidates[0].state.info.Region)
		excess := best.latency - min(q.TimeLeft, q.LatencyLimit)
		return nil, &Refusal{
			Reason:     "the backend servers of service " + q.Service + " have no room in time",
			RetryAfter: max(excess, minRetryAfter) + clock.Millis(b.config.Random.IntN(retryJitterMs)),
			Best:       b.estimateOf(now, q, best, candidates),
			BesideRoom: besideRoom,
		}
	}
	cold := s.isCold(now)
	if cold && !s.coldTokens.take(now, b.coldRate(s)) {
		return nil, &Refusal{Reason: "the backend servers of service " + q.Service + " are cold", RetryAfter: noServerRetryAfter}
	}
	servedRecently := q.Object != 0 && s.isWarmFor(q.Object, now)
	choice := &Choice{
		servedRecently:  servedRecently,
		Server:          s.info,
		Cold:            cold,
		ExpectedLatency: best.latency,
		state:           s,
		query:           q,
		warm:            best.warm,
		sentAt:          now,
		baseLatency:     best.baseLatency,
		pace:            best.pace,
		loadBefore:      s.knownLoad(now),
		uncontended:     s.load(now) < s.info.Slots && !cold,
		fanout:          b.fanoutOf(now, q.Service, candidates[0].state.info.Region),
	}
	b.shifts.record(now, s.info.Region != candidates[0].state.info.Region)
	s.inFlight++
	if q.Object != 0 {
		s.recordObject(q.Object, now)
	}
	return choice, nil
}

// find returns the candidates for a request, the one that is picked, and whether that is
// worth a try. If it is not, the ramps of servers are left aside.
func (b *Balancer) find(now clock.Millis, q Query) (candidates []candidate, best *candidate, inTime bool) {
	b.rampHeld, b.ignoreRamps = false, false
	for {
		candidates = b.candidates(now, q)
		best = b.pick(now, q, candidates)
		inTime = best != nil && b.isInTime(now, q, best)
		if inTime || !b.rampHeld || b.ignoreRamps {
			break
		}
		b.ignoreRamps = true
	}
	if inTime && b.ignoreRamps {
		b.counts.RampYields++
	}
	return candidates, best, inTime
}

// isInTime reports whether a request is worth sending to a candidate. One that need not
// wait is refused only if the learned latencies exceed its time. They are learned from
// requests that are sent, so one in each probeInterval is sent nevertheless.
func (b *Balancer) isInTime(now clock.Millis, q Query, c *candidate) bool {
	if q.Yields && !c.state.hasRoom(now, q) {
		return false
	}
	if q.QueueLimit > 0 && c.queueTime > q.QueueLimit {
		return false
	}
	if c.queueTime > 0 {
		return c.latency <= q.TimeLeft && (c.fewSamples || c.latency <= q.LatencyLimit)
	}
	if c.latency <= q.TimeLeft {
		return true
	}
	model := b.latencyModelOf(q)
	if now-model.probedAt < probeInterval {
		return false
	}
	model.probedAt = now
	return true
}

// hasRoom reports whether the server has a free slot that the request may take.
func (s *serverState) hasRoom(now clock.Millis, q Query) bool {
	slots := s.info.Slots
	if q.Yields && slots >= minReservingSlots {
		slots -= max(1, slots/reservedDivisor)
	}
	return s.load(now) < slots
}

// pick selects a candidate within the bound on the share of shifted requests. It
// returns nil if there is none.
func (b *Balancer) pick(now clock.Millis, q Query, candidates []candidate) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	if b.shifts.mustShift(now) {
		if c := b.idleServerOutside(now, q, candidates[0].state.info.Region); c != nil {
			return c
		}
	}
	sameRegion := !b.shifts.mayShift(now)
	return b.preferIdle(now, q, b.fastest(now, q, candidates, sameRegion), sameRegion)
}

// candidates returns the servers that may serve an object. Servers whose ramp has no room
// are included only if there are no others. So are servers that failed recently, after
// these, and never during a backoff.
func (b *Balancer) candidates(now clock.Millis, q Query) []candidate {
	candidates := b.rankCandidates(now, q, true)
	if len(candidates) == 0 && b.rampHeld {
		b.ignoreRamps = true
		candidates = b.rankCandidates(now, q, true)
	}
	if len(candidates) == 0 {
		candidates = b.rankCandidates(now, q, false)
	}
	return candidates
}

// fastest returns the candidate with the shortest expected latency plus locality
// penalty. With sameRegion set, only servers in the region of the first
// candidate count.
func (b *Balancer) fastest(now clock.Millis, q Query, candidates []candidate, sameRegion bool) *candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if sameRegion && c.state.info.Region != candidates[0].state.info.Region {
			continue
		}
		c.warm = q.Object == 0 || c.state.isWarmFor(q.Object, now) || (i == 0 && now-c.state.listedAt >= assumedWarmAge)
		b.estimate(now, q, c)
		if best == nil || c.latency+b.localityPenalty(c) < best.latency+b.localityPenalty(best) {
			best = c
		}
	}
	return best
}

// localityPenalty returns how much faster a server must be to be preferred to
// one in this instance's failure domain.
func (b *Balancer) localityPenalty(c *candidate) clock.Millis {
	switch {
	case c.state.info.Region != b.config.Region:
		return crossRegionPenalty
	case c.state.info.FailureDomain != b.config.FailureDomain:
		return crossDomainPenalty
	default:
		return 0
	}
}

// usable reports whether a request may be sent to a server of a region that may serve
// it. With strict set, it leaves out servers that failed recently.
func (b *Balancer) usable(now clock.Millis, q Query, s *serverState, strict bool) bool {
	if s.acceptedSlots == 0 || (q.Exclude.Len() > 0 && q.Exclude.Has(s.info.ID)) || s.notice.bars(now, s.inFlight, s.info.Slots) {
		return false
	}
	if s.isCold(now) && !s.coldTokens.has(now, b.coldRate(s)) {
		return false
	}
	if b.holdsRamp(now, q.Object, s) {
		return false
	}
	if !strict {
		return s.consecutiveFailures == 0 || now >= s.backoffUntil
	}
	if s.consecutiveFailures > 0 && !s.mayProbe(now, q.Idempotent) {
		return false
	}
	return s.currentFailureRate(now) < maxFailureRate
}

// estimate sets a candidate's expected latency and the part of it that the
// request waits for a slot.
func (b *Balancer) estimate(now clock.Millis, q Query, c *candidate) {
	s := c.state
	model := b.latencyModelOf(q)
	average := &model.cold
	if c.warm {
		average = &model.warm
	}
	work := average.value()
	c.fewSamples = !average.hasEnoughSamples()
	if s.isCold(now) {
		work = max(work, model.cold.value()) * coldFactor
	}
	waiting := max(0, s.load(now)+1-s.info.Slots)
	wait := clock.Millis(waiting) * model.overall.value() / clock.Millis(max(s.info.Slots, 1))
	factor := s.currentLatencyFactor(now)
	c.pace = s.currentPace(now)
	c.baseLatency = work + wait
	c.queueTime = clock.Millis(float64(wait) * factor * c.pace)
	c.latency = clock.Millis(float64(c.baseLatency)*factor*c.pace) + b.roundTrips[s.info.Region]
	if s.isFull(now) {
		c.latency += declinePenalty
		c.queueTime += declinePenalty
	}
}

// latencyModelOf returns the learned latencies of a query's route.
func (b *Balancer) latencyModelOf(q Query) *latencyModel {
	m, ok := b.latencyModels[q.Route]
	if !ok {
		m = newLatencyModel(q.Objective)
		b.latencyModels[q.Route] = m
	}
	return m
}
