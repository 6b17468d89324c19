package steering

import (
	"context"
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
	// Admitter holds workspaces to their rates.
	Admitter interface {
		// Admit takes one request's token and reports whether there was one.
		Admit(ctx context.Context, workspace string) bool
	}

	// HandlerConfig configures a Handler.
	HandlerConfig struct {
		Clock        clock.Clock
		Log          hclog.Logger
		Metrics      metrics.Registry
		Dialect      origin.HeaderNames
		ControlState *ControlState
		Table        *placement.Balancer
		Pool         *origin.Pool
		RetryBudget  *RetryBudget
		RateLimiter  Admitter
		Crashes      *placement.CrashTracker
	}

	// Handler decides what becomes of callers' requests.
	Handler struct {
		config HandlerConfig
		// closed is set once no further request is taken.
		closed atomic.Bool
	}

	// callerRequest is one request on its way.
	callerRequest struct {
		ctx         context.Context
		exchange    *gateway.Exchange
		id          string
		config      *routing.Config
		route       *routing.Route
		workspace   *routing.Workspace
		service     string
		affinityKey uint64
		startedAt   clock.Millis
		deadline    clock.Millis
		// maxExpectedTime is the time up to which waiting for a server is worth it.
		maxExpectedTime clock.Millis
	}
)

const (
	// responseMargin is left for the answer's way back to the caller.
	responseMargin = 15 * clock.Millis(1)
	// startupRetry is when callers come back to an instance that knows nothing yet.
	startupRetry = 200 * clock.Millis(1)
	// rateLimitRetry is when callers that are over their rate come back.
	rateLimitRetry = 400 * clock.Millis(1)
	// quarantineRetry is when callers of a quarantined request may come back.
	quarantineRetry = 10 * clock.Second
	// retryDivisor is the part of the time left, as a divisor, that callers
	// may be told to wait.
	retryDivisor = 3
)

// NewHandler returns a handler.
func NewHandler(config HandlerConfig) *Handler {
	return &Handler{config: config}
}

// Close has further requests refused, so that a caller is not left with one that
// cannot be finished before the process ends.
func (h *Handler) Close() {
	h.closed.Store(true)
}

// Serve implements gateway.Handler.
func (h *Handler) Serve(ctx context.Context, x *gateway.Exchange) {
	req := &callerRequest{ctx: ctx, exchange: x, startedAt: h.config.Clock.Now()}
	req.id = string(x.Request.Header.Peek(h.config.Dialect.RequestID))
	if !h.prepare(req) || !h.admit(req) {
		return
	}
	if req.route.Mode != routing.Idempotent && !x.AwaitTurn() {
		return
	}
	h.forward(req)
}

// prepare finds the request's route, workspace and deadline. It reports whether
// the request may go on; if not, the refusal is set.
func (h *Handler) prepare(req *callerRequest) bool {
	req.config = h.config.ControlState.Config()
	if req.config == nil {
		return h.refuse(req, fasthttp.StatusServiceUnavailable, "no configuration is known yet", startupRetry)
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
	req.maxExpectedTime = h.maxExpectedTime(req)
	if req.route.Affinity {
		req.affinityKey = h.affinityKey(header)
	}
	return true
}

// authenticate finds the workspace that holds the request's key.
func (h *Handler) authenticate(req *callerRequest) bool {
	if req.route.Open || len(req.config.Workspaces) == 0 {
		return true
	}
	key := string(req.exchange.Request.Header.Peek(h.config.Dialect.APIKey))
	workspace, ok := req.config.WorkspaceByKey(key)
	if !ok {
		return h.refuse(req, fasthttp.StatusUnauthorized, "the key is not known", 0)
	}
	req.workspace = workspace
	return true
}

// timeLimit returns how long the request may take in all.
func (h *Handler) timeLimit(req *callerRequest) clock.Millis {
	left := req.route.Timeout
	if left <= 0 {
		left = defaultTimeout
	}
	asked, err := strconv.ParseInt(string(req.exchange.Request.Header.Peek(h.config.Dialect.Deadline)), 10, 64)
	if err == nil && asked >= 0 {
		left = min(left, clock.Millis(asked)-responseMargin)
	}
	return left
}

// maxExpectedTime returns the expected time up to which the request may wait. The first
// tries of a route are those with its longest deadlines.
func (h *Handler) maxExpectedTime(req *callerRequest) clock.Millis {
	asked, err := strconv.ParseInt(string(req.exchange.Request.Header.Peek(h.config.Dialect.Deadline)), 10, 64)
	if err != nil {
		return req.route.Timeout
	}
	return placement.LatencyBudget{
		Objective: req.route.Objective,
		Timeout:   req.route.Timeout,
		Priority:  req.route.PriorityFor(req.workspace),
		Retry:     req.route.IsRetry(clock.Millis(asked)),
	}.Limit()
}

// defaultTimeout bounds requests on routes without a timeout.
const defaultTimeout = 30 * clock.Second

func (h *Handler) affinityKey(header *fasthttp.RequestHeader) uint64 {
	value := header.Cookie(h.config.Dialect.AffinityCookie)
	if len(value) == 0 {
		return 0
	}
	return xxhash.Sum64(value) | 1
}

// admit checks the authority to act and the workspace's rate.
func (h *Handler) admit(req *callerRequest) bool {
	if h.closed.Load() {
		return h.refuse(req, fasthttp.StatusServiceUnavailable, "this instance stops", 0)
	}
	if !h.config.ControlState.Joined() {
		return h.refuse(req, fasthttp.StatusServiceUnavailable, "this instance has not joined the fleet yet", startupRetry)
	}
	if !h.config.ControlState.HasAuthority() {
		return h.refuse(req, fasthttp.StatusServiceUnavailable, "this instance is cut off", startupRetry)
	}
	if req.workspace == nil || req.workspace.RatePerS <= 0 {
		return true
	}
	if !h.config.RateLimiter.Admit(req.ctx, req.workspace.Name) {
		return h.refuse(req, fasthttp.StatusTooManyRequests, "workspace "+req.workspace.Name+" is over its rate", rateLimitRetry)
	}
	return true
}

// refuse sets an answer of the instance's own. It always returns false.
func (h *Handler) refuse(req *callerRequest, status int, reason string, retryAfter clock.Millis) bool {
	gateway.SetRefusal(req.exchange.Response, status, reason)
	if req.id != "" {
		req.exchange.Response.Header.Set(h.config.Dialect.RequestID, req.id)
	}
	now := h.config.Clock.Now()
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		if req.deadline > 0 {
			retryAfter = min(retryAfter, (req.deadline-now)/retryDivisor)
		}
		gateway.SetRetryAfter(req.exchange.Response, max(retryAfter, 0))
	}
	metrics.GetOrRegisterCounter("refusals."+strconv.Itoa(status), h.config.Metrics).Inc(1)
	version := int64(0)
	if req.config != nil {
		version = req.config.Version
	}
	h.config.Log.Info("request refused", "request", req.id, "status", status, "reason", reason,
		"config", version, "retry_after_ms", int64(retryAfter), "held_ms", int64(now-req.startedAt))
	return false
}
