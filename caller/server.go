// Package caller serves callers over HTTP: it answers lookups of the instances to use,
// and runs their requests on backend servers. The response to a request states its
// outcome: done, not run or unknown.
package caller

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/endpoint"
	"github.com/bulrushferry/bulrushferry/memory"
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
		// Memory counts what callers hold; nil means no limit.
		Memory *memory.Account
	}

	// Server is the HTTP server for callers.
	Server struct {
		config ServerConfig
		http   *fasthttp.Server
		guard  *endpoint.Guard
		// requestCounter makes request IDs unique within this process.
		requestCounter     atomic.Int64
		keepAlivesDisabled atomic.Bool
	}
)

const (
	lookupPath         = "/v1/entries"
	servicePathPrefix  = "/v1/s/"
	servicePathPattern = "/v1/s/{service}/{path:*}"

	maxRequestBytes = 8 << 20
	maxHeaderBytes  = 16 << 10
	readTimeout     = 30 * time.Second
	writeTimeout    = 30 * time.Second
	// bodyCopies is how many copies of a body there are while a request is forwarded to a
	// peer: what was read, the message and its encoding.
	bodyCopies          = 3
	memoryRetryAfter    = "1"
	idleConnTimeout     = 60 * time.Second
	histogramSampleSize = 1028
	histogramAlpha      = 0.015
)

var jsonOptions = protojson.MarshalOptions{UseProtoNames: true}

// NewServer returns a server that is not serving yet.
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
	s.guard = endpoint.NewGuard(endpoint.Config{
		Memory:         config.Memory,
		MaxConnections: func() int { return endpoint.MaxConnections(config.Memory) },
		MaxBodyBytes:   maxRequestBytes,
		BodyCopies:     bodyCopies,
		Metrics:        config.Metrics,
		Log:            config.Log,
		Refuse:         s.refuseBody,
	})
	s.http = &fasthttp.Server{
		Handler:                      s.guard.Handler(r.Handler),
		StreamRequestBody:            true,
		WriteTimeout:                 writeTimeout,
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

// Serve accepts connections on a listener until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// DisableKeepAlives closes each connection after its next response, so that callers move
// to other instances.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// Shutdown closes the listeners and idle connections, and waits until the other
// connections have ended or the context ends. Running requests go on meanwhile.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// newRequestID returns an ID that is unique in the fleet.
func (s *Server) newRequestID() string {
	return fmt.Sprintf("%s-%d", s.config.Fleet.Incarnation(), s.requestCounter.Add(1))
}

// Limit returns a listener that accepts as many connections as the server may have.
func (s *Server) Limit(listener net.Listener) net.Listener {
	return s.guard.Listen(listener)
}

// Reclaim closes connections that have stalled. It implements memory.Reclaimer.
func (s *Server) Reclaim(kind memory.Kind, bytes int64) bool {
	return s.guard.Reclaim(kind, bytes)
}

// handleReadError responds to a request that could not be read or parsed.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	s.writeResult(ctx, s.newRequestID(), notRun(CodeBadRequest, "the request cannot be read: "+err.Error()))
	ctx.SetConnectionClose()
}

// handleLookup responds with the instances that the caller should use for a service.
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

// lookupWorkspace returns the workspace of a lookup's key. The key is optional; without
// one the workspace is empty. If the key is refused, lookupWorkspace returns the refusal
// and false.
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

// clientAddress returns the address of the client's end of the connection.
func clientAddress(ctx *fasthttp.RequestCtx) netip.Addr {
	address, _ := netip.AddrFromSlice(ctx.RemoteIP())
	return address.Unmap()
}

// handleRequest validates and runs a request, and writes the result.
func (s *Server) handleRequest(ctx *fasthttp.RequestCtx) {
	started := s.config.Clock.Now()
	id := s.newRequestID()
	job, result, ok := s.validate(ctx, id, started)
	if ok {
		result = s.execute(job, started)
		fasthttp.ReleaseRequest(job.Request)
		s.recordMetrics(job, result, s.config.Clock.Now()-started)
	} else if _, keys := idempotencyKey(&ctx.Request); keys > 0 {
		// The action table was not consulted, so an earlier attempt may have run.
		result = result.WithUnknown()
	}
	s.writeResult(ctx, id, result)
}

// execute runs a job. Its context ends at the job's deadline. It does not derive from
// fasthttp's, which ends as soon as a shutdown begins.
func (s *Server) execute(job Job, now clock.Millis) Result {
	ctx, cancel := context.WithTimeout(context.Background(), (job.Deadline - now).Duration())
	defer cancel()
	return s.config.Executor.Execute(ctx, job)
}

