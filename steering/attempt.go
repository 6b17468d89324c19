package steering

import (
	"strconv"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// run sends the request to backend servers until one has answered it or it is
// given up.
func (h *Handler) run(j *job) {
	if h.config.Crashes.Any() && h.config.Crashes.Holds(j.began, j.fingerprint()) {
		h.refuse(j, fasthttp.StatusServiceUnavailable, "the request has crashed backend servers", noRetrySoon)
		return
	}
	j.service = j.route.PickService()
	h.config.Budget.Earn(j.service)
	tried := values.NewSet[string]()
	sent, ran := 0, false
	for {
		left := j.deadline - h.config.Clock.Now()
		if left <= 0 || j.ctx.Err() != nil {
			h.giveUp(j, ran, "the deadline has passed", 0)
			return
		}
		choice, refusal := h.config.Table.Choose(h.config.Clock.Now(), h.query(j, tried, left))
		if refusal != nil {
			h.giveUp(j, ran, refusal.Reason, refusal.RetryAfter)
			return
		}
		if sent > 0 && !h.config.Budget.Spend(j.service) {
			h.config.Table.Done(h.config.Clock.Now(), choice, placement.Report{Outcome: placement.GivenUp})
			h.giveUp(j, ran, "the retry budget is spent", choice.Expected)
			return
		}
		outcome := h.send(j, choice, left)
		tried = tried.With(choice.Server.ID)
		if outcome != placement.Unreached && outcome != placement.Busy {
			sent++
		}
		ran = ran || mayHaveRun(outcome)
		if h.settled(j, outcome, sent, tried.Len()) {
			return
		}
	}
}

func mayHaveRun(outcome placement.Outcome) bool {
	return outcome == placement.Lost || outcome == placement.Overdue || outcome == placement.Failed || outcome == placement.GivenUp
}

// settled reports whether an outcome ends the request. Where it does, the
// answer is set.
func (h *Handler) settled(j *job, outcome placement.Outcome, sent, tried int) bool {
	more := sent < j.route.MaxAttempts && tried < maxTries
	safe := j.route.Kind == routing.Safe
	switch outcome {
	case placement.Answered:
		return true
	case placement.Failed:
		return !safe || !more
	case placement.Overdue:
		h.refuse(j, fasthttp.StatusGatewayTimeout, "no answer came in time", 0)
		return true
	case placement.GivenUp:
		return true
	case placement.Lost:
		if safe && more {
			return false
		}
		h.refuse(j, fasthttp.StatusBadGateway, "the answer was lost", 0)
		return true
	default:
		return false
	}
}

// maxTries bounds the servers that a request is offered to, those that could
// not be reached among them.
const maxTries = 4

func (h *Handler) query(j *job, tried values.Set[string], left clock.Millis) placement.Query {
	return placement.Query{
		Service:   j.service,
		Route:     j.route.Name,
		Object:    j.object,
		Allowed:   func(region string) bool { return j.route.InHomes(j.workspace, region) },
		Except:    tried,
		Safe:      j.route.Kind == routing.Safe,
		Left:      left,
		Objective: j.route.Objective,
		Patience:  j.patience,
	}
}

// send sends the request to one server and settles what is known of it.
func (h *Handler) send(j *job, choice *placement.Choice, left clock.Millis) placement.Outcome {
	j.x.Response.Reset()
	request := &origin.Request{ID: j.id, Pin: choice.Server.ID, TimeLeft: left, Source: j.x.Request}
	if j.workspace != nil {
		request.Workspace = j.workspace.Name
	}
	answer, err := h.config.Pool.Do(j.ctx, choice.Server, j.route.Kind == routing.Safe, request, j.x.Response)
	now := h.config.Clock.Now()
	outcome := origin.OutcomeOf(answer, j.x.Response.StatusCode(), err)
	h.config.Table.Done(now, choice, placement.Report{Outcome: outcome, Load: answer.Load, HasLoad: answer.HasLoad})
	if answer.Misdirected {
		h.config.Table.Remove(choice.Server.ID)
	}
	if answer.ColdFor > 0 {
		h.config.Table.MarkCold(now, choice.Server.ID, answer.ColdFor)
	}
	h.noteCrash(j, choice.Server.ID, outcome, now)
	h.record(j, choice, outcome, err)
	return outcome
}

// noteCrash follows whether requests take servers down.
func (h *Handler) noteCrash(j *job, server string, outcome placement.Outcome, now clock.Millis) {
	switch outcome {
	case placement.Lost:
		h.config.Crashes.Lost(now, j.fingerprint(), server)
	case placement.Unreached:
		h.config.Crashes.Down(now, server)
	case placement.Answered, placement.Failed, placement.Declined:
		h.config.Crashes.Answered(server)
	default:
	}
}

// fingerprint identifies the same request of the same workspace.
func (j *job) fingerprint() placement.Fingerprint {
	digest := xxhash.New()
	if j.workspace != nil {
		_, _ = digest.WriteString(j.workspace.Name)
	}
	for _, part := range [][]byte{j.x.Request.Header.Method(), j.x.Request.Header.Host(), j.x.Request.Header.RequestURI(), j.x.Request.Body()} {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write(part)
	}
	return placement.Fingerprint(digest.Sum64())
}

// record counts an outcome and logs it unless all is well.
func (h *Handler) record(j *job, choice *placement.Choice, outcome placement.Outcome, err error) {
	took := h.config.Clock.Now() - j.began
	metrics.GetOrRegisterCounter("outcomes."+outcome.String(), h.config.Metrics).Inc(1)
	if outcome == placement.Answered {
		metrics.GetOrRegisterHistogram("latency."+j.route.Name, h.config.Metrics, metrics.NewExpDecaySample(latencySamples, latencyDecay)).Update(int64(took))
		return
	}
	reason := "status " + strconv.Itoa(j.x.Response.StatusCode())
	if err != nil {
		reason = err.Error()
	}
	h.config.Log.Info("a backend server did not answer well", "request", j.id, "server", choice.Server.ID,
		"service", j.service, "outcome", outcome.String(), "reason", reason, "took_ms", int64(took),
		"expected_ms", int64(choice.Expected), "left_ms", int64(j.deadline-j.began), "cold", choice.Cold)
}

const (
	latencySamples = 256
	latencyDecay   = 0.015
)

// giveUp ends a request that no server answers. It is refused as not run only
// where that is certain.
func (h *Handler) giveUp(j *job, ran bool, reason string, retryAfter clock.Millis) {
	if !ran {
		h.refuse(j, fasthttp.StatusServiceUnavailable, reason, retryAfter)
		return
	}
	if j.x.Response.StatusCode() >= fasthttp.StatusInternalServerError && len(j.x.Response.Header.Peek(h.config.Dialect.Signature)) > 0 {
		return
	}
	h.refuse(j, fasthttp.StatusBadGateway, reason, 0)
}
