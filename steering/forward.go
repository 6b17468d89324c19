package steering

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/valyala/fasthttp"
)

const (
	// maxServersTried is how many backend servers are tried, including unreachable
	// ones, before a failed attempt or one without a response is no longer retried.
	// Declined attempts and those without a connection are always followed by another
	// one.
	maxServersTried = 4
	// quarantineRetryAfter is the Retry-After of a quarantined request.
	quarantineRetryAfter = 10 * clock.Second
)

// forward sends the request to one backend server after another until one of them
// responds or no further attempt is allowed.
func (h *Handler) forward(req *callerRequest) {
	if h.refuseQuarantined(req) || !h.pickService(req) {
		return
	}
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
		if fields, early := h.stopsTooEarly(req, 0); early {
			h.giveUp(req, maybeRan, stopReason, 0, fields...)
			return
		}
		choice, refusal := h.choose(req, tried)
		if refusal != nil {
			h.giveUp(req, maybeRan, refusal.Reason, refusal.RetryAfter, req.refusalFields(refusal)...)
			return
		}
		left = req.deadline - h.config.Clock.Now()
		if fields, early := h.stopsTooEarly(req, choice.ExpectedLatency); early {
			h.release(choice, placement.Result{Outcome: placement.Withheld})
			h.giveUp(req, maybeRan, stopReason, 0, fields...)
			return
		}
		if sent > 0 && !h.config.RetryBudget.TryWithdraw(req.service) {
			h.release(choice, placement.Result{Outcome: placement.Withheld})
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

// refuseQuarantined refuses a request that has crashed backend servers. It reports whether it has.
func (h *Handler) refuseQuarantined(req *callerRequest) bool {
	if !h.config.Crashes.AnyQuarantined() || !h.config.Crashes.IsQuarantined(req.startedAt, req.fingerprint()) {
		return false
	}
	h.refuse(req, fasthttp.StatusServiceUnavailable, "the request has crashed backend servers", quarantineRetryAfter)
	return true
}

// pickService determines the service for the request. It reports whether that can be used; if not,
// the response has been set.
func (h *Handler) pickService(req *callerRequest) bool {
	req.service = req.route.PickService()
	problem := req.config.ServiceProblem(req.service)
	if problem != "" {
		h.giveUp(req, false, "the service cannot be used", unusableRetryAfter, "service", req.service, "problem", problem)
	}
	return problem == ""
}
