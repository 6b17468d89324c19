package steering

import (
	"strconv"
	"strings"
	"unicode"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
)

const (
	// latencyReservoirSize and latencyDecayAlpha are the size and the decay factor of
	// the exponentially decaying sample of each route's latencies.
	latencyReservoirSize = 256
	latencyDecayAlpha    = 0.015
	// maxMetricNameBytes limits how much of a route's name is part of a metric's.
	maxMetricNameBytes = 200
)

// wasSent reports whether any byte of the request may have reached the backend server.
func wasSent(outcome placement.Outcome) bool {
	return outcome != placement.Unreachable && outcome != placement.ConnectionLimit && outcome != placement.Withheld
}

// mayHaveRun reports whether the backend server may have executed the request.
func mayHaveRun(outcome placement.Outcome) bool {
	return outcome == placement.ResponseLost || outcome == placement.TimedOut || outcome == placement.Failed || outcome == placement.Canceled
}

// attempt sends the request to one backend server and reports the outcome to the balancer
// and to the crash tracker. It returns the server's response if there is one.
func (h *Handler) attempt(req *callerRequest, choice *placement.Choice, left clock.Millis) (*origin.Response, placement.Outcome) {
	outbound := &origin.Request{ID: req.id, Pin: choice.Server.ID, TimeLeft: left, Source: req.exchange.Request, Body: req.exchange.Body}
	outbound.Withhold = func() string {
		if !h.config.Balancer.MaySend(h.config.Clock.Now(), choice) {
			return "the server left, paused or went out of use"
		}
		if _, early := h.stopsTooEarly(req, choice.ExpectedLatency); early {
			return stopReason
		}
		return h.revocation(req)
	}
	if req.workspace != nil {
		outbound.Workspace = req.workspace.Name
	}
	response, info, err := h.config.Pool.Do(req.ctx, choice.Server, req.route.Mode == routing.Idempotent, outbound)
	now := h.config.Clock.Now()
	outcome := origin.OutcomeOf(info, err)
	h.release(choice, placement.Result{
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
		metrics.GetOrRegisterHistogram("latency."+metricName(req.route.Name), h.config.Metrics, metrics.NewExpDecaySample(latencyReservoirSize, latencyDecayAlpha)).Update(int64(elapsed))
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

// metricName returns a text as a part of a metric's name, which takes a line when metrics are
// written.
func metricName(text string) string {
	if len(text) > maxMetricNameBytes {
		text = text[:maxMetricNameBytes]
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '_'
	}, text)
}
