package steering

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/valyala/fasthttp"
)

const (
	// rateLimitRetryAfter is the Retry-After of a request over its workspace's rate.
	rateLimitRetryAfter = 400 * clock.Millis(1)
	// refundTime is how long after its admission a request that was not run gives its
	// token back.
	refundTime = 500 * clock.Millis(1)
)

// admit checks that this instance may serve requests and that the workspace is within
// its rate. It reports whether handling continues; if not, the response has been set.
func (h *Handler) admit(req *callerRequest) bool {
	if fields, early := h.stopsTooEarly(req, 0); early {
		return h.refuse(req, fasthttp.StatusServiceUnavailable, stopReason, 0, fields...)
	}
	if !h.config.ControlState.Joined() {
		return h.refuse(req, fasthttp.StatusServiceUnavailable, "this instance has not joined the fleet yet", startupRetryAfter)
	}
	if !h.config.ControlState.HasAuthority() {
		return h.refuse(req, fasthttp.StatusServiceUnavailable, "this instance is cut off", startupRetryAfter)
	}
	if req.workspace == nil || req.workspace.RatePerS <= 0 {
		return true
	}
	if !h.config.RateLimiter.Admit(req.ctx, req.workspace.Name) {
		return h.refuse(req, fasthttp.StatusTooManyRequests, "workspace "+req.workspace.Name+" is over its rate", rateLimitRetryAfter, h.config.RateLimiter.Describe(req.workspace.Name)...)
	}
	req.admittedAt = h.config.Clock.Now()
	return true
}

// refund gives back the token of a request that was not run. Later than refundTime the
// workspace's bucket has filled up meanwhile, and the token would come on top.
func (h *Handler) refund(req *callerRequest) {
	if req.admittedAt > 0 && h.config.Clock.Now()-req.admittedAt < refundTime {
		h.config.RateLimiter.Refund(req.workspace.Name)
	}
}
