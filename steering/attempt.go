package steering

import (
	"math"
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

const (
	// maxServersTried is how many backend servers are tried, including unreachable
	// ones, before a failed attempt or one without a response is no longer retried.
	// Declined attempts and those without a connection are always followed by another
	// one.
	maxServersTried = 4
	// latencyReservoirSize and latencyDecayAlpha are the size and the decay factor of
	// the exponentially decaying sample of each route's latencies.
	latencyReservoirSize = 256
	latencyDecayAlpha    = 0.015
)

// forward sends the request to one backend server after another until one of them
// responds or no further attempt is allowed.
func (h *Handler) forward(req *callerRequest) {
	if h.config.Crashes.AnyQuarantined() && h.config.Crashes.IsQuarantined(req.startedAt, req.fingerprint()) {
		h.refuse(req, fasthttp.StatusServiceUnavailable, "the request has crashed backend servers", quarantineRetryAfter)
		return
	}
	req.service = req.route.PickService()
	h.config.RetryBudget.Deposit(req.service)
	tried := values.NewSet[string]()
	sent, maybeRan := 0, false
	for {
		left := req.deadline - h.config.Clock.Now()
		if left <= 0 || req.ctx.Err() != nil {
			h.giveUp(req, maybeRan, "the deadline has passed", 0)
			return
		}
		if reason := h.revocation(req); reason != "" {
			h.giveUp(req, maybeRan, reason, startupRetryAfter)
			return
		}
		choice, refusal := h.config.Balancer.Choose(h.config.Clock.Now(), h.placementQuery(req, tried, left))
		if refusal != nil {
			h.giveUp(req, maybeRan, refusal.Reason, refusal.RetryAfter, refusalFields(refusal)...)
			return
		}
		if needed, stopsIn := h.timeToEnd(req, left, choice.ExpectedLatency); needed >= stopsIn {
			h.config.Balancer.Done(h.config.Clock.Now(), choice, placement.Result{Outcome: placement.Canceled})
			h.giveUp(req, maybeRan, "this instance stops before the request would end", 0,
				"expected_ms", int64(choice.ExpectedLatency), "needed_ms", int64(needed), "stops_in_ms", int64(stopsIn), "left_ms", int64(left))
			return
		}
		if sent > 0 && !h.config.RetryBudget.TryWithdraw(req.service) {
			h.config.Balancer.Done(h.config.Clock.Now(), choice, placement.Result{Outcome: placement.Canceled})
			h.giveUp(req, maybeRan, "the retry budget is spent", choice.ExpectedLatency)
			return
		}
		response, outcome := h.attempt(req, choice, left)
		tried = tried.With(choice.Server.ID)
		if wasSent(outcome) {
			sent++
		}
		maybeRan = maybeRan || mayHaveRun(outcome)
		if h.handleOutcome(req, response, outcome, sent, tried.Len()) {
			return
		}
	}
}

// wasSent reports whether any byte of the request may have reached the backend server.
func wasSent(outcome placement.Outcome) bool {
	return outcome != placement.Unreachable && outcome != placement.ConnectionLimit && outcome != placement.Withheld
}

// mayHaveRun reports whether the backend server may have executed the request.
func mayHaveRun(outcome placement.Outcome) bool {
	return outcome == placement.ResponseLost || outcome == placement.TimedOut || outcome == placement.Failed || outcome == placement.Canceled
}

// handleOutcome reports whether the outcome of an attempt is final. If it is, the request
// has been responded to, unless it was canceled. The response is nil unless a server has
// answered or failed.
func (h *Handler) handleOutcome(req *callerRequest, response *origin.Response, outcome placement.Outcome, sent, tried int) bool {
	canRetry := sent < req.route.MaxAttempts && tried < maxServersTried
	idempotent := req.route.Mode == routing.Idempotent
	switch outcome {
	case placement.Answered:
		req.respond(response)
		return true
	case placement.Failed:
		req.keepFailure(response)
		if idempotent && canRetry {
			return false
		}
		req.respondWithFailure()
		return true
	case placement.TimedOut:
		h.refuse(req, fasthttp.StatusGatewayTimeout, "no answer came in time", 0)
		return true
	case placement.Canceled:
		return true
	case placement.ResponseLost:
		if idempotent && canRetry {
			return false
		}
		if !req.respondWithFailure() {
			h.refuse(req, fasthttp.StatusBadGateway, "the answer was lost", 0)
		}
		return true
	default:
		return false
	}
}

// respond passes a server's response on to the caller.
func (req *callerRequest) respond(response *origin.Response) {
	req.exchange.Respond(response.Message(), response.Release)
}

// keepFailure keeps the failure of the last server that has failed, in case no other
// server answers.
func (req *callerRequest) keepFailure(response *origin.Response) {
	req.failure.Release()
	req.failure = response
}

// respondWithFailure passes on the failure that was kept. It reports whether there is one.
func (req *callerRequest) respondWithFailure() bool {
	if req.failure == nil {
		return false
	}
	req.respond(req.failure)
	req.failure = nil
	return true
}

// placementQuery describes the request to the balancer. Servers in tried are excluded;
// left is the time until the deadline.
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
		LatencyLimit:  req.latencyLimit,
	}
}

