package placement

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Outcome is the result of sending a request to a server.
	Outcome int

	// Result is what is known once a request has ended.
	Result struct {
		Outcome Outcome
		// Load is the number of running and waiting requests reported by the
		// server; it is valid only if HasLoad is set.
		Load    int
		HasLoad bool
		// Pace is the service time that the server reports for now in relation to the
		// usual one; it is valid only if HasPace is set.
		Pace    float64
		HasPace bool
	}

	// latencyModel holds the learned latencies of one route, for requests whose
	// object was expected to be warm or cold at the server, and for both.
	latencyModel struct {
		warm    movingAverage
		cold    movingAverage
		overall movingAverage
		// probedAt is when a request was last sent although these latencies exceed
		// its time.
		probedAt clock.Millis
	}

	// movingAverage is a moving average of latencies that starts from an
	// initial estimate.
	movingAverage struct {
		ms      float64
		samples int
	}
)

const (
	// Answered means that the server ran the request and responded.
	Answered Outcome = iota
	// Failed means that the server responded with a 5xx status.
	Failed
	// Declined means that the server responded that it did not run the request.
	Declined
	// ResponseLost means that no complete, valid response was received.
	ResponseLost
	// Unreachable means that no byte of the request was sent.
	Unreachable
	// ConnectionLimit means that all connections that this instance may open to
	// the server were in use; nothing was sent.
	ConnectionLimit
	// Canceled means that this instance abandoned the request, or released the
	// choice without sending it.
	Canceled
	// TimedOut means that no complete response was received in time.
	TimedOut
	// Withheld means that the request was no longer allowed to be sent once a
	// connection was ready; nothing was sent.
	Withheld
)

const (
	averageWeight = 0.05
	// minSamples is the number of samples from which an average is relied on.
	minSamples = 5
	// declineWeight is the weight of a declined request in a server's failure
	// rate.
	declineWeight = 0.05
	// initialWarmFraction and initialColdFraction are the initial estimates, as
	// fractions of the objective.
	initialWarmFraction = 0.5
	initialColdFraction = 1.5
	// maxLearningFactor is the latency factor above which a server's latencies
	// are not added to the model.
	maxLearningFactor = 1.6
	// maxSample limits a latency that is added to an average, in relation to it. With 2,
	// 3 in 100 requests that take seven times as long shift it by 3 % and not by 18 %.
	maxSample = 2.0
	// maxMissRatio is the ratio to the average of cold requests from which a request took
	// long for another reason than a cold object.
	maxMissRatio = 1.6
)

// outcomeNames are the names of the outcomes in logs and metrics. They are part of that
// format and do not follow the names of the constants.
var outcomeNames = map[Outcome]string{
	Answered:        "answered",
	Failed:          "failed",
	Declined:        "declined",
	ResponseLost:    "lost",
	Unreachable:     "unreached",
	ConnectionLimit: "busy",
	Canceled:        "given_up",
	TimedOut:        "overdue",
	Withheld:        "withheld",
}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Done releases a choice and learns from the request's result.
func (b *Balancer) Done(now clock.Millis, c *Choice, result Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.state
	s.inFlight--
	if result.HasLoad {
		s.recordLoad(now, result.Load)
		b.recordFreeSlot(now, s, result.Load)
		b.logShare(s)
	}
	if result.HasPace {
		s.recordPace(now, result.Pace)
	}
	b.recordRamp(now, c, result)
	switch result.Outcome {
	case Answered:
		if s.consecutiveFailures > 0 {
			b.beginRamp(now, s, rampRecovered)
		}
		s.recordSuccess(now)
		b.learn(c, now-c.sentAt, c.paceDuring(result))
	case Failed:
		s.consecutiveFailures = 0
		s.updateFailureRate(now, 1, failureWeight)
	case Declined:
		s.consecutiveFailures = 0
		s.recordDecline(now, c.loadBefore)
		s.updateFailureRate(now, 1, declineWeight)
	case ConnectionLimit:
		s.fullUntil = now + declineBackoff
	case ResponseLost:
		s.lostAt = now
		s.recordFailure(now)
	case Unreachable:
		s.recordFailure(now)
	case TimedOut:
		b.recordTimeout(now, c)
	case Canceled, Withheld:
	}
}

