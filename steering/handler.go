package steering

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/bulrushferry/bulrushferry/admission"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/gateway"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/retry"
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
		RetryBudget  *retry.Budget
		RateLimiter  Admitter
		Crashes      *placement.CrashTracker
		Admission    *admission.Controller
	}

	// Handler authenticates and admits callers' requests and forwards them to
	// backend servers. It implements gateway.Handler.
	Handler struct {
		config HandlerConfig
		// shutdown is nil while the instance is not stopping.
		shutdown atomic.Pointer[shutdown]
		// room holds the requests that wait for a server.
		room *admission.Room[*waiter]
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
		// waitsSince is when the request began to wait for room; zero if it has not. wait is
		// how that ended.
		waitsSince clock.Millis
		wait       waitEnd
		// standing is how the request stood among the others of its service when a server
		// was last looked for, and returns when the caller is to come back if none was
		// found.
		standing admission.Standing
		returns  admission.Return
	}
)

const (
	// responseMargin is reserved for sending the response back to the caller.
	responseMargin = 15 * clock.Millis(1)
	// startupRetryAfter is the Retry-After of an instance that has no configuration,
	// has not joined the fleet or has no authority.
	startupRetryAfter = 200 * clock.Millis(1)
	// unusableRetryAfter is the Retry-After of requests that concern a resource of the
	// configuration that cannot be used, until somebody has mended it.
	unusableRetryAfter = 10 * clock.Second
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * clock.Second
)

// NewHandler returns a handler that accepts requests.
func NewHandler(config HandlerConfig) *Handler {
	return &Handler{config: config, room: admission.NewRoom[*waiter](maxWaiting)}
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
	if route.Problem != "" {
		return h.refuseUnusable(req, "the route cannot be used", route.Problem)
	}
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