// attempt sends the request to one backend server and reports the outcome to the balancer
// and to the crash tracker. It returns the server's response if there is one.
func (h *Handler) attempt(req *callerRequest, choice *placement.Choice, left clock.Millis) (*origin.Response, placement.Outcome) {
	outbound := &origin.Request{ID: req.id, Pin: choice.Server.ID, TimeLeft: left, Source: req.exchange.Request, Body: req.exchange.Body}
	outbound.Withhold = func() string {
		if !h.config.Balancer.MaySend(h.config.Clock.Now(), choice) {
			return "the server left, paused or went out of use"
		}
		return h.revocation(req)
	}
	if req.workspace != nil {
		outbound.Workspace = req.workspace.Name
	}
	sentAt := h.config.Clock.Now()
	response, info, err := h.config.Pool.Do(req.ctx, choice.Server, req.route.Mode == routing.Idempotent, outbound)
	now := h.config.Clock.Now()
	outcome := origin.OutcomeOf(info, err)
	if response != nil {
		h.peaks.observe(now, req.service, now-sentAt)
	}
	h.config.Balancer.Done(now, choice, placement.Result{
		Outcome: outcome, Load: info.Load.Requests, HasLoad: info.Load.HasRequests, Pace: info.Load.Pace, HasPace: info.Load.HasPace,
	})
	h.recordNotice(req, choice.Server, info, now)
	h.trackCrash(req, choice.Server.ID, outcome, now)
	h.recordOutcome(req, choice, outcome, info.Status, err)
	return response, outcome
}

// recordNotice passes on to the balancer what the backend server has said of itself, and
// logs what is new.
func (h *Handler) recordNotice(req *callerRequest, server placement.Server, info origin.ResponseInfo, now clock.Millis) {
	incarnation := placement.Incarnation{ID: server.ID, StartUnixMs: server.StartUnixMs}
	if info.Misdirected && h.config.Balancer.MarkGone(now, incarnation) {
		h.config.Log.Info("another backend server answers at this one's address", "server", server.ID, "address", server.Address, "request", req.id)
	}
	if info.ColdFor > 0 {
		h.config.Balancer.MarkCold(now, server.ID, info.ColdFor)
	}
	if info.Leaving && h.config.Balancer.MarkLeaving(now, placement.Departure{Incarnation: incarnation}) {
		metrics.GetOrRegisterCounter("servers.leaving", h.config.Metrics).Inc(1)
		h.config.Log.Info("backend server says that it leaves", "server", server.ID, "service", server.Service, "request", req.id)
	}
	if info.Pause.For > 0 && h.config.Balancer.Pause(now, incarnation, info.Pause.For) {
		metrics.GetOrRegisterCounter("servers.pauses", h.config.Metrics).Inc(1)
		h.config.Log.Info("backend server asks for a pause", "server", server.ID, "service", server.Service, "request", req.id,
			"pause_ms", int64(info.Pause.For))
	}
	if info.Pause.Given != "" {
		metrics.GetOrRegisterCounter("servers.invalid_pauses", h.config.Metrics).Inc(1)
		h.config.Log.Warn("backend server asks for a pause of an invalid length", "server", server.ID, "request", req.id,
			"given", info.Pause.Given, "pause_ms", int64(info.Pause.For))
	}
	if info.Load.Invalid != "" {
		h.config.Log.Warn("backend server reports an invalid load", "server", server.ID, "request", req.id, "given", info.Load.Invalid,
			"load", info.Load.Requests, "load_read", info.Load.HasRequests, "pace", info.Load.Pace, "pace_read", info.Load.HasPace)
	}
}

