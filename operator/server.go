// Package operator implements the HTTP API through which operators change the fleet's
// state and inspect entry instances, and the client that the command line uses for it.
package operator

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"time"

	"github.com/bulrushferry/bulrushferry/backend"
	"github.com/bulrushferry/bulrushferry/endpoint"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/objective"
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
		Fleet      *peer.Fleet
		Pool       *backend.Pool
		Objectives *objective.Recorder
		Metrics    metrics.Registry
		Log        hclog.Logger
		// Token is the bearer token that operators must present.
		Token string
		// Memory counts what operators hold; nil means no limit.
		Memory *memory.Account
	}

	// Server serves operators' requests over HTTP.
	Server struct {
		config ServerConfig
		http   *fasthttp.Server
		guard  *endpoint.Guard
	}
)

const (
	changePath  = "/operator/change"
	statePath   = "/operator/state"
	historyPath = "/operator/history"
	statusPath  = "/operator/status"
	explainPath = "/operator/explain"
	burnPath    = "/operator/burn"
	metricsPath = "/metrics"
	healthPath  = "/healthz"

	// storeTimeout limits requests that access the table service.
	storeTimeout = 10 * time.Second

	// maxRequestBytes leaves room for a rules file that is encoded as JSON.
	maxRequestBytes = 2 * rules.MaxFileBytes
	// bodyCopies is how many copies of a body there are: what was read and the message.
	bodyCopies       = 2
	maxConnections   = 256
	readTimeout      = 30 * time.Second
	writeTimeout     = 30 * time.Second
	idleTimeout      = 60 * time.Second
	memoryRetryAfter = "1"
	bearerPrefix     = "Bearer "
)

var marshalOptions = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}

// NewServer returns a server that is not listening yet.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config}
	r := router.New()
	r.POST(changePath, s.requireToken(s.handleChange))
	r.GET(statePath, s.requireToken(s.handleState))
	r.GET(historyPath, s.requireToken(s.handleHistory))
	r.GET(statusPath, s.requireToken(s.handleStatus))
	r.GET(explainPath, s.requireToken(s.handleExplain))
	r.GET(burnPath, s.requireToken(s.handleBurn))
	r.GET(metricsPath, s.handleMetrics)
	r.GET(healthPath, s.handleHealth)
	s.guard = endpoint.NewGuard(endpoint.Config{
		Memory:         config.Memory,
		MaxConnections: func() int { return min(maxConnections, endpoint.MaxConnections(config.Memory)) },
		MaxBodyBytes:   maxRequestBytes,
		BodyCopies:     bodyCopies,
		Metrics:        config.Metrics,
		Log:            config.Log,
		Refuse: func(ctx *fasthttp.RequestCtx, status int, message string) {
			ctx.Error(message, status)
			if status == fasthttp.StatusServiceUnavailable {
				ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, memoryRetryAfter)
			}
		},
	})
	s.http = &fasthttp.Server{
		Handler:                      s.guard.Handler(r.Handler),
		Name:                         "bulrushferry",
		MaxRequestBodySize:           maxRequestBytes,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		Logger:                       config.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return s
}

// Serve accepts connections on a listener until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// Limit returns a listener that accepts as many connections as the server may have.
func (s *Server) Limit(listener net.Listener) net.Listener {
	return s.guard.Listen(listener)
}

// Reclaim closes connections that have stalled. It implements memory.Reclaimer.
func (s *Server) Reclaim(kind memory.Kind, bytes int64) bool {
	return s.guard.Reclaim(kind, bytes)
}

// Shutdown stops listening and waits for the requests in progress, or until the
// context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// requireToken wraps a handler so that requests without the operator token are
// rejected.
func (s *Server) requireToken(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		token, _ := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte(bearerPrefix))
		if subtle.ConstantTimeCompare(token, []byte(s.config.Token)) != 1 {
			ctx.Error("the operator token is missing or wrong", fasthttp.StatusUnauthorized)
			return
		}
		handle(ctx)
	}
}

func (s *Server) handleChange(ctx *fasthttp.RequestCtx) {
	request := &wire.ChangeRequest{}
	if err := protojson.Unmarshal(ctx.PostBody(), request); err != nil {
		ctx.Error("the change cannot be read: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	storeCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	result := s.config.Fleet.Change(storeCtx, request)
	s.config.Log.Info("handled a change request", "id", request.GetId(), "who", request.GetWho(),
		"accepted", result.GetAccepted(), "revision", result.GetRevision(), "error", result.GetError())
	s.writeJSON(ctx, result)
}

func (s *Server) handleState(ctx *fasthttp.RequestCtx) {
	s.writeJSON(ctx, s.config.Fleet.State())
}

func (s *Server) handleHistory(ctx *fasthttp.RequestCtx) {
	storeCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	entries, err := s.config.Fleet.History(storeCtx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	s.writeJSON(ctx, &wire.History{Entries: entries})
}

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) {
	status := s.config.Fleet.Status()
	status.Services = s.config.Pool.ServiceLoads()
	s.writeJSON(ctx, status)
}

func (s *Server) handleExplain(ctx *fasthttp.RequestCtx) {
	service := string(ctx.QueryArgs().Peek("service"))
	path := string(ctx.QueryArgs().Peek("path"))
	s.writeJSON(ctx, explain(s.config.Fleet, s.config.Pool, service, path))
}

func (s *Server) handleBurn(ctx *fasthttp.RequestCtx) {
	s.writeJSON(ctx, &wire.BurnReport{
		Instance: s.config.Fleet.Status().GetInstance(),
		Rows:     s.config.Objectives.Rows(),
	})
}

func (s *Server) handleMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(s.config.Metrics); err != nil {
		s.config.Log.Error("failed to encode the metrics", "error", err)
	}
}

func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	if !s.config.Fleet.HasAuthority() {
		ctx.Error("no authority", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, message proto.Message) {
	body, err := marshalOptions.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