// learn updates the estimates with the latency of an answered request. Only
// requests that did not have to wait for a slot at a warm server update the
// latency model, which holds latencies at a pace of one.
func (b *Balancer) learn(c *Choice, took clock.Millis, pace float64) {
	now := c.sentAt + took
	took = max(1, took-b.roundTrips[c.Server.Region])
	if !c.state.updateLatencyFactor(now, c, took, pace) {
		b.counts.IsolatedLatencies++
	}
	took = max(1, clock.Millis(float64(took)/pace))
	if !c.uncontended || c.state.latencyFactor > maxLearningFactor {
		return
	}
	model := b.latencyModelOf(c.query)
	if c.servedRecently {
		c.fanout.recordWarmRequest(model.isMiss(took))
	}
	model.add(took, c.warm)
}

// loadAhead estimates how many requests were ahead of one that timed out.
func (b *Balancer) loadAhead(c *Choice, took clock.Millis) int {
	slots := max(c.Server.Slots, 1)
	return slots + slots*int(took)/max(int(b.latencyModelOf(c.query).overall.value()), 1)
}

// updateLatencyFactor moves a server's latency factor towards the ratio of
// actual to expected latency of a request at the given pace. The bounds are those of the
// factor and the pace together, so that answers correct a server that reports a wrong pace.
// It reports whether the ratio counted in full.
func (s *serverState) updateLatencyFactor(now clock.Millis, c *Choice, took clock.Millis, pace float64) bool {
	ratio := float64(took) / float64(max(c.baseLatency, 1)) / pace
	factor, full := s.latencyRatio.add(s.currentLatencyFactor(now), ratio, latencyFactorWeight)
	s.domainLoad.recordRatio(now, ratio)
	s.latencyFactor = min(max(factor, minLatencyFactor/max(pace, 1)), maxLatencyFactor/min(pace, 1))
	s.latencyFactorAt = now
	return full
}

// recordTimeout learns from a request that was not answered in time. A single one may be a
// request that takes long by nature; only from the second in a row on it shows a queue.
func (b *Balancer) recordTimeout(now clock.Millis, c *Choice) {
	took := max(c.baseLatency, now-c.sentAt)
	if c.state.updateLatencyFactor(now, c, took, c.pace) {
		c.state.domainLoad.record(now, b.loadAhead(c, now-c.sentAt))
	} else {
		b.counts.IsolatedLatencies++
	}
}

// SetRoundTrip records the network round-trip time to a region.
func (b *Balancer) SetRoundTrip(region string, roundTrip clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roundTrips[region] = roundTrip
}

func newLatencyModel(objective clock.Millis) *latencyModel {
	return &latencyModel{
		warm:    movingAverage{ms: float64(objective) * initialWarmFraction},
		cold:    movingAverage{ms: float64(objective) * initialColdFraction},
		overall: movingAverage{ms: float64(objective) * initialWarmFraction},
	}
}

// isMiss reports whether a request for an object that was expected to be warm took about as
// long as a cold one. One that took much longer did so for another reason.
func (m *latencyModel) isMiss(took clock.Millis) bool {
	return took > (m.warm.value()+m.cold.value())/2 && float64(took) < maxMissRatio*m.cold.ms
}

// add adds the latency of a request. What goes far beyond the average counts as maxSample
// times it, so that a few requests which take several times as long by nature hardly shift
// it.
func (m *latencyModel) add(took clock.Millis, warm bool) {
	average := &m.cold
	if warm {
		average = &m.warm
	}
	if average.hasEnoughSamples() {
		m.overall.add(min(took, clock.Millis(max(maxSample*average.ms, m.cold.ms))))
		average.add(min(took, clock.Millis(maxSample*average.ms)))
		return
	}
	m.overall.add(took)
	average.add(took)
}

func (a *movingAverage) add(latency clock.Millis) {
	a.samples++
	a.ms = ewma(a.ms, float64(latency), averageWeight)
}

func (a *movingAverage) hasEnoughSamples() bool {
	return a.samples >= minSamples
}

func (a *movingAverage) value() clock.Millis {
	return clock.Millis(a.ms)
}
