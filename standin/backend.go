package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

type (
	// backendServer plays one backend server.
	backendServer struct {
		world   *world
		service *wire.DeploymentService
		info    *wire.BackendServer
		coldAt  time.Time
		// slots holds one token a slot; requests beyond them wait.
		slots chan struct{}

		mu       sync.Mutex
		listener net.Listener
		conns    map[net.Conn]int
		// life ends when the server goes down, and its requests with it.
		life         chan struct{}
		inFlight     int
		generation   int
		draining     bool
		drainedAt    time.Time
		leaving      bool
		down         bool
		reportIdle   bool
		slowFactor   float64
		cutAnswers   int
		crossAnswers int
	}

	// countedConn tells its server when it closes.
	countedConn struct {
		net.Conn
		server *backendServer
	}
)

const (
	loadPath      = "/load"
	crashMark     = "crash-the-server"
	crashTime     = 3 * time.Second
	drainGrace    = 3 * time.Second
	coldFactor    = 4
	requestIDName = "Bulrushferry-Request-Id"
	workspaceName = "Bulrushferry-Workspace"
	actionName    = "Idempotency-Key"
	nonceArgument = "nonce"
	silenceTime   = time.Minute
	deadlineName  = "Deadline-Ms"
	// noticeTime is how long a server takes to notice a deadline.
	noticeTime     = 50 * time.Millisecond
	maxRequestSize = 16 << 20
)

func newBackendServer(w *world, service *wire.DeploymentService, i int) *backendServer {
	regions := w.deployment.GetRegions()
	region := regions[i%len(regions)]
	domains := region.GetFailureDomains()
	return &backendServer{
		world:   w,
		service: service,
		info: &wire.BackendServer{
			Name:          fmt.Sprintf("%s-%d", service.GetName(), i+1),
			Service:       service.GetName(),
			Region:        region.GetName(),
			FailureDomain: domains[(i/len(regions))%len(domains)],
			Address:       fmt.Sprintf("%s%d:%d", region.GetServerPrefix(), i+1, service.GetPort()),
		},
		conns:      make(map[net.Conn]int),
		life:       make(chan struct{}),
		slots:      make(chan struct{}, service.GetSlots()),
		slowFactor: 1,
	}
}

func (s *backendServer) listen() error {
	listener, err := net.Listen("tcp", s.info.GetAddress())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = listener
	s.coldAt = time.Now()
	s.mu.Unlock()
	server := &fasthttp.Server{
		Handler:            s.handle,
		MaxRequestBodySize: maxRequestSize,
		Name:               s.info.GetName(),
	}
	go func() { _ = server.Serve(countingListener{listener, s}) }()
	return nil
}

type countingListener struct {
	net.Listener
	server *backendServer
}

// Accept counts the connection and plays the cost of making it.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: c, server: l.server}
	l.server.opened(counted)
	return counted, nil
}

func (s *backendServer) opened(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		_ = c.(*countedConn).Conn.Close()
		return
	}
	s.conns[c] = s.generation
	if len(s.conns) > int(s.service.GetConnections()) {
		s.world.log.overConnections.Add(1)
	}
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

func (s *backendServer) listing() (*wire.BackendServer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &wire.BackendServer{
		Name:          s.info.GetName(),
		Service:       s.info.GetService(),
		Region:        s.info.GetRegion(),
		FailureDomain: s.info.GetFailureDomain(),
		Address:       s.info.GetAddress(),
		Leaving:       s.leaving,
	}, true
}

