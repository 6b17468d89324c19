package placement

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Outcome says what became of a request at a server.
	Outcome int

	// Result is what is known after a request.
	Result struct {
		Outcome Outcome
		// Load is the server's own word on running and waiting requests; it
		// counts only where HasLoad is set.
		Load    int
		HasLoad bool
	}

	// workTimes are learned times of one kind of work.
	workTimes struct {
		warm average
		cold average
		all  average
	}

	// average is a moving average of times that begins with a guess.
	average struct {
		ms      float64
		samples int
	}
)

const (
	// Answered means that the server ran the request and gave its answer.
	Answered Outcome = iota
	// Failed means that the server ran the request and reported an error.
	Failed
	// Declined means that the server said that it did not run the request.
	Declined
	// Lost means that no whole answer came.
	Lost
	// Unreached means that no connection could be made.
	Unreached
	// Busy means that no connection was left for the request.
	Busy
	// GivenUp means that the request was given up on this side.
	GivenUp
	// Overdue means that no answer came in the time there was.
	Overdue
)

const (
	averageWeight = 0.05
	// knownSamples is how many samples an average is relied on from.
	knownSamples = 5
	// declinedWeight is the weight of a declined request in a server's health.
	declinedWeight = 0.05
	// warmGuess and coldGuess are the first guesses in parts of the objective.
	warmGuess = 0.5
	coldGuess = 1.5
	// calmBias is the bias from which a server's times teach nothing.
	calmBias = 1.6
)

// outcomeNames are the outcomes in logs and metrics.
var outcomeNames = map[Outcome]string{
	Answered:  "answered",
	Failed:    "failed",
	Declined:  "declined",
	Lost:      "lost",
	Unreached: "unreached",
	Busy:      "busy",
	GivenUp:   "given_up",
	Overdue:   "overdue",
}

// String names an outcome.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Done settles a choice.
func (t *Balancer) Done(now clock.Millis, c *Choice, report Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := c.record
	r.inFlight--
	if report.HasLoad {
		r.report(now, report.Load)
	}
	switch report.Outcome {
	case Answered:
		r.succeed(now)
		t.learn(c, now-c.sentAt)
	case Failed:
		r.failures = 0
		r.noteHealth(now, 1, unwellWeight)
	case Declined:
		r.failures = 0
		r.decline(now)
		r.noteHealth(now, 1, declinedWeight)
	case Busy:
		r.fullUntil = now + declinedBackOff
	case Lost, Unreached:
		r.fail(now)
	case Overdue:
		r.correct(c, max(c.raw, now-c.sentAt))
		r.crowd.note(now, t.crowdOf(c, now-c.sentAt))
	case GivenUp:
	}
}

// learn takes in the time of an answered request.
func (t *Balancer) learn(c *Choice, took clock.Millis) {
	took = max(1, took-t.distance[c.Server.Region])
	c.record.correct(c, took)
	if !c.calm || c.record.bias > calmBias {
		return
	}
	times := t.times(c.query)
	if c.known {
		t.copiesOf(c.sentAt, c.query.Service).note(took > (times.warm.value()+times.cold.value())/2)
	}
	if c.warm {
		times.warm.add(took)
	} else {
		times.cold.add(took)
	}
	times.all.add(took)
}

// crowdOf estimates the requests ahead of one that has not been answered in time.
func (t *Balancer) crowdOf(c *Choice, took clock.Millis) int {
	slots := max(c.Server.Slots, 1)
	return slots + slots*int(took)/max(int(t.times(c.query).all.value()), 1)
}

// correct moves a server's bias towards what a request has shown.
func (r *record) correct(c *Choice, took clock.Millis) {
	ratio := float64(took) / float64(max(c.raw, 1))
	r.bias = min(max(blend(r.bias, ratio, biasWeight), minBias), maxBias)
}

// SetRoundTrip takes in the time of a round trip to a region.
func (t *Balancer) SetRoundTrip(region string, roundTrip clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.distance[region] = roundTrip
}

func newWorkTimes(objective clock.Millis) *workTimes {
	return &workTimes{
		warm: average{ms: float64(objective) * warmGuess},
		cold: average{ms: float64(objective) * coldGuess},
		all:  average{ms: float64(objective) * warmGuess},
	}
}

func (a *average) add(span clock.Millis) {
	a.samples++
	a.ms = blend(a.ms, float64(span), averageWeight)
}

func (a *average) known() bool {
	return a.samples >= knownSamples
}

func (a *average) value() clock.Millis {
	return clock.Millis(a.ms)
}
