package steering

import (
	"strconv"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/gateway"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// retryAfterDivisor limits Retry-After to a third of the time left until the
// request's deadline.
const retryAfterDivisor = 3

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
func (req *callerRequest) refusalFields(refusal *placement.Refusal) []any {
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
	return append(req.standingFields(),
		"server", best.Server, "candidates", best.Candidates, "fanout", best.Fanout, "expected_ms", int64(best.Latency),
		"limit_ms", int64(best.Limit), "base_ms", int64(best.BaseLatency), "queue_ms", int64(best.QueueTime),
		"factor", round(best.LatencyFactor), "pace", round(best.Pace),
		"pace_age_ms", int64(best.PaceAge), "in_flight", best.InFlight, "load", best.Load, "slots", best.Slots,
		"report_age_ms", int64(best.ReportAge), "warm", best.Warm, "cold", best.Cold,
	)
}

// refuse sets an error response and logs it. A 503 or 429 carries a Retry-After that is
// limited by the time left until the deadline. The fields are added to the log line. It
// always returns false.
func (h *Handler) refuse(req *callerRequest, status int, reason string, retryAfter clock.Millis, fields ...any) bool {
	response := gateway.NewErrorResponse(status, reason)
	req.exchange.Respond(response, func() { fasthttp.ReleaseResponse(response) })
	if req.id != "" {
		response.Header.Set(h.config.Headers.RequestID, req.id)
	}
	now := h.config.Clock.Now()
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		if req.deadline > 0 {
			retryAfter = min(retryAfter, (req.deadline-now)/retryAfterDivisor)
		}
		gateway.SetRetryAfter(response, max(retryAfter, 0))
	}
	metrics.GetOrRegisterCounter("refusals."+strconv.Itoa(status), h.config.Metrics).Inc(1)
	version := int64(0)
	if req.config != nil {
		version = req.config.Version
	}
	fields = append([]any{"request", req.id, "status", status, "reason", reason, "config", version,
		"retry_after_ms", int64(retryAfter), "held_ms", int64(now - req.startedAt)}, fields...)
	h.config.Log.Info("request refused", fields...)
	return false
}
