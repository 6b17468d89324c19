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
		// Allowed reports whether a region may serve the request.
		Allowed func(region string) bool
		// Except holds the servers that were tried already.
		Except values.Set[string]
		// Safe is set where the request may be sent again after a failure.
		Safe bool
		// Left is the time until the request is given up.
		Left clock.Millis
		// Objective is the time within which an answer has its full use.
		Objective clock.Millis
	}

	// Choice is a server that has been given a request.
	Choice struct {
		Server Server
		// Cold is set when the server was cold.
		Cold bool
		// Expected is the estimate of the time until the answer.
		Expected clock.Millis

		record *record
		query  Query
		warm   bool
		calm   bool
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
		time   clock.Millis
	}
)

const (
	// maxCandidates is how many servers of an object are compared.
	maxCandidates = 3
	// declineDelay is added for a server that has just declined a request.
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
func (t *Table) Choose(now clock.Millis, q Query) (*Choice, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.best(now, q)
	if best == nil {
		return nil, &Refusal{Reason: "no backend server of service " + q.Service + " may take the request", RetryAfter: noServerRetry}
	}
	r := best.record
	if best.time > q.Left {
		wait := max(best.time-t.times(q).warm.value(), minRetryAfter)
		return nil, &Refusal{Reason: "no backend server of service " + q.Service + " is expected to answer in time", RetryAfter: wait}
	}
	cold := r.isCold(now)
	if cold && !r.cold.take(now, t.coldRate(r)) {
		return nil, &Refusal{Reason: "the backend servers of service " + q.Service + " are cold", RetryAfter: noServerRetry}
	}
	choice := &Choice{
		Server: r.info, Cold: cold, Expected: best.time,
		record: r, query: q, warm: best.warm, sentAt: now,
		calm: r.load(now) < r.info.Slots && !cold,
	}
	r.inFlight++
	r.sentSince++
	if q.Object != 0 {
		r.remember(q.Object, now)
	}
	return choice, nil
}

// best returns the candidate with the shortest expected time.
func (t *Table) best(now clock.Millis, q Query) *candidate {
	top := t.top(now, q, true)
	if len(top) == 0 {
		top = t.top(now, q, false)
	}
	var best *candidate
	for i := range top {
		c := &top[i]
		c.warm = q.Object == 0 || i == 0 || c.record.isWarmFor(q.Object, now)
		c.time = t.expected(now, q, c)
		if best == nil || c.time < best.time {
			best = c
		}
	}
	return best
}

// top returns the first few usable servers of the query's object, best ranked
// first. A strict search leaves out those that have failed lately.
func (t *Table) top(now clock.Millis, q Query, strict bool) []candidate {
	top := make([]candidate, 0, maxCandidates+1)
	for _, r := range t.services[q.Service] {
		if !t.usable(now, q, r, strict) {
			continue
		}
		top = insert(top, candidate{record: r, score: mix(q.Object, r.hash)})
	}
	return top
}

// insert keeps the candidates sorted by falling score and few.
func insert(top []candidate, c candidate) []candidate {
	i := len(top)
	for i > 0 && top[i-1].score < c.score {
		i--
	}
	if i == maxCandidates {
		return top
	}
	top = append(top, candidate{})
	copy(top[i+1:], top[i:])
	top[i] = c
	return top[:min(len(top), maxCandidates)]
}

func (t *Table) usable(now clock.Millis, q Query, r *record, strict bool) bool {
	if r.info.Draining || t.evacuated.Has(r.info.FailureDomain) || !q.Allowed(r.info.Region) {
		return false
	}
	if q.Except.Has(r.info.ID) {
		return false
	}
	if r.isCold(now) && !r.cold.has(now, t.coldRate(r)) {
		return false
	}
	if !strict {
		return r.failures == 0 || now >= r.avoidUntil
	}
	if r.failures > 0 && (now < r.avoidUntil || r.inFlight > 0 || !q.Safe) {
		return false
	}
	return r.unwell < unwellLimit
}

// expected estimates the time until a candidate's answer.
func (t *Table) expected(now clock.Millis, q Query, c *candidate) clock.Millis {
	r := c.record
	times := t.times(q)
	work := times.cold.value()
	if c.warm {
		work = times.warm.value()
	}
	if r.isCold(now) {
		work = max(work, times.cold.value()) * coldFactor
	}
	waiting := max(0, r.load(now)+1-r.info.Slots)
	wait := clock.Millis(waiting) * times.all.value() / clock.Millis(max(r.info.Slots, 1))
	total := clock.Millis(float64(work+wait)*r.slowness) + t.distance[r.info.Region]
	if now < r.fullUntil {
		total += declineDelay
	}
	return total
}

// times returns the learned times of a query's kind of work.
func (t *Table) times(q Query) *workTimes {
	w, ok := t.work[q.Route]
	if !ok {
		w = newWorkTimes(q.Objective)
		t.work[q.Route] = w
	}
	return w
}
