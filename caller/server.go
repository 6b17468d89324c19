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
		config  ServerConfig
		http    *fasthttp.Server
		counter atomic.Int64
		closing atomic.Bool
	}
)

const (
	lookupPath  = "/v1/entries"
	servePrefix = "/v1/s/"
	servePath   = "/v1/s/{service}/{path:*}"

	maxRequestBytes = 8 << 20
	maxHeaderBytes  = 16 << 10
	readTimeout     = 30 * time.Second
	idleConnTimeout = 60 * time.Second
	sampleSize      = 1028
	sampleAlpha     = 0.015
)

var messageJSON = protojson.MarshalOptions{UseProtoNames: true}

// NewServer returns a server that does not listen yet.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config}
	r := router.New()
	r.RedirectFixedPath = false
	r.RedirectTrailingSlash = false
	r.GET(lookupPath, s.handleLookup)
	r.ANY(servePath, s.handleRequest)
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		s.finish(ctx, s.newID(), refuse(CodeNoRoute, "no such path"))
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
		ErrorHandler:                 s.handleUnreadable,
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
	s.closing.Store(true)
}

// Shutdown stops listening and waits for the running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) newID() string {
	return fmt.Sprintf("%s-%d", s.config.Fleet.Incarnation(), s.counter.Add(1))
}

// handleUnreadable answers a request that is not valid HTTP.
func (s *Server) handleUnreadable(ctx *fasthttp.RequestCtx, err error) {
	s.finish(ctx, s.newID(), refuse(CodeBadRequest, "the request cannot be read: "+err.Error()))
	ctx.SetConnectionClose()
}

// handleLookup answers which instances to use.
func (s *Server) handleLookup(ctx *fasthttp.RequestCtx) {
	state := s.config.Fleet.State()
	service := string(ctx.QueryArgs().Peek("service"))
	if !s.config.Fleet.HasAuthority() || state.GetRulesRevision() == 0 {
		s.finish(ctx, s.newID(), noAuthority())
		return
	}
	if rules.Service(state.GetRules(), service) == nil {
		s.finish(ctx, s.newID(), refuse(CodeNoRoute, fmt.Sprintf("there is no service %q", service)))
		return
	}
	workspace, refusal, ok := s.lookupWorkspace(ctx, state)
	if !ok {
		s.finish(ctx, s.newID(), refusal)
		return
	}
	list := s.config.Resolver.Lookup(LookupRequest{
		Service:   service,
		Workspace: workspace,
		Client:    clientAddress(ctx),
	})
	s.count("lookup")
	s.writeMessage(ctx, fasthttp.StatusOK, list)
}

