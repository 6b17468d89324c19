package placement

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

type (
	// Query describes the request to be placed.
	Query struct {
		Service string
		// Route names the kind of work, whose times are learned.
		Route string
		// Object identifies what the request concerns; zero means nothing.
		Object uint64
		// RegionAllowed reports whether a region may serve the request.
		RegionAllowed func(region string) bool
		// Exclude holds the servers that were tried already.
		Exclude values.Set[string]
		// Idempotent is set where the request may be sent again after a failure.
		Idempotent bool
		// TimeLeft is the time until the request is given up.
		TimeLeft clock.Millis
		// Objective is the time within which an answer has its full use.
		Objective clock.Millis
		// LatencyLimit is the expected time up to which waiting for a slot is
		// worth it.
		LatencyLimit clock.Millis
	}

	// Choice is a server that has been given a request.
	Choice struct {
		Server Server
		// Cold is set when the server was cold.
		Cold bool
		// ExpectedLatency is the estimate of the time until the answer.
		ExpectedLatency clock.Millis

		record *record
		query  Query
		warm   bool
		calm   bool
		// known is set where this instance has sent the object there lately.
		known  bool
		raw    clock.Millis
		sentAt clock.Millis
	}

	// Refusal says why a request was not placed.
	Refusal struct {
		Reason string
		// RetryAfter is when room is expected.
		RetryAfter clock.Millis
	}

	// candidate is a server under consideration.
	candidate struct {
		record *record
		score  uint64
		warm   bool
		// raw is the time at the server that the learned times tell, time the
		// whole time with the server's bias, wait the part spent waiting.
		raw  clock.Millis
		time clock.Millis
		wait clock.Millis
		// guessed is set while too few answers have shown how long work takes.
		guessed bool
	}
)

const (
	// copiesPerRegion is how many servers of a region serve one object.
	copiesPerRegion = 2
	// domainCost and regionCost are the gains in time for which a request
	// leaves its failure domain and its region.
	domainCost = 10 * clock.Millis(1)
	regionCost = 30 * clock.Millis(1)
	// settledAge is how long after a server was first listed its objects
	// are taken to be known to it.
	settledAge = 6 * clock.Second
	// retrySpread spreads callers that are told to come back.
	retrySpread = 120
	// declineDelay is added for a server that is expected to decline.
	declineDelay = 150 * clock.Millis(1)
	// coldFactor is how much longer a cold server takes.
	coldFactor = 2
	// noServerRetry is when callers come back where no server is there at all.
	noServerRetry = 300 * clock.Millis(1)
	// minRetryAfter is the least time after which callers are told to come back.
	minRetryAfter = 50 * clock.Millis(1)
)

// Choose gives a request to the server from which the answer is expected
// first, among the few that serve its object. Done must follow.
func (t *Balancer) Choose(now clock.Millis, q Query) (*Choice, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	top := t.topOf(now, q)
	best := t.pick(now, q, top)
	if best == nil {
		return nil, &Refusal{Reason: "no backend server of service " + q.Service + " may take the request", RetryAfter: noServerRetry}
	}
	r := best.record
	if best.time > q.TimeLeft || (best.wait > 0 && !best.guessed && best.time > q.LatencyLimit) {
		t.copiesOf(now, q.Service).refused = true
		over := best.time - min(q.TimeLeft, q.LatencyLimit)
		return nil, &Refusal{
			Reason:     "the backend servers of service " + q.Service + " have no room in time",
			RetryAfter: max(over, minRetryAfter) + clock.Millis(t.config.Random.IntN(retrySpread)),
		}
	}
	cold := r.isCold(now)
	if cold && !r.cold.take(now, t.coldRate(r)) {
		return nil, &Refusal{Reason: "the backend servers of service " + q.Service + " are cold", RetryAfter: noServerRetry}
	}
	known := q.Object != 0 && r.isWarmFor(q.Object, now)
	choice := &Choice{
		known:  known,
		Server: r.info, Cold: cold, ExpectedLatency: best.time,
		record: r, query: q, warm: best.warm, sentAt: now,
		raw: best.raw, calm: r.load(now) < r.info.Slots && !cold,
	}
	t.detours.note(now, r.info.Region != top[0].record.info.Region)
	r.inFlight++
	if q.Object != 0 {
		r.remember(q.Object, now)
	}
	return choice, nil
}

