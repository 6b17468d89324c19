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
		Clock     clock.Clock
		Log       hclog.Logger
		Metrics   metrics.Registry
		Dialect   origin.HeaderNames
		Knowledge *Knowledge
		Table     *placement.Table
		Pool      *origin.Pool
		Budget    *Budget
		Rates     Admitter
		Crashes   *placement.Crashes
	}

	// Handler decides what becomes of callers' requests.
	Handler struct {
		config HandlerConfig
		// closed is set once no further request is taken.
		closed atomic.Bool
	}

	// job is one request on its way.
	job struct {
		ctx       context.Context
		x         *gateway.Exchange
		id        string
		config    *routing.Config
		route     *routing.Route
		workspace *routing.Workspace
		service   string
		object    uint64
		began     clock.Millis
		deadline  clock.Millis
		// patience is the time up to which waiting for a server is worth it.
		patience clock.Millis
	}
)

const (
	// answerMargin is left for the answer's way back to the caller.
	answerMargin = 15 * clock.Millis(1)
	// startRetry is when callers come back to an instance that knows nothing yet.
	startRetry = 200 * clock.Millis(1)
	// rateRetry is when callers that are over their rate come back.
	rateRetry = 400 * clock.Millis(1)
	// noRetrySoon is when callers of a quarantined request may come back.
	noRetrySoon = 10 * clock.Second
	// retryPart is the part of the time left, as a divisor, that callers
	// may be told to wait.
	retryPart = 3
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
	j := &job{ctx: ctx, x: x, began: h.config.Clock.Now()}
	j.id = string(x.Request.Header.Peek(h.config.Dialect.RequestID))
	if !h.prepare(j) || !h.admit(j) {
		return
	}
	if j.route.Kind != routing.Safe && !x.AwaitTurn() {
		return
	}
	h.run(j)
}

// prepare finds the request's route, workspace and deadline. It reports whether
// the request may go on; if not, the refusal is set.
func (h *Handler) prepare(j *job) bool {
	j.config = h.config.Knowledge.Config()
	if j.config == nil {
		return h.refuse(j, fasthttp.StatusServiceUnavailable, "no configuration is known yet", startRetry)
	}
	header := &j.x.Request.Header
	path, _, _ := strings.Cut(string(header.RequestURI()), "?")
	route, ok := j.config.Match(string(header.Host()), path)
	if !ok {
		return h.refuse(j, fasthttp.StatusNotFound, "no route matches", 0)
	}
	j.route = route
	if !h.identify(j) {
		return false
	}
	if j.id == "" {
		return h.refuse(j, fasthttp.StatusBadRequest, "the request has no id", 0)
	}
	j.deadline = j.began + h.timeLeft(j)
	j.patience = h.patience(j)
	if j.route.Affinity {
		j.object = h.object(header)
	}
	return true
}

// identify finds the workspace that holds the request's key.
func (h *Handler) identify(j *job) bool {
	if j.route.Open || len(j.config.Workspaces) == 0 {
		return true
	}
	key := string(j.x.Request.Header.Peek(h.config.Dialect.APIKey))
	workspace, ok := j.config.KeyHolder(key)
	if !ok {
		return h.refuse(j, fasthttp.StatusUnauthorized, "the key is not known", 0)
	}
	j.workspace = workspace
	return true
}

// timeLeft returns how long the request may take in all.
func (h *Handler) timeLeft(j *job) clock.Millis {
	left := j.route.Timeout
	if left <= 0 {
		left = defaultTimeout
	}
	asked, err := strconv.ParseInt(string(j.x.Request.Header.Peek(h.config.Dialect.Deadline)), 10, 64)
	if err == nil && asked >= 0 {
		left = min(left, clock.Millis(asked)-answerMargin)
	}
	return left
}

// patience returns the expected time up to which the request may wait. The first
// tries of a route are those with its longest deadlines.
func (h *Handler) patience(j *job) clock.Millis {
	asked, err := strconv.ParseInt(string(j.x.Request.Header.Peek(h.config.Dialect.Deadline)), 10, 64)
	if err != nil {
		return j.route.Timeout
	}
	return placement.Patience{
		Objective: j.route.Objective,
		Timeout:   j.route.Timeout,
		Rank:      j.route.Urgency(j.workspace),
		CameBack:  j.route.CameBack(clock.Millis(asked)),
	}.Limit()
}

// defaultTimeout bounds requests on routes without a timeout.
const defaultTimeout = 30 * clock.Second

func (h *Handler) object(header *fasthttp.RequestHeader) uint64 {
	value := header.Cookie(h.config.Dialect.AffinityCookie)
	if len(value) == 0 {
		return 0
	}
	return xxhash.Sum64(value) | 1
}

// admit checks the authority to act and the workspace's rate.
func (h *Handler) admit(j *job) bool {
	if h.closed.Load() {
		return h.refuse(j, fasthttp.StatusServiceUnavailable, "this instance stops", 0)
	}
	if !h.config.Knowledge.Joined() {
		return h.refuse(j, fasthttp.StatusServiceUnavailable, "this instance has not joined the fleet yet", startRetry)
	}
	if !h.config.Knowledge.MayAct() {
		return h.refuse(j, fasthttp.StatusServiceUnavailable, "this instance is cut off", startRetry)
	}
	if j.workspace == nil || j.workspace.RatePerS <= 0 {
		return true
	}
	if !h.config.Rates.Admit(j.ctx, j.workspace.Name) {
		return h.refuse(j, fasthttp.StatusTooManyRequests, "workspace "+j.workspace.Name+" is over its rate", rateRetry)
	}
	return true
}

// refuse sets an answer of the instance's own. It always returns false.
func (h *Handler) refuse(j *job, status int, reason string, retryAfter clock.Millis) bool {
	gateway.SetRefusal(j.x.Response, status, reason)
	if j.id != "" {
		j.x.Response.Header.Set(h.config.Dialect.RequestID, j.id)
	}
	now := h.config.Clock.Now()
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		if j.deadline > 0 {
			retryAfter = min(retryAfter, (j.deadline-now)/retryPart)
		}
		gateway.SetRetryAfter(j.x.Response, max(retryAfter, 0))
	}
	metrics.GetOrRegisterCounter("refusals."+strconv.Itoa(status), h.config.Metrics).Inc(1)
	version := int64(0)
	if j.config != nil {
		version = j.config.Version
	}
	h.config.Log.Info("request refused", "request", j.id, "status", status, "reason", reason,
		"config", version, "retry_after_ms", int64(retryAfter), "held_ms", int64(now-j.began))
	return false
}