// trackCrash tells the crash tracker whether a backend server responded, gave no response
// or could not be reached.
func (h *Handler) trackCrash(req *callerRequest, server string, outcome placement.Outcome, now clock.Millis) {
	switch outcome {
	case placement.ResponseLost:
		h.config.Crashes.RecordLostResponse(now, req.fingerprint(), server)
	case placement.Unreachable:
		h.config.Crashes.RecordDown(now, server)
	case placement.Answered, placement.Failed, placement.Declined:
		h.config.Crashes.RecordResponse(server)
	default:
	}
}

// fingerprint hashes the workspace, method, host, URI and body, so that repeats of a
// request have the same fingerprint.
func (req *callerRequest) fingerprint() placement.Fingerprint {
	digest := xxhash.New()
	if req.workspace != nil {
		_, _ = digest.WriteString(req.workspace.Name)
	}
	for _, part := range [][]byte{req.exchange.Request.Header.Method(), req.exchange.Request.Header.Host(), req.exchange.Request.Header.RequestURI(), nil} {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write(part)
	}
	for _, part := range req.exchange.Body.Segments() {
		_, _ = digest.Write(part)
	}
	return placement.Fingerprint(digest.Sum64())
}

// recordOutcome counts the outcome of an attempt. On success it records the latency
// since the start of the request; any other outcome is logged.
func (h *Handler) recordOutcome(req *callerRequest, choice *placement.Choice, outcome placement.Outcome, status int, err error) {
	elapsed := h.config.Clock.Now() - req.startedAt
	metrics.GetOrRegisterCounter("outcomes."+outcome.String(), h.config.Metrics).Inc(1)
	if outcome == placement.Answered {
		metrics.GetOrRegisterHistogram("latency."+req.route.Name, h.config.Metrics, metrics.NewExpDecaySample(latencyReservoirSize, latencyDecayAlpha)).Update(int64(elapsed))
		return
	}
	reason := "status " + strconv.Itoa(status)
	if err != nil {
		reason = err.Error()
	}
	h.config.Log.Info("attempt at backend server failed", "request", req.id, "server", choice.Server.ID,
		"service", req.service, "outcome", outcome.String(), "reason", reason, "took_ms", int64(elapsed),
		"expected_ms", int64(choice.ExpectedLatency), "left_ms", int64(req.deadline-req.startedAt), "cold", choice.Cold)
}

// giveUp ends a request for which no further attempt is made. It responds with 503 only
// if no backend server can have run the request. Otherwise it passes on the last whole
// failure of a server, or responds with 502 if there is none.
func (h *Handler) giveUp(req *callerRequest, maybeRan bool, reason string, retryAfter clock.Millis, fields ...any) {
	if !maybeRan {
		h.refund(req)
		h.refuse(req, fasthttp.StatusServiceUnavailable, reason, retryAfter, fields...)
		return
	}
	if !req.respondWithFailure() {
		h.refuse(req, fasthttp.StatusBadGateway, reason, 0, fields...)
	}
}

// refusalFields returns the log fields that say what a refusal was based on.
func refusalFields(refusal *placement.Refusal) []any {
	if excluded := refusal.Exclusions; excluded != nil {
		return []any{
			"servers", excluded.Counted, "not_accepting", excluded.NotAccepting, "leaving", excluded.Leaving, "paused", excluded.Paused,
			"gone", excluded.Gone, "tried", excluded.Tried, "failing", excluded.Failing, "cold", excluded.Cold,
		}
	}
	best := refusal.Best
	if best == nil {
		return nil
	}
	return []any{
		"server", best.Server, "candidates", best.Candidates, "fanout", best.Fanout, "expected_ms", int64(best.Latency),
		"limit_ms", int64(best.Limit), "base_ms", int64(best.BaseLatency), "queue_ms", int64(best.QueueTime),
		"factor", math.Round(best.LatencyFactor*100) / 100, "pace", math.Round(best.Pace*100) / 100,
		"pace_age_ms", int64(best.PaceAge), "in_flight", best.InFlight, "load", best.Load, "slots", best.Slots,
		"report_age_ms", int64(best.ReportAge), "warm", best.Warm, "cold", best.Cold,
	}
}
