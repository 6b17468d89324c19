package steering

import (
	"context"
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/gateway"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
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
		Dialect   origin.Dialect
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
	key := string(j.x.Request.Header.Peek(h.config.Dialect.Key))
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

// patience is the objective for a caller's first try, so that servers work on
// what can still be in time; a caller that has come back is served if at all
// possible. The first tries of a route are those with its longest deadlines.
func (h *Handler) patience(j *job) clock.Millis {
	asked, err := strconv.ParseInt(string(j.x.Request.Header.Peek(h.config.Dialect.Deadline)), 10, 64)
	if err != nil || j.route.Objective <= 0 {
		return j.route.Timeout
	}
	if j.route.CameBack(clock.Millis(asked)) {
		return j.route.Timeout
	}
	return j.route.Objective
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

// run sends the request to backend servers until one has answered it or it is
// given up.
func (h *Handler) run(j *job) {
	if h.config.Crashes.Any() && h.config.Crashes.Holds(j.began, j.fingerprint()) {
		h.refuse(j, fasthttp.StatusServiceUnavailable, "the request has crashed backend servers", noRetrySoon)
		return
	}
	j.service = j.route.PickService()
	h.config.Budget.Earn(j.service)
	tried := values.NewSet[string]()
	sent, ran := 0, false
	for {
		left := j.deadline - h.config.Clock.Now()
		if left <= 0 || j.ctx.Err() != nil {
			h.giveUp(j, ran, "the deadline has passed", 0)
			return
		}
		choice, refusal := h.config.Table.Choose(h.config.Clock.Now(), h.query(j, tried, left))
		if refusal != nil {
			h.giveUp(j, ran, refusal.Reason, refusal.RetryAfter)
			return
		}
		if sent > 0 && !h.config.Budget.Spend(j.service) {
			h.config.Table.Done(h.config.Clock.Now(), choice, placement.Report{Outcome: placement.GivenUp})
			h.giveUp(j, ran, "the retry budget is spent", choice.Expected)
			return
		}
		outcome := h.send(j, choice, left)
		tried = tried.With(choice.Server.ID)
		if outcome != placement.Unreached && outcome != placement.Busy {
			sent++
		}
		ran = ran || mayHaveRun(outcome)
		if h.settled(j, outcome, sent, tried.Len()) {
			return
		}
	}
}

func mayHaveRun(outcome placement.Outcome) bool {
	return outcome == placement.Lost || outcome == placement.Overdue || outcome == placement.Failed || outcome == placement.GivenUp
}

// settled reports whether an outcome ends the request. Where it does, the
// answer is set.
func (h *Handler) settled(j *job, outcome placement.Outcome, sent, tried int) bool {
	more := sent < j.route.MaxAttempts && tried < maxTries
	safe := j.route.Kind == routing.Safe
	switch outcome {
	case placement.Answered:
		return true
	case placement.Failed:
		return !safe || !more
	case placement.Overdue:
		h.refuse(j, fasthttp.StatusGatewayTimeout, "no answer came in time", 0)
		return true
	case placement.GivenUp:
		return true
	case placement.Lost:
		if safe && more {
			return false
		}
		h.refuse(j, fasthttp.StatusBadGateway, "the answer was lost", 0)
		return true
	default:
		return false
	}
}

// maxTries bounds the servers that a request is offered to, those that could
// not be reached among them.
const maxTries = 4

func (h *Handler) query(j *job, tried values.Set[string], left clock.Millis) placement.Query {
	return placement.Query{
		Service:   j.service,
		Route:     j.route.Name,
		Object:    j.object,
		Allowed:   func(region string) bool { return j.route.InHomes(j.workspace, region) },
		Except:    tried,
		Safe:      j.route.Kind == routing.Safe,
		Left:      left,
		Objective: j.route.Objective,
		Patience:  j.patience,
	}
}

// send sends the request to one server and settles what is known of it.
func (h *Handler) send(j *job, choice *placement.Choice, left clock.Millis) placement.Outcome {
	j.x.Response.Reset()
	request := &origin.Request{ID: j.id, Pin: choice.Server.ID, Left: left, Source: j.x.Request}
	if j.workspace != nil {
		request.Workspace = j.workspace.Name
	}
	answer, err := h.config.Pool.Do(j.ctx, choice.Server, j.route.Kind == routing.Safe, request, j.x.Response)
	now := h.config.Clock.Now()
	outcome := origin.OutcomeOf(answer, j.x.Response.StatusCode(), err)
	h.config.Table.Done(now, choice, placement.Report{Outcome: outcome, Load: answer.Load, HasLoad: answer.HasLoad})
	if answer.Misdirected {
		h.config.Table.Remove(choice.Server.ID)
	}
	if answer.Cold > 0 {
		h.config.Table.MarkCold(now, choice.Server.ID, answer.Cold)
	}
	h.noteCrash(j, choice.Server.ID, outcome, now)
	h.record(j, choice, outcome, err)
	return outcome
}

// noteCrash follows whether requests take servers down.
func (h *Handler) noteCrash(j *job, server string, outcome placement.Outcome, now clock.Millis) {
	switch outcome {
	case placement.Lost:
		h.config.Crashes.Lost(now, j.fingerprint(), server)
	case placement.Unreached:
		h.config.Crashes.Down(now, server)
	case placement.Answered, placement.Failed, placement.Declined:
		h.config.Crashes.Answered(server)
	default:
	}
}

// fingerprint identifies the same request of the same workspace.
func (j *job) fingerprint() placement.Fingerprint {
	digest := xxhash.New()
	if j.workspace != nil {
		_, _ = digest.WriteString(j.workspace.Name)
	}
	for _, part := range [][]byte{j.x.Request.Header.Method(), j.x.Request.Header.Host(), j.x.Request.Header.RequestURI(), j.x.Request.Body()} {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write(part)
	}
	return placement.Fingerprint(digest.Sum64())
}

// record counts an outcome and logs it unless all is well.
func (h *Handler) record(j *job, choice *placement.Choice, outcome placement.Outcome, err error) {
	took := h.config.Clock.Now() - j.began
	metrics.GetOrRegisterCounter("outcomes."+outcome.String(), h.config.Metrics).Inc(1)
	if outcome == placement.Answered {
		metrics.GetOrRegisterHistogram("latency."+j.route.Name, h.config.Metrics, metrics.NewExpDecaySample(latencySamples, latencyDecay)).Update(int64(took))
		return
	}
	reason := "status " + strconv.Itoa(j.x.Response.StatusCode())
	if err != nil {
		reason = err.Error()
	}
	h.config.Log.Info("a backend server did not answer well", "request", j.id, "server", choice.Server.ID,
		"service", j.service, "outcome", outcome.String(), "reason", reason, "took_ms", int64(took),
		"expected_ms", int64(choice.Expected), "left_ms", int64(j.deadline-j.began), "cold", choice.Cold)
}

const (
	latencySamples = 256
	latencyDecay   = 0.015
)

// giveUp ends a request that no server answers. It is refused as not run only
// where that is certain.
func (h *Handler) giveUp(j *job, ran bool, reason string, retryAfter clock.Millis) {
	if !ran {
		h.refuse(j, fasthttp.StatusServiceUnavailable, reason, retryAfter)
		return
	}
	if j.x.Response.StatusCode() >= fasthttp.StatusInternalServerError && len(j.x.Response.Header.Peek(h.config.Dialect.Signature)) > 0 {
		return
	}
	h.refuse(j, fasthttp.StatusBadGateway, reason, 0)
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