// pick returns the candidate to take within the bound on requests that leave
// their region, or nil where there is none.
func (t *Balancer) pick(now clock.Millis, q Query, top []candidate) *candidate {
	if len(top) == 0 {
		return nil
	}
	if t.detours.mustMove(now) {
		if c := t.keepAway(now, q, top[0].record.info.Region); c != nil {
			return c
		}
	}
	stays := !t.detours.mayMove(now)
	return t.relieve(now, q, t.best(now, q, top, stays), stays)
}

// topOf returns the few servers that an object's requests go to, those that
// have failed lately only where there are no others.
func (t *Balancer) topOf(now clock.Millis, q Query) []candidate {
	top := t.top(now, q, true)
	if len(top) == 0 {
		top = t.top(now, q, false)
	}
	return top
}

// best returns the candidate with the shortest expected time. Where the request
// stays, only those in the region of the first one count.
func (t *Balancer) best(now clock.Millis, q Query, top []candidate, stays bool) *candidate {
	var best *candidate
	for i := range top {
		c := &top[i]
		if stays && c.record.info.Region != top[0].record.info.Region {
			continue
		}
		c.warm = q.Object == 0 || c.record.isWarmFor(q.Object, now) || (i == 0 && now-c.record.since >= settledAge)
		t.expect(now, q, c)
		if best == nil || c.time+t.cost(c) < best.time+t.cost(best) {
			best = c
		}
	}
	return best
}

// cost returns the gain in time that a candidate must bring over one in this
// instance's failure domain.
func (t *Balancer) cost(c *candidate) clock.Millis {
	switch {
	case c.record.info.Region != t.config.Region:
		return regionCost
	case c.record.info.FailureDomain != t.config.FailureDomain:
		return domainCost
	default:
		return 0
	}
}

func (t *Balancer) usable(now clock.Millis, q Query, r *record, strict bool) bool {
	if r.info.Draining || t.evacuated.Has(r.info.FailureDomain) || !q.RegionAllowed(r.info.Region) {
		return false
	}
	if q.Exclude.Has(r.info.ID) {
		return false
	}
	if r.isCold(now) && !r.cold.has(now, t.coldRate(r)) {
		return false
	}
	if !strict {
		return r.failures == 0 || now >= r.avoidUntil
	}
	if r.failures > 0 && (now < r.avoidUntil || r.inFlight > 0 || !q.Idempotent) {
		return false
	}
	return r.unwellShare(now) < unwellLimit
}

// expect estimates the time until a candidate's answer and the part of it that
// the request waits for a slot.
func (t *Balancer) expect(now clock.Millis, q Query, c *candidate) {
	r := c.record
	times := t.times(q)
	usual := &times.cold
	if c.warm {
		usual = &times.warm
	}
	work := usual.value()
	c.guessed = !usual.known()
	if r.isCold(now) {
		work = max(work, times.cold.value()) * coldFactor
	}
	waiting := max(0, r.load(now)+1-r.info.Slots)
	wait := clock.Millis(waiting) * times.all.value() / clock.Millis(max(r.info.Slots, 1))
	c.raw = work + wait
	c.wait = clock.Millis(float64(wait) * r.bias)
	c.time = clock.Millis(float64(c.raw)*r.bias) + t.distance[r.info.Region]
	if r.isFull(now) {
		c.time += declineDelay
		c.wait += declineDelay
	}
}

// copiesOf returns the number of copies of a service's objects.
func (t *Balancer) copiesOf(now clock.Millis, service string) *copies {
	c, ok := t.copies[service]
	if !ok {
		c = newCopies(now)
		t.copies[service] = c
	}
	c.adjust(now)
	return c
}

// times returns the learned times of a query's kind of work.
func (t *Balancer) times(q Query) *workTimes {
	w, ok := t.work[q.Route]
	if !ok {
		w = newWorkTimes(q.Objective)
		t.work[q.Route] = w
	}
	return w
}
