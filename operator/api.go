// Package operator speaks to operators: the interface of an entry instance
// for changes and reports, and the client that the command line uses.
package operator

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"time"

	"github.com/bulrushferry/bulrushferry/backend"
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
		// Token authorises operators.
		Token string
	}

	// Server answers operators over HTTP.
	Server struct {
		config ServerConfig
		http   *fasthttp.Server
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

	changeTimeout = 10 * time.Second
	bearerPrefix  = "Bearer "
)

var messageJSON = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}

// NewServer returns a server that does not listen yet.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config}
	r := router.New()
	r.POST(changePath, s.authorised(s.handleChange))
	r.GET(statePath, s.authorised(s.handleState))
	r.GET(historyPath, s.authorised(s.handleHistory))
	r.GET(statusPath, s.authorised(s.handleStatus))
	r.GET(explainPath, s.authorised(s.handleExplain))
	r.GET(burnPath, s.authorised(s.handleBurn))
	r.GET(metricsPath, s.handleMetrics)
	r.GET(healthPath, s.handleHealth)
	s.http = &fasthttp.Server{
		Handler:            r.Handler,
		Name:               "bulrushferry",
		MaxRequestBodySize: 2 * rules.MaxFileBytes,
		Logger:             config.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return s
}

// Serve answers operators on a listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// Shutdown stops listening and waits for the running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// authorised lets a handler run only for a caller that has the token.
func (s *Server) authorised(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
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
	timeout, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	result := s.config.Fleet.Change(timeout, request)
	s.config.Log.Info("change asked for", "id", request.GetId(), "who", request.GetWho(),
		"accepted", result.GetAccepted(), "revision", result.GetRevision(), "error", result.GetError())
	s.write(ctx, result)
}

func (s *Server) handleState(ctx *fasthttp.RequestCtx) {
	s.write(ctx, s.config.Fleet.State())
}

func (s *Server) handleHistory(ctx *fasthttp.RequestCtx) {
	timeout, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	entries, err := s.config.Fleet.History(timeout)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	s.write(ctx, &wire.History{Entries: entries})
}

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) {
	status := s.config.Fleet.Status()
	status.Services = s.config.Pool.ServiceLoads()
	s.write(ctx, status)
}

func (s *Server) handleExplain(ctx *fasthttp.RequestCtx) {
	service := string(ctx.QueryArgs().Peek("service"))
	path := string(ctx.QueryArgs().Peek("path"))
	s.write(ctx, explain(s.config.Fleet, s.config.Pool, service, path))
}

func (s *Server) handleBurn(ctx *fasthttp.RequestCtx) {
	s.write(ctx, &wire.BurnReport{
		Instance: s.config.Fleet.Status().GetInstance(),
		Rows:     s.config.Objectives.Rows(),
	})
}

func (s *Server) handleMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(s.config.Metrics); err != nil {
		s.config.Log.Error("encoding metrics", "error", err)
	}
}

func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	if !s.config.Fleet.HasAuthority() {
		ctx.Error("no authority", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

func (s *Server) write(ctx *fasthttp.RequestCtx, message proto.Message) {
	body, err := messageJSON.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