func (s *backendServer) handle(ctx *fasthttp.RequestCtx) {
	if s.silent(ctx.Conn()) {
		time.Sleep(silenceTime)
		return
	}
	if string(ctx.Path()) == loadPath {
		s.handleLoad(ctx)
		return
	}
	s.world.log.inspect(&ctx.Request)
	if bytes.Contains(ctx.PostBody(), []byte(crashMark)) {
		s.crash()
		return
	}
	if !s.begin() {
		ctx.Error("draining", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Not-Run", "1")
		ctx.Response.Header.Set("Draining", "1")
		return
	}
	defer s.end()
	s.world.log.run(s, &ctx.Request, time.Since(s.world.started))
	if !s.work(ctx) {
		cutOff(ctx, "")
		return
	}
	s.respond(ctx)
}

// work takes a request's time. It reports whether the work came to its end
// before the request's deadline and while the server was up.
func (s *backendServer) work(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	life := s.life
	s.mu.Unlock()
	overdue := deadlineOf(ctx)
	select {
	case s.slots <- struct{}{}:
	case <-overdue:
		return false
	case <-life:
		return false
	}
	defer func() { <-s.slots }()
	select {
	case <-time.After(s.serviceTime(ctx)):
		return true
	case <-overdue:
		return false
	case <-life:
		return false
	}
}

// deadlineOf returns a channel that says when a request's deadline was noticed;
// it never does for a request without one.
func deadlineOf(ctx *fasthttp.RequestCtx) <-chan time.Time {
	left, err := strconv.Atoi(string(ctx.Request.Header.Peek(deadlineName)))
	if err != nil {
		return nil
	}
	return time.After(time.Duration(left)*time.Millisecond + noticeTime)
}

// cutOff ends a request's connection after some bytes that are no whole answer.
func cutOff(ctx *fasthttp.RequestCtx, sent string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = io.WriteString(c, sent)
		_ = c.Close()
	})
}

func (s *backendServer) respond(ctx *fasthttp.RequestCtx) {
	cut, cross := s.mangles()
	id := string(ctx.Request.Header.Peek(requestIDName))
	if cross {
		id = "another-request"
	}
	ctx.Response.Header.Set(requestIDName, id)
	ctx.SetContentType("text/plain")
	body := fmt.Sprintf("%s %s %s %s", s.info.GetName(), ctx.Method(), ctx.QueryArgs().Peek(nonceArgument), ctx.PostBody())
	if !cut {
		ctx.SetBodyString(body)
		return
	}
	cutOff(ctx, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+100, body))
}

func (s *backendServer) mangles() (cut, cross bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutAnswers > 0 {
		s.cutAnswers--
		return true, false
	}
	if s.crossAnswers > 0 {
		s.crossAnswers--
		return false, true
	}
	return false, false
}

// begin takes a slot. It returns false when the server declines.
func (s *backendServer) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		if time.Since(s.drainedAt) > drainGrace {
			s.world.log.afterDrain.Add(1)
		}
		return false
	}
	s.inFlight++
	if s.inFlight > int(s.service.GetSlots()) {
		s.world.log.overSlots.Add(1)
	}
	return true
}

func (s *backendServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *backendServer) serviceTime(ctx *fasthttp.RequestCtx) time.Duration {
	s.mu.Lock()
	factor := s.slowFactor
	cold := time.Since(s.coldAt) < s.service.GetColdTime().AsDuration()
	s.mu.Unlock()
	if cold {
		factor *= coldFactor
	}
	travel := 2 * s.world.delay(ctx.RemoteIP(), s.info.GetRegion())
	return travel + time.Duration(factor*float64(exponential(s.service.GetServiceTime().AsDuration())))
}

func (s *backendServer) handleLoad(ctx *fasthttp.RequestCtx) {
	time.Sleep(s.service.GetProbeCost().AsDuration())
	s.mu.Lock()
	report := &wire.LoadReport{
		InFlight: int32(s.inFlight),
		Slots:    s.service.GetSlots(),
		Draining: s.draining,
	}
	if s.reportIdle {
		report.InFlight = 0
	}
	s.mu.Unlock()
	answerJSON(ctx, report)
}

// silent reports whether a connection was open when silence fell on it.
func (s *backendServer) silent(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	generation, ok := s.conns[c]
	return ok && generation < s.generation
}

func (s *backendServer) setDraining(draining bool) {
	if draining && !s.draining {
		s.drainedAt = time.Now()
	}
	s.draining = draining
}

// crash takes the server down for a while, as a poisonous request does.
func (s *backendServer) crash() {
	s.world.log.crashes.Add(1)
	s.mu.Lock()
	s.setDown(true)
	s.mu.Unlock()
	time.AfterFunc(crashTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.setDown(false)
	})
}

// setDown closes or opens the server. The caller holds the lock.
func (s *backendServer) setDown(down bool) {
	if down == s.down {
		return
	}
	s.down = down
	if !down {
		s.life = make(chan struct{})
		go func() { _ = s.listen() }()
		return
	}
	_ = s.listener.Close()
	close(s.life)
	for c := range s.conns {
		_ = c.(*countedConn).Conn.Close()
	}
	s.conns = make(map[net.Conn]int)
}
