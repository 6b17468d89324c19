package caller

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/objective"
	"github.com/bulrushferry/bulrushferry/once"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/fasthttp/router"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

type (
	// ServerConfig configures a Server.
	ServerConfig struct {
		Clock      clock.Clock
		Fleet      *peer.Fleet
		Executor   *Executor
		Resolver   *Resolver
		Keys       *KeyIndex
		Objectives *objective.Recorder
		Metrics    metrics.Registry
		Log        hclog.Logger
	}

	// Server answers callers over HTTP.
	Server struct {
		config             ServerConfig
		http               *fasthttp.Server
		requestCounter     atomic.Int64
		keepAlivesDisabled atomic.Bool
	}
)

const (
	lookupPath         = "/v1/entries"
	servicePathPrefix  = "/v1/s/"
	servicePathPattern = "/v1/s/{service}/{path:*}"

	maxRequestBytes     = 8 << 20
	maxHeaderBytes      = 16 << 10
	readTimeout         = 30 * time.Second
	idleConnTimeout     = 60 * time.Second
	histogramSampleSize = 1028
	histogramAlpha      = 0.015
)

var jsonOptions = protojson.MarshalOptions{UseProtoNames: true}

// NewServer returns a server that does not listen yet.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config}
	r := router.New()
	r.RedirectFixedPath = false
	r.RedirectTrailingSlash = false
	r.GET(lookupPath, s.handleLookup)
	r.ANY(servicePathPattern, s.handleRequest)
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		s.writeResult(ctx, s.newRequestID(), notRun(CodeNoRoute, "no such path"))
	}
	s.http = &fasthttp.Server{
		Handler:                      r.Handler,
		Name:                         "bulrushferry",
		MaxRequestBodySize:           maxRequestBytes,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleConnTimeout,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 s.handleReadError,
		Logger:                       config.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return s
}

// Serve answers callers on a listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// DisableKeepAlives makes every further answer close its connection, so that callers
// move to other instances.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// Shutdown stops listening and waits for the running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) newRequestID() string {
	return fmt.Sprintf("%s-%d", s.config.Fleet.Incarnation(), s.requestCounter.Add(1))
}

// handleReadError answers a request that is not valid HTTP.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	s.writeResult(ctx, s.newRequestID(), notRun(CodeBadRequest, "the request cannot be read: "+err.Error()))
	ctx.SetConnectionClose()
}

// handleLookup answers which instances to use.
func (s *Server) handleLookup(ctx *fasthttp.RequestCtx) {
	state := s.config.Fleet.State()
	service := string(ctx.QueryArgs().Peek("service"))
	if !s.config.Fleet.HasAuthority() || state.GetRulesRevision() == 0 {
		s.writeResult(ctx, s.newRequestID(), noAuthority())
		return
	}
	if rules.Service(state.GetRules(), service) == nil {
		s.writeResult(ctx, s.newRequestID(), notRun(CodeNoRoute, fmt.Sprintf("there is no service %q", service)))
		return
	}
	workspace, refusal, ok := s.lookupWorkspace(ctx, state)
	if !ok {
		s.writeResult(ctx, s.newRequestID(), refusal)
		return
	}
	list := s.config.Resolver.Lookup(LookupRequest{
		Service:   service,
		Workspace: workspace,
		Client:    clientAddress(ctx),
	})
	s.countRequest("lookup")
	s.writeJSON(ctx, fasthttp.StatusOK, list)
}

// lookupWorkspace checks a look-up's key. Without a key the answer is the same
// for every caller.
func (s *Server) lookupWorkspace(ctx *fasthttp.RequestCtx, state *wire.State) (string, Result, bool) {
	key, count := bearerToken(&ctx.Request.Header)
	if count == 0 {
		return "", Result{}, true
	}
	if count > 1 {
		return "", notRun(CodeBadRequest, "the request has two Authorization headers"), false
	}
	workspace, ok := s.config.Keys.workspace(state, HashKey(key))
	if !ok {
		return "", notRun(CodeInvalidKey, "the key is not known or has been withdrawn"), false
	}
	return workspace, Result{}, true
}

func clientAddress(ctx *fasthttp.RequestCtx) netip.Addr {
	address, _ := netip.AddrFromSlice(ctx.RemoteIP())
	return address.Unmap()
}

// handleRequest serves one request of a caller.
func (s *Server) handleRequest(ctx *fasthttp.RequestCtx) {
	started := s.config.Clock.Now()
	id := s.newRequestID()
	job, answer, ok := s.validate(ctx, id, started)
	if ok {
		answer = s.config.Executor.Execute(ctx, job)
		fasthttp.ReleaseRequest(job.Request)
		s.recordMetrics(job, answer, s.config.Clock.Now()-started)
	} else if _, named := idempotencyKey(&ctx.Request); named > 0 {
		// The table of actions was not asked: an earlier attempt may have run.
		answer = answer.WithUnknown()
	}
	s.writeResult(ctx, id, answer)
}

