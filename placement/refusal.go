package placement

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Refusal explains why no server was chosen.
	Refusal struct {
		Reason string
		// RetryAfter is when the caller should try again.
		RetryAfter clock.Millis
		// Best is the server that came closest, if there was any, and Exclusions say why
		// there was none.
		Best       *Estimate
		Exclusions *Exclusions
		// BesideRoom is set where the servers of the request's object are full, but another
		// one of the region has a free slot: its service is not short of capacity.
		BesideRoom bool
	}

	// Estimate is what a decision on a server was based on.
	Estimate struct {
		Server string
		// Candidates is the number of servers that were compared, Fanout the most
		// that may serve one object.
		Candidates int
		Fanout     int
		// Latency is the expected latency and Limit the longest that is accepted.
		// BaseLatency is the part by the learned averages, before the server's own
		// LatencyFactor and Pace, and QueueTime the part before a slot is free. PaceAge is
		// negative where the server has not reported a pace.
		Latency       clock.Millis
		Limit         clock.Millis
		BaseLatency   clock.Millis
		QueueTime     clock.Millis
		LatencyFactor float64
		Pace          float64
		PaceAge       clock.Millis
		// InFlight are this instance's requests there, and Load all requests there as
		// far as this instance knows, from a report of the given age.
		InFlight  int
		Load      int
		Slots     int
		ReportAge clock.Millis
		Warm      bool
		Cold      bool
	}

	// Exclusions counts the servers of a service that may not take a request, each by
	// the first of these reasons. Of a large region only a sample is counted.
	Exclusions struct {
		Counted int
		// NotAccepting are listed as draining, or evacuated.
		NotAccepting int
		// Leaving, Paused and Gone are out of use by their own responses.
		Leaving int
		Paused  int
		Gone    int
		// Tried got the request before, Cold have no room for cold requests, and
		// Failing are in their backoff.
		Tried   int
		Cold    int
		Failing int
		// shortestPause is the time until the first of the paused may be used.
		shortestPause clock.Millis
	}

	// overload counts the refusals of a service for want of room, to tell whether there
	// was room in truth.
	overload struct {
		refused   int
		refusedAt clock.Millis
	}
)

const (
	// overloadWindow is how long after a refusal a server's report of a free slot shows
	// that there was room.
	overloadWindow = 300 * clock.Millis(1)
	// pauseSpreadDivisor is the part of a pause, as a divisor, over which the callers
	// that were refused because of it are spread when it ends.
	pauseSpreadDivisor = 4
)

// WantsRoom reports whether the request was refused since it would have had to wait too long
// for a slot. It may be called on nil.
func (r *Refusal) WantsRoom() bool {
	return r != nil && r.Best != nil && r.Best.QueueTime > 0
}

// refuseWithoutServer returns the refusal of a request that no server may take. If servers
// that could take it have asked for a pause, the caller is told when the shortest ends.
func (b *Balancer) refuseWithoutServer(now clock.Millis, q Query) *Refusal {
	excluded := b.exclusions(now, q)
	if excluded.Paused == 0 {
		return &Refusal{
			Reason:     "no backend server of service " + q.Service + " may take the request",
			RetryAfter: noServerRetryAfter,
			Exclusions: excluded,
		}
	}
	spread := max(retryJitterMs, int(excluded.shortestPause)/pauseSpreadDivisor)
	return &Refusal{
		Reason:     "the backend servers of service " + q.Service + " asked for a pause",
		RetryAfter: excluded.shortestPause + clock.Millis(b.config.Random.IntN(spread)),
		Exclusions: excluded,
	}
}

// exclusions counts why the servers of the allowed regions may not take a request.
func (b *Balancer) exclusions(now clock.Millis, q Query) *Exclusions {
	out := &Exclusions{}
	service := b.services[q.Service]
	if service == nil {
		return out
	}
	for _, region := range service.regions {
		if !q.RegionAllowed(region.name) {
			continue
		}
		first, count := region.sample(b.config.Random)
		for i := range count {
			out.add(now, q, region.servers[(first+i)%len(region.servers)])
		}
	}
	return out
}

// add counts one server.
func (e *Exclusions) add(now clock.Millis, q Query, s *serverState) {
	e.Counted++
	switch {
	case s.acceptedSlots == 0:
		e.NotAccepting++
	case s.notice != nil && s.notice.leaving:
		e.Leaving++
	case s.notice != nil && s.notice.isPaused(now, s.inFlight, s.info.Slots):
		left := max(s.notice.pausedUntil-now, minRetryAfter)
		if e.Paused == 0 || left < e.shortestPause {
			e.shortestPause = left
		}
		e.Paused++
	case s.notice != nil && now < s.notice.goneUntil:
		e.Gone++
	case q.Exclude.Has(s.info.ID):
		e.Tried++
	case s.consecutiveFailures > 0 && now < s.backoffUntil:
		e.Failing++
	case s.isCold(now):
		e.Cold++
	}
}

// estimateOf describes a candidate for the log.
func (b *Balancer) estimateOf(now clock.Millis, q Query, c *candidate, candidates []candidate) *Estimate {
	s := c.state
	return &Estimate{
		Server:        s.info.ID,
		Candidates:    len(candidates),
		Fanout:        b.fanoutOf(now, q.Service, candidates[0].state.info.Region).count,
		Latency:       c.latency,
		Limit:         min(q.TimeLeft, q.LatencyLimit),
		BaseLatency:   c.baseLatency,
		QueueTime:     c.queueTime,
		LatencyFactor: s.currentLatencyFactor(now),
		Pace:          c.pace,
		PaceAge:       s.pace.age(now),
		InFlight:      s.inFlight,
		Load:          s.load(now),
		Slots:         s.info.Slots,
		ReportAge:     now - s.reportedAt,
		Warm:          c.warm,
		Cold:          s.isCold(now),
	}
}

// recordNoRoom records that there was no room in time for a request whose object belongs to a
// region, and reports whether another server of the region had a free slot. A request that
// yields leaves room by intent.
func (b *Balancer) recordNoRoom(now clock.Millis, q Query, region string) (besideRoom bool) {
	if q.Yields {
		return false
	}
	q.WarmOnly = false
	besideRoom = b.recordRefusal(now, q, region)
	if !q.MayWait {
		b.recordOverload(now, q.Service)
	}
	return besideRoom
}

// recordOverload counts a refusal for want of room.
func (b *Balancer) recordOverload(now clock.Millis, service string) {
	o, ok := b.overloads[service]
	if !ok {
		o = &overload{}
		b.overloads[service] = o
	}
	if now-o.refusedAt > overloadWindow {
		o.refused = 0
	}
	o.refused++
	o.refusedAt = now
}

// recordFreeSlot counts the latest refusals of a service as needless if a server reports a
// free slot.
func (b *Balancer) recordFreeSlot(now clock.Millis, s *serverState, load int) {
	o, ok := b.overloads[s.info.Service]
	if !ok || load >= s.info.Slots || now-o.refusedAt > overloadWindow {
		return
	}
	b.needlessRefusals += o.refused
	o.refused = 0
}

// TakeNeedlessRefusals returns how many requests were refused for want of room although
// another server of their service reported a free slot just after. It resets the count.
func (b *Balancer) TakeNeedlessRefusals() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.needlessRefusals
	b.needlessRefusals = 0
	return n
}