// lookupWorkspace checks a look-up's key. Without a key the answer is the same
// for every caller.
func (s *Server) lookupWorkspace(ctx *fasthttp.RequestCtx, state *wire.State) (string, Result, bool) {
	key, count := bearer(&ctx.Request.Header)
	if count == 0 {
		return "", Result{}, true
	}
	if count > 1 {
		return "", refuse(CodeBadRequest, "the request has two Authorization headers"), false
	}
	workspace, ok := s.config.Keys.workspace(state, HashKey(key))
	if !ok {
		return "", refuse(CodeInvalidKey, "the key is not known or has been withdrawn"), false
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
	id := s.newID()
	job, answer, ok := s.check(ctx, id, started)
	if ok {
		answer = s.config.Executor.Execute(ctx, job)
		fasthttp.ReleaseRequest(job.Request)
		s.record(job, answer, s.config.Clock.Now()-started)
	} else if _, named := actionOf(&ctx.Request); named > 0 {
		// The table of actions was not asked: an earlier attempt may have run.
		answer = answer.WithUnknown()
	}
	s.finish(ctx, id, answer)
}

// check turns a caller's request into a job, or refuses it.
func (s *Server) check(ctx *fasthttp.RequestCtx, id string, now clock.Millis) (Job, Result, bool) {
	state := s.config.Fleet.State()
	if !s.config.Fleet.HasAuthority() || state.GetRulesRevision() == 0 {
		return Job{}, noAuthority(), false
	}
	if answer, ok := checkForm(&ctx.Request); !ok {
		return Job{}, answer, false
	}
	service, rest, ok := splitPath(string(ctx.Path()))
	if !ok {
		return Job{}, refuse(CodeNoRoute, "no such path"), false
	}
	route := rules.Route(state.GetRules(), service, rest)
	if route == nil {
		return Job{}, refuse(CodeNoRoute, "no route of service "+service+" covers the path"), false
	}
	deadline, ok := deadlineOf(&ctx.Request, route)
	if !ok {
		return Job{}, refuse(CodeBadRequest, DeadlineHeader+" is not a whole number of milliseconds"), false
	}
	job := Job{
		ID:       id,
		Service:  service,
		Once:     route.GetMode() == wire.RouteMode_ROUTE_MODE_ONCE,
		Deadline: now + deadline,
		Weight:   1,
	}
	if answer, ok := s.checkKey(ctx, state, route, &job); !ok {
		return Job{}, s.afterAction(job, answer), false
	}
	if answer, ok := checkAction(ctx, &job); !ok {
		return Job{}, answer, false
	}
	job.Weight = max(weightOf(state, job.Workspace), 1)
	job.Request = prepare(&ctx.Request, rest, job.Workspace)
	job.Fingerprint = fingerprintOf(job.Workspace, string(ctx.Method()), string(job.Request.RequestURI()), ctx.Request.Body())
	return job, Result{}, true
}

// noAuthority refuses a request before anything about it is known.
func noAuthority() Result {
	return refuse(CodeNoAuthority, "this instance has no recent word from the platform or from more than half of the fleet")
}

// afterAction weakens the refusal of a request that may run once: an earlier
// attempt, sent while its key was good, may have run.
func (s *Server) afterAction(job Job, answer Result) Result {
	if job.Once && answer.Code == CodeInvalidKey {
		return answer.WithUnknown()
	}
	return answer
}

// checkKey finds the workspace of the request's key.
func (s *Server) checkKey(ctx *fasthttp.RequestCtx, state *wire.State, route *wire.RouteRule, job *Job) (Result, bool) {
	key, count := bearer(&ctx.Request.Header)
	if count > 1 {
		return refuse(CodeBadRequest, "the request has two Authorization headers"), false
	}
	if s.config.Keys.knownKeyElsewhere(state, &ctx.Request) || keyElsewhere(&ctx.Request, key) {
		return refuse(CodeBadRequest, "the key stands outside the Authorization header"), false
	}
	if count == 0 && route.GetOpen() {
		return Result{}, true
	}
	hash := HashKey(key)
	workspace, ok := s.config.Keys.workspace(state, hash)
	if !ok {
		return refuse(CodeInvalidKey, "the key is missing, not known or withdrawn"), false
	}
	job.Workspace = workspace
	job.KeyHash = &hash
	return Result{}, true
}

// checkAction demands a name for a request that may run once.
func checkAction(ctx *fasthttp.RequestCtx, job *Job) (Result, bool) {
	if !job.Once {
		return Result{}, true
	}
	action, count := actionOf(&ctx.Request)
	if count != 1 || !once.ValidActionName(action) {
		return refuse(CodeActionMissing, "the route runs once: the request needs one "+IdempotencyKeyHeader+" of at most 256 printable characters"), false
	}
	job.Action = action
	return Result{}, true
}

// record counts a served request against its service's objective.
func (s *Server) record(job Job, answer Result, took clock.Millis) {
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
	histogram := metrics.GetOrRegisterHistogram(name, s.config.Metrics, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	histogram.Update(int64(took))
}

// finish writes an answer.
func (s *Server) finish(ctx *fasthttp.RequestCtx, id string, answer Result) {
	if answer.Response != nil {
		answer.Response.CopyTo(&ctx.Response)
		ctx.Response.Header.Del(fasthttp.HeaderConnection)
		fasthttp.ReleaseResponse(answer.Response)
		s.count("done")
	} else {
		s.count(outcomeName(answer.Outcome) + "." + string(answer.Code))
		s.writeMessage(ctx, answer.Status(), &wire.Refusal{
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
	if s.closing.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) writeMessage(ctx *fasthttp.RequestCtx, status int, message proto.Message) {
	body, err := messageJSON.Marshal(message)
	if err != nil {
		s.config.Log.Error("encoding an answer", "error", err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	if s.closing.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter("requests."+name, s.config.Metrics).Inc(1)
}
