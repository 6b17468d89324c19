package steering

import (
	"context"
	"math"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/gateway"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

type (
	// Admitter enforces the rate limits of workspaces.
	Admitter interface {
		// Admit takes a token for one request and reports whether it got one.
		Admit(ctx context.Context, workspace string) bool
		// Refund gives the token of a request back that was admitted a moment ago
		// and not run.
		Refund(workspace string)
		// Describe returns log fields that say what a refusal was based on.
		Describe(workspace string) []any
	}

	// HandlerConfig configures a Handler.
	HandlerConfig struct {
		Clock        clock.Clock
		Log          hclog.Logger
		Metrics      metrics.Registry
		Headers      origin.HeaderNames
		ControlState *ControlState
		Balancer     *placement.Balancer
		Pool         *origin.Pool
		RetryBudget  *RetryBudget
		RateLimiter  Admitter
		Crashes      *placement.CrashTracker
	}

	// Handler authenticates and admits callers' requests and forwards them to
	// backend servers. It implements gateway.Handler.
	Handler struct {
		config HandlerConfig
		// closed is set once new requests are refused.
		closed atomic.Bool
		// stopsAt is when requests that still run are cut off, by the config's clock;
		// zero while the instance is not stopping.
		stopsAt atomic.Int64
		peaks   *latencyPeaks
	}

	// callerRequest is a caller's request with the state of its handling.
	callerRequest struct {
		ctx         context.Context
		exchange    *gateway.Exchange
		id          string
		config      *routing.Config
		route       *routing.Route
		workspace   *routing.Workspace
		service     string
		affinityKey uint64
		// key is the caller's API key; empty where the route needs none.
		key string
		// admittedAt is when a token was taken for the request; zero if none was.
		admittedAt clock.Millis
		// failure is the whole failure of the last server that has failed, if any.
		failure   *origin.Response
		startedAt clock.Millis
		deadline  clock.Millis
		// latencyLimit is the longest expected latency with which the request may
		// wait for a free slot.
		latencyLimit clock.Millis
	}
)

const (
	// responseMargin is reserved for sending the response back to the caller.
	responseMargin = 15 * clock.Millis(1)
	// startupRetryAfter is the Retry-After of an instance that has no configuration,
	// has not joined the fleet or has no authority.
	startupRetryAfter = 200 * clock.Millis(1)
	// rateLimitRetryAfter is the Retry-After of a request over its workspace's rate.
	rateLimitRetryAfter = 400 * clock.Millis(1)
	// quarantineRetryAfter is the Retry-After of a quarantined request.
	quarantineRetryAfter = 10 * clock.Second
	// retryAfterDivisor limits Retry-After to a third of the time left until the
	// request's deadline.
	retryAfterDivisor = 3
	// refundTime is how long after its admission a request that was not run gives its
	// token back.
	refundTime = 500 * clock.Millis(1)
	// stopLatencyFactor is how many times its expected latency a request must have left
	// before the instance stops.
	stopLatencyFactor = 2
	// stopPeakPercent is the same for the longest time that a server has taken lately, in
	// percent, for requests that may not be repeated.
	stopPeakPercent = 125
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * clock.Second
)

// NewHandler returns a handler that accepts requests.
func NewHandler(config HandlerConfig) *Handler {
	return &Handler{config: config, peaks: newLatencyPeaks()}
}

// StopIn announces that requests that still run after a time will be cut off. Requests that
// are not expected to end by then are refused from now on.
func (h *Handler) StopIn(after clock.Millis) {
	h.stopsAt.Store(int64(h.config.Clock.Now() + after))
}

// timeToEnd returns the time that is allowed for a request with some time left that is expected
// to take a latency, and the time until the instance stops. One that may not be repeated must
// also be able to take somewhat longer than the slowest of its service lately.
func (h *Handler) timeToEnd(req *callerRequest, left, expected clock.Millis) (needed, stopsIn clock.Millis) {
	stopsAt := clock.Millis(h.stopsAt.Load())
	if stopsAt == 0 {
		return 0, math.MaxInt64
	}
	now := h.config.Clock.Now()
	needed = stopLatencyFactor * expected
	if req.route.Mode != routing.Idempotent {
		needed = max(needed, h.peaks.get(now, req.service)*stopPeakPercent/100)
	}
	return min(left, needed), stopsAt - now
}

// Close makes the handler refuse new requests. During shutdown a request that is
// accepted late might not finish before the process ends.
func (h *Handler) Close() {
	h.closed.Store(true)
}

// Serve implements gateway.Handler.
func (h *Handler) Serve(ctx context.Context, x *gateway.Exchange) {
	req := &callerRequest{ctx: ctx, exchange: x, startedAt: h.config.Clock.Now()}
	defer func() { req.failure.Release() }()
	req.id = string(x.Request.Header.Peek(h.config.Headers.RequestID))
	if !h.prepare(req) || !h.admit(req) {
		return
	}
	if req.route.Mode != routing.Idempotent && !x.AwaitEarlierResponses() {
		return
	}
	h.forward(req)
}

// prepare determines the request's route, workspace and deadline. It reports whether
// handling continues; if not, the response has been set.
func (h *Handler) prepare(req *callerRequest) bool {
	req.config = h.config.ControlState.Config()
	if req.config == nil {
		return h.refuse(req, fasthttp.StatusServiceUnavailable, "no configuration is known yet", startupRetryAfter)
	}
	header := &req.exchange.Request.Header
	path, _, _ := strings.Cut(string(header.RequestURI()), "?")
	route, ok := req.config.Match(string(header.Host()), path)
	if !ok {
		return h.refuse(req, fasthttp.StatusNotFound, "no route matches", 0)
	}
	req.route = route
	if !h.authenticate(req) {
		return false
	}
	if req.id == "" {
		return h.refuse(req, fasthttp.StatusBadRequest, "the request has no id", 0)
	}
	req.deadline = req.startedAt + h.timeLimit(req)
	req.latencyLimit = h.latencyLimit(req)
	if req.route.Affinity {
		req.affinityKey = h.affinityKey(header)
	}
	return true
}

// authenticate looks up the workspace by the request's key. Open routes, and
// configurations without workspaces, need no key.
func (h *Handler) authenticate(req *callerRequest) bool {
	if req.route.Open || len(req.config.Workspaces) == 0 {
		return true
	}
	key := string(req.exchange.Request.Header.Peek(h.config.Headers.APIKey))
	workspace, ok := req.config.WorkspaceByKey(key)
	if !ok {
		return h.refuse(req, fasthttp.StatusUnauthorized, "the key is not known", 0)
	}
	req.workspace = workspace
	req.key = key
	return true
}

// revocation returns why this instance may no longer send a request that it has accepted,
// or an empty string if it may. The request may have waited, or this process may have been
// paused, since it was accepted.
func (h *Handler) revocation(req *callerRequest) string {
	if !h.config.ControlState.HasAuthority() {
		return "this instance is cut off"
	}
	current := h.config.ControlState.Config()
	if current == req.config || req.workspace == nil {
		return ""
	}
	if workspace, ok := current.WorkspaceByKey(req.key); !ok || workspace.Name != req.workspace.Name {
		return "the key was withdrawn while the request waited"
	}
	return ""
}

// timeLimit returns the total time for the request: the route's timeout or, if
// shorter, the caller's deadline less responseMargin.
func (h *Handler) timeLimit(req *callerRequest) clock.Millis {
	limit := req.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	requested, err := strconv.ParseInt(string(req.exchange.Request.Header.Peek(h.config.Headers.Deadline)), 10, 64)
	if err == nil && requested >= 0 {
		limit = min(limit, clock.Millis(requested)-responseMargin)
	}
	return limit
}

// latencyLimit returns the longest expected latency with which the request may wait for
// a free slot; without a valid deadline header it is the route's timeout. A deadline more
// than 1 % shorter than the longest one seen on the route marks a retry by the caller.
func (h *Handler) latencyLimit(req *callerRequest) clock.Millis {
	requested, err := strconv.ParseInt(string(req.exchange.Request.Header.Peek(h.config.Headers.Deadline)), 10, 64)
	if err != nil {
		return req.route.Timeout
	}
	return placement.LatencyBudget{
		Objective: req.route.Objective,
		Timeout:   req.route.Timeout,
		Priority:  req.route.PriorityFor(req.workspace),
		Retry:     req.route.IsRetry(clock.Millis(requested)),
	}.Limit()
}

// affinityKey returns a hash of the affinity cookie, which is never zero, or zero if
// there is no cookie.
func (h *Handler) affinityKey(header *fasthttp.RequestHeader) uint64 {
	value := header.Cookie(h.config.Headers.AffinityCookie)
	if len(value) == 0 {
		return 0
	}
	return xxhash.Sum64(value) | 1
}

// admit checks that this instance may serve requests and that the workspace is within
// its rate. It reports whether handling continues; if not, the response has been set.
func (h *Handler) admit(req *callerRequest) bool {
	if h.closed.Load() {
		return h.refuse(req, fasthttp.StatusServiceUnavailable, "this instance stops", 0)
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