// validate turns a caller's request into a job, or refuses it.
func (s *Server) validate(ctx *fasthttp.RequestCtx, id string, now clock.Millis) (Job, Result, bool) {
	state := s.config.Fleet.State()
	if !s.config.Fleet.HasAuthority() || state.GetRulesRevision() == 0 {
		return Job{}, noAuthority(), false
	}
	if answer, ok := checkUnambiguous(&ctx.Request); !ok {
		return Job{}, answer, false
	}
	service, rest, ok := splitPath(string(ctx.Path()))
	if !ok {
		return Job{}, notRun(CodeNoRoute, "no such path"), false
	}
	route := rules.Route(state.GetRules(), service, rest)
	if route == nil {
		return Job{}, notRun(CodeNoRoute, "no route of service "+service+" covers the path"), false
	}
	deadline, ok := requestTimeout(&ctx.Request, route)
	if !ok {
		return Job{}, notRun(CodeBadRequest, DeadlineHeader+" is not a whole number of milliseconds"), false
	}
	job := Job{
		ID:       id,
		Service:  service,
		Once:     route.GetMode() == wire.RouteMode_ROUTE_MODE_ONCE,
		Deadline: now + deadline,
		Weight:   1,
	}
	if answer, ok := s.authenticate(ctx, state, route, &job); !ok {
		return Job{}, s.weakenKeyRefusal(job, answer), false
	}
	if answer, ok := checkIdempotencyKey(ctx, &job); !ok {
		return Job{}, answer, false
	}
	job.Weight = max(workspaceWeight(state, job.Workspace), 1)
	job.Request = newBackendRequest(&ctx.Request, rest, job.Workspace)
	job.Fingerprint = fingerprint(job.Workspace, string(ctx.Method()), string(job.Request.RequestURI()), ctx.Request.Body())
	return job, Result{}, true
}

// noAuthority refuses a request before anything about it is known.
func noAuthority() Result {
	return notRun(CodeNoAuthority, "this instance has no recent word from the platform or from more than half of the fleet")
}

// weakenKeyRefusal weakens the refusal of a request that may run once: an earlier
// attempt, sent while its key was good, may have run.
func (s *Server) weakenKeyRefusal(job Job, answer Result) Result {
	if job.Once && answer.Code == CodeInvalidKey {
		return answer.WithUnknown()
	}
	return answer
}

// authenticate finds the workspace of the request's key.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx, state *wire.State, route *wire.RouteRule, job *Job) (Result, bool) {
	key, count := bearerToken(&ctx.Request.Header)
	if count > 1 {
		return notRun(CodeBadRequest, "the request has two Authorization headers"), false
	}
	if s.config.Keys.hasKnownKeyValue(state, &ctx.Request) || keyOutsideAuthorization(&ctx.Request, key) {
		return notRun(CodeBadRequest, "the key stands outside the Authorization header"), false
	}
	if count == 0 && route.GetOpen() {
		return Result{}, true
	}
	hash := HashKey(key)
	workspace, ok := s.config.Keys.workspace(state, hash)
	if !ok {
		return notRun(CodeInvalidKey, "the key is missing, not known or withdrawn"), false
	}
	job.Workspace = workspace
	job.KeyHash = &hash
	return Result{}, true
}

// checkIdempotencyKey demands a name for a request that may run once.
func checkIdempotencyKey(ctx *fasthttp.RequestCtx, job *Job) (Result, bool) {
	if !job.Once {
		return Result{}, true
	}
	action, count := idempotencyKey(&ctx.Request)
	if count != 1 || !once.ValidActionName(action) {
		return notRun(CodeActionMissing, "the route runs once: the request needs one "+IdempotencyKeyHeader+" of at most 256 printable characters"), false
	}
	job.Action = action
	return Result{}, true
}

// recordMetrics counts a served request against its service's objective.
func (s *Server) recordMetrics(job Job, answer Result, took clock.Millis) {
	objectiveLatency := clock.Millis(0)
	for _, o := range s.config.Fleet.State().GetRules().GetObjectives() {
		if o.GetService() == job.Service {
			objectiveLatency = clock.Millis(o.GetLatencyMs())
		}
	}
	good := answer.Outcome == wire.Outcome_OUTCOME_DONE && answer.Status() < fasthttp.StatusInternalServerError
	good = good || answer.Code == CodeRateLimited || answer.Code == CodeActionConflict
	if objectiveLatency > 0 && took > objectiveLatency {
		good = false
	}
	s.config.Objectives.Add(objective.Key{Service: job.Service, Workspace: job.Workspace}, good)
	name := "request_ms." + job.Service
	histogram := metrics.GetOrRegisterHistogram(name, s.config.Metrics, metrics.NewExpDecaySample(histogramSampleSize, histogramAlpha))
	histogram.Update(int64(took))
}

// writeResult writes an answer.
func (s *Server) writeResult(ctx *fasthttp.RequestCtx, id string, answer Result) {
	if answer.Response != nil {
		answer.Response.CopyTo(&ctx.Response)
		ctx.Response.Header.Del(fasthttp.HeaderConnection)
		fasthttp.ReleaseResponse(answer.Response)
		s.countRequest("done")
	} else {
		s.countRequest(outcomeName(answer.Outcome) + "." + string(answer.Code))
		s.writeJSON(ctx, answer.Status(), &wire.Refusal{
			RequestId: id,
			Outcome:   answer.Outcome,
			Code:      string(answer.Code),
			Message:   answer.Message,
		})
	}
	if answer.Code == CodeRateLimited {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
	ctx.Response.Header.Set(OutcomeHeader, outcomeName(answer.Outcome))
	ctx.Response.Header.Set(RequestIDHeader, id)
	if s.keepAlivesDisabled.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, status int, message proto.Message) {
	body, err := jsonOptions.Marshal(message)
	if err != nil {
		s.config.Log.Error("encoding an answer", "error", err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	if s.keepAlivesDisabled.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) countRequest(name string) {
	metrics.GetOrRegisterCounter("requests."+name, s.config.Metrics).Inc(1)
}