// validate converts a caller's request to a job. If the request is invalid, it returns
// the refusal and false.
func (s *Server) validate(ctx *fasthttp.RequestCtx, id string, now clock.Millis) (Job, Result, bool) {
	state := s.config.Fleet.State()
	if !s.config.Fleet.HasAuthority() || state.GetRulesRevision() == 0 {
		return Job{}, noAuthority(), false
	}
	if refusal, ok := checkUnambiguous(&ctx.Request); !ok {
		return Job{}, refusal, false
	}
	path, ok := parseServicePath(ctx.URI())
	if !ok {
		return Job{}, notRun(CodeNoRoute, "no such path"), false
	}
	route := rules.Route(state.GetRules(), path.service, path.route)
	if route == nil {
		return Job{}, notRun(CodeNoRoute, "no route of service "+path.service+" covers the path"), false
	}
	timeout, ok := requestTimeout(&ctx.Request, route)
	if !ok {
		return Job{}, notRun(CodeBadRequest, DeadlineHeader+" is not a whole number of milliseconds"), false
	}
	job := Job{
		ID:       id,
		Service:  path.service,
		Once:     route.GetMode() == wire.RouteMode_ROUTE_MODE_ONCE,
		Deadline: now + timeout,
		Weight:   1,
	}
	if refusal, ok := s.authenticate(ctx, state, route, &job); !ok {
		return Job{}, s.weakenKeyRefusal(job, refusal), false
	}
	if refusal, ok := checkIdempotencyKey(ctx, &job); !ok {
		return Job{}, refusal, false
	}
	job.Weight = max(workspaceWeight(state, job.Workspace), 1)
	job.Request = newBackendRequest(&ctx.Request, path.target, job.Workspace)
	job.Fingerprint = fingerprint(job.Workspace, string(ctx.Method()), string(job.Request.RequestURI()), ctx.Request.Body())
	return job, Result{}, true
}

// noAuthority returns the refusal of an instance without authority or rules.
func noAuthority() Result {
	return notRun(CodeNoAuthority, "this instance has no recent word from the platform or from more than half of the fleet")
}

// weakenKeyRefusal changes the outcome of a request that may run at most once from not run
// to unknown if its key was refused. An earlier attempt may have run while the key was
// valid.
func (s *Server) weakenKeyRefusal(job Job, refusal Result) Result {
	if job.Once && refusal.Code == CodeInvalidKey {
		return refusal.WithUnknown()
	}
	return refusal
}

// authenticate sets the job's workspace from the request's key. Open routes need no key,
// but a key that is sent must be valid. It refuses a request that exposes a key outside
// the Authorization header, since backend servers could read it there.
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

// checkIdempotencyKey sets the job's action. It refuses a request that may run at most
// once if it does not have exactly one valid Idempotency-Key.
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

// recordMetrics counts an executed request as good or bad for its service's objective, and
// adds its duration to the latency histogram. A request is bad if it failed or exceeded the
// objective's latency. Refusals for an exceeded rate limit or a reused Idempotency-Key are
// not failures.
func (s *Server) recordMetrics(job Job, result Result, took clock.Millis) {
	maxLatency := clock.Millis(0)
	for _, o := range s.config.Fleet.State().GetRules().GetObjectives() {
		if o.GetService() == job.Service {
			maxLatency = clock.Millis(o.GetLatencyMs())
		}
	}
	good := result.Outcome == wire.Outcome_OUTCOME_DONE && result.Status() < fasthttp.StatusInternalServerError
	good = good || result.Code == CodeRateLimited || result.Code == CodeActionConflict
	if maxLatency > 0 && took > maxLatency {
		good = false
	}
	s.config.Objectives.Record(objective.CounterKey{Service: job.Service, Workspace: job.Workspace}, good)
	name := "request_ms." + job.Service
	histogram := metrics.GetOrRegisterHistogram(name, s.config.Metrics, metrics.NewExpDecaySample(histogramSampleSize, histogramAlpha))
	histogram.Update(int64(took))
}

// writeResult writes the response to a request: the backend server's, or a refusal as
// JSON.
func (s *Server) writeResult(ctx *fasthttp.RequestCtx, id string, result Result) {
	if result.Response != nil {
		result.Response.CopyTo(&ctx.Response)
		ctx.Response.Header.Del(fasthttp.HeaderConnection)
		fasthttp.ReleaseResponse(result.Response)
		s.countRequest("done")
	} else {
		s.countRequest(outcomeName(result.Outcome) + "." + string(result.Code))
		s.writeJSON(ctx, result.Status(), &wire.Refusal{
			RequestId: id,
			Outcome:   result.Outcome,
			Code:      string(result.Code),
			Message:   result.Message,
		})
	}
	if result.Code == CodeRateLimited {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
	ctx.Response.Header.Set(OutcomeHeader, outcomeName(result.Outcome))
	ctx.Response.Header.Set(RequestIDHeader, id)
	if s.keepAlivesDisabled.Load() {
		ctx.SetConnectionClose()
	}
}

// writeJSON writes a message as a JSON response.
func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, status int, message proto.Message) {
	body, err := jsonOptions.Marshal(message)
	if err != nil {
		s.config.Log.Error("failed to encode a response", "error", err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	if s.keepAlivesDisabled.Load() {
		ctx.SetConnectionClose()
	}
}

// countRequest increments the request counter with the given name.
func (s *Server) countRequest(name string) {
	metrics.GetOrRegisterCounter("requests."+name, s.config.Metrics).Inc(1)
}
