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

// forward sends the request to backend servers until one has answered it or it is
// given up.
func (h *Handler) forward(req *callerRequest) {
	if h.config.Crashes.AnyQuarantined() && h.config.Crashes.IsQuarantined(req.startedAt, req.fingerprint()) {
		h.refuse(req, fasthttp.StatusServiceUnavailable, "the request has crashed backend servers", quarantineRetry)
		return
	}
	req.service = req.route.PickService()
	h.config.RetryBudget.Deposit(req.service)
	tried := values.NewSet[string]()
	sent, ran := 0, false
	for {
		left := req.deadline - h.config.Clock.Now()
		if left <= 0 || req.ctx.Err() != nil {
			h.giveUp(req, ran, "the deadline has passed", 0)
			return
		}
		choice, refusal := h.config.Table.Choose(h.config.Clock.Now(), h.placementQuery(req, tried, left))
		if refusal != nil {
			h.giveUp(req, ran, refusal.Reason, refusal.RetryAfter)
			return
		}
		if sent > 0 && !h.config.RetryBudget.TryWithdraw(req.service) {
			h.config.Table.Done(h.config.Clock.Now(), choice, placement.Result{Outcome: placement.GivenUp})
			h.giveUp(req, ran, "the retry budget is spent", choice.ExpectedLatency)
			return
		}
		outcome := h.attempt(req, choice, left)
		tried = tried.With(choice.Server.ID)
		if outcome != placement.Unreached && outcome != placement.Busy {
			sent++
		}
		ran = ran || mayHaveRun(outcome)
		if h.handleOutcome(req, outcome, sent, tried.Len()) {
			return
		}
	}
}

func mayHaveRun(outcome placement.Outcome) bool {
	return outcome == placement.Lost || outcome == placement.Overdue || outcome == placement.Failed || outcome == placement.GivenUp
}

// handleOutcome reports whether an outcome ends the request. Where it does, the
// answer is set.
func (h *Handler) handleOutcome(req *callerRequest, outcome placement.Outcome, sent, tried int) bool {
	more := sent < req.route.MaxAttempts && tried < maxServersTried
	safe := req.route.Mode == routing.Idempotent
	switch outcome {
	case placement.Answered:
		return true
	case placement.Failed:
		return !safe || !more
	case placement.Overdue:
		h.refuse(req, fasthttp.StatusGatewayTimeout, "no answer came in time", 0)
		return true
	case placement.GivenUp:
		return true
	case placement.Lost:
		if safe && more {
			return false
		}
		h.refuse(req, fasthttp.StatusBadGateway, "the answer was lost", 0)
		return true
	default:
		return false
	}
}

// maxServersTried bounds the servers that a request is offered to, those that could
// not be reached among them.
const maxServersTried = 4

func (h *Handler) placementQuery(req *callerRequest, tried values.Set[string], left clock.Millis) placement.Query {
	return placement.Query{
		Service:       req.service,
		Route:         req.route.Name,
		Object:        req.affinityKey,
		RegionAllowed: func(region string) bool { return req.route.AllowsRegion(req.workspace, region) },
		Exclude:       tried,
		Idempotent:    req.route.Mode == routing.Idempotent,
		TimeLeft:      left,
		Objective:     req.route.Objective,
		LatencyLimit:  req.maxExpectedTime,
	}
}

// attempt sends the request to one server and settles what is known of it.
func (h *Handler) attempt(req *callerRequest, choice *placement.Choice, left clock.Millis) placement.Outcome {
	req.exchange.Response.Reset()
	request := &origin.Request{ID: req.id, Pin: choice.Server.ID, TimeLeft: left, Source: req.exchange.Request}
	if req.workspace != nil {
		request.Workspace = req.workspace.Name
	}
	answer, err := h.config.Pool.Do(req.ctx, choice.Server, req.route.Mode == routing.Idempotent, request, req.exchange.Response)
	now := h.config.Clock.Now()
	outcome := origin.OutcomeOf(answer, req.exchange.Response.StatusCode(), err)
	h.config.Table.Done(now, choice, placement.Result{Outcome: outcome, Load: answer.Load, HasLoad: answer.HasLoad})
	if answer.Misdirected {
		h.config.Table.MarkDraining(choice.Server.ID)
	}
	if answer.ColdFor > 0 {
		h.config.Table.MarkCold(now, choice.Server.ID, answer.ColdFor)
	}
	h.trackCrash(req, choice.Server.ID, outcome, now)
	h.recordOutcome(req, choice, outcome, err)
	return outcome
}

// trackCrash follows whether requests take servers down.
func (h *Handler) trackCrash(req *callerRequest, server string, outcome placement.Outcome, now clock.Millis) {
	switch outcome {
	case placement.Lost:
		h.config.Crashes.RecordLostAnswer(now, req.fingerprint(), server)
	case placement.Unreached:
		h.config.Crashes.RecordDown(now, server)
	case placement.Answered, placement.Failed, placement.Declined:
		h.config.Crashes.RecordAnswer(server)
	default:
	}
}

// fingerprint identifies the same request of the same workspace.
func (req *callerRequest) fingerprint() placement.Fingerprint {
	digest := xxhash.New()
	if req.workspace != nil {
		_, _ = digest.WriteString(req.workspace.Name)
	}
	for _, part := range [][]byte{req.exchange.Request.Header.Method(), req.exchange.Request.Header.Host(), req.exchange.Request.Header.RequestURI(), req.exchange.Request.Body()} {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write(part)
	}
	return placement.Fingerprint(digest.Sum64())
}

// recordOutcome counts an outcome and logs it unless all is well.
func (h *Handler) recordOutcome(req *callerRequest, choice *placement.Choice, outcome placement.Outcome, err error) {
	took := h.config.Clock.Now() - req.startedAt
	metrics.GetOrRegisterCounter("outcomes."+outcome.String(), h.config.Metrics).Inc(1)
	if outcome == placement.Answered {
		metrics.GetOrRegisterHistogram("latency."+req.route.Name, h.config.Metrics, metrics.NewExpDecaySample(latencyReservoirSize, latencyDecayAlpha)).Update(int64(took))
		return
	}
	reason := "status " + strconv.Itoa(req.exchange.Response.StatusCode())
	if err != nil {
		reason = err.Error()
	}
	h.config.Log.Info("a backend server did not answer well", "request", req.id, "server", choice.Server.ID,
		"service", req.service, "outcome", outcome.String(), "reason", reason, "took_ms", int64(took),
		"expected_ms", int64(choice.ExpectedLatency), "left_ms", int64(req.deadline-req.startedAt), "cold", choice.Cold)
}

const (
	latencyReservoirSize = 256
	latencyDecayAlpha    = 0.015
)

// giveUp ends a request that no server answers. It is refused as not run only
// where that is certain.
func (h *Handler) giveUp(req *callerRequest, ran bool, reason string, retryAfter clock.Millis) {
	if !ran {
		h.refuse(req, fasthttp.StatusServiceUnavailable, reason, retryAfter)
		return
	}
	if req.exchange.Response.StatusCode() >= fasthttp.StatusInternalServerError && len(req.exchange.Response.Header.Peek(h.config.Dialect.Signature)) > 0 {
		return
	}
	h.refuse(req, fasthttp.StatusBadGateway, reason, 0)
}
