package placement

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Refusal explains why no server was chosen.
	Refusal struct {
		Reason string
		// RetryAfter is when the caller should try again.
		RetryAfter clock.Millis
		// Best is the server that came closest, if there was any.
		Best *Estimate
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
		// LatencyFactor, and QueueTime the part before a slot is free.
		Latency       clock.Millis
		Limit         clock.Millis
		BaseLatency   clock.Millis
		QueueTime     clock.Millis
		LatencyFactor float64
		// InFlight are this instance's requests there, and Load all requests there as
		// far as this instance knows, from a report of the given age.
		InFlight  int
		Load      int
		Slots     int
		ReportAge clock.Millis
		Warm      bool
		Cold      bool
	}

	// overload counts the refusals of a service for want of room, to tell whether there
	// was room in truth.
	overload struct {
		refused   int
		refusedAt clock.Millis
	}
)

// overloadWindow is how long after a refusal a server's report of a free slot shows that
// there was room.
const overloadWindow = 300 * clock.Millis(1)

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
		InFlight:      s.inFlight,
		Load:          s.load(now),
		Slots:         s.info.Slots,
		ReportAge:     now - s.reportedAt,
		Warm:          c.warm,
		Cold:          s.isCold(now),
	}
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
