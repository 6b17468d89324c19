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
	// backendServer simulates one backend server.
	backendServer struct {
		sim       *simulator
		service   *wire.DeploymentService
		info      *wire.BackendServer
		startedAt time.Time
		// slots is a semaphore with one place for each request that may run at a time.
		// Further requests wait.
		slots chan struct{}

		// mu guards the fields below and startedAt.
		mu       sync.Mutex
		listener net.Listener
		// connGenerations maps the open connections to the generation at which they
		// were opened.
		connGenerations map[net.Conn]int
		// stopped is closed when the server goes down, which aborts its requests.
		stopped chan struct{}
		// inFlight counts the accepted requests, waiting ones included.
		inFlight int
		// generation is increased to silence all connections that are open.
		generation          int
		draining            bool
		drainStartedAt      time.Time
		leaving             bool
		down                bool
		reportIdle          bool
		slowFactor          float64
		responsesToTruncate int
		responsesToMismatch int
	}

	// trackedConn is a connection that is removed from its server when it closes.
	trackedConn struct {
		net.Conn
		server *backendServer
	}

	// trackingListener accepts connections as trackedConns.
	trackingListener struct {
		net.Listener
		server *backendServer
	}
)

const (
	loadPath = "/load"
	// crashMarker in a request's body crashes the server that receives it.
	crashMarker   = "crash-the-server"
	crashDowntime = 3 * time.Second
	// drainGracePeriod is how long a draining server may still receive requests.
	drainGracePeriod = 3 * time.Second
	// coldSlowdown multiplies the service time of a server that has just started.
	coldSlowdown         = 4
	requestIDHeader      = "Bulrushferry-Request-Id"
	workspaceHeader      = "Bulrushferry-Workspace"
	idempotencyKeyHeader = "Idempotency-Key"
	nonceParam           = "nonce"
	// silenceDuration is how long a request on a silenced connection hangs.
	silenceDuration = time.Minute
	deadlineHeader  = "Deadline-Ms"
	// cancelDelay is the time from a request's deadline until the server cancels it.
	cancelDelay     = 50 * time.Millisecond
	maxRequestBytes = 16 << 20
)

// newBackendServer returns the server with the given index within its service. Servers are
// assigned to the regions, and to the failure domains of each, round robin.
func newBackendServer(sim *simulator, service *wire.DeploymentService, i int) *backendServer {
	regions := sim.deployment.GetRegions()
	region := regions[i%len(regions)]
	domains := region.GetFailureDomains()
	return &backendServer{
		sim:     sim,
		service: service,
		info: &wire.BackendServer{
			Name:          fmt.Sprintf("%s-%d", service.GetName(), i+1),
			Service:       service.GetName(),
			Region:        region.GetName(),
			FailureDomain: domains[(i/len(regions))%len(domains)],
			Address:       fmt.Sprintf("%s%d:%d", region.GetServerPrefix(), i+1, service.GetPort()),
		},
		connGenerations: make(map[net.Conn]int),
		stopped:         make(chan struct{}),
		slots:           make(chan struct{}, service.GetSlots()),
		slowFactor:      1,
	}
}

func (s *backendServer) listen() error {
	listener, err := net.Listen("tcp", s.info.GetAddress())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = listener
	s.startedAt = time.Now()
	s.mu.Unlock()
	server := &fasthttp.Server{
		Handler:            s.handle,
		MaxRequestBodySize: maxRequestBytes,
		Name:               s.info.GetName(),
	}
	go func() { _ = server.Serve(trackingListener{listener, s}) }()
	return nil
}

// Accept implements net.Listener. It registers the connection with the server.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: c, server: l.server}
	l.server.trackConn(tracked)
	return tracked, nil
}

// trackConn registers a new connection, and closes it if the server is down.
func (s *backendServer) trackConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		_ = c.(*trackedConn).Conn.Close()
		return
	}
	s.connGenerations[c] = s.generation
	if len(s.connGenerations) > int(s.service.GetConnections()) {
		s.sim.stats.overConnections.Add(1)
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.connGenerations, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// listEntry returns the server's entry in the instance list and whether it is listed,
// which it always is.
func (s *backendServer) listEntry() (*wire.BackendServer, bool) {
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
	if s.isSilent(ctx.Conn()) {
		time.Sleep(silenceDuration)
		return
	}
	if string(ctx.Path()) == loadPath {
		s.handleLoad(ctx)
		return
	}
	s.sim.stats.detectKey(&ctx.Request)
	if bytes.Contains(ctx.PostBody(), []byte(crashMarker)) {
		s.crash()
		return
	}
	if !s.beginRequest() {
		ctx.Error("draining", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(requestIDHeader, string(ctx.Request.Header.Peek(requestIDHeader)))
		ctx.Response.Header.Set("Not-Run", "1")
		ctx.Response.Header.Set("Draining", "1")
		return
	}
	defer s.endRequest()
	s.sim.stats.recordRun(s, &ctx.Request, time.Since(s.sim.startedAt))
	if !s.simulateWork(ctx) {
		truncateResponse(ctx, "")
		return
	}
	s.respond(ctx)
}

// simulateWork waits for a free slot and holds it for the request's service time. It
// returns false if the request was canceled at its deadline or the server went down.
func (s *backendServer) simulateWork(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	stopped := s.stopped
	s.mu.Unlock()
	timedOut := deadlineTimer(ctx)
	select {
	case s.slots <- struct{}{}:
	case <-timedOut:
		return false
	case <-stopped:
		return false
	}
	defer func() { <-s.slots }()
	select {
	case <-time.After(s.serviceTime(ctx)):
		return true
	case <-timedOut:
		return false
	case <-stopped:
		return false
	}
}

// deadlineTimer returns a channel that receives once the request is to be canceled. It
// returns nil, which never receives, for a request without a deadline.
func deadlineTimer(ctx *fasthttp.RequestCtx) <-chan time.Time {
	timeLeftMs, err := strconv.Atoi(string(ctx.Request.Header.Peek(deadlineHeader)))
	if err != nil {
		return nil
	}
	return time.After(time.Duration(timeLeftMs)*time.Millisecond + cancelDelay)
}

// truncateResponse writes an incomplete response and closes the connection.
func truncateResponse(ctx *fasthttp.RequestCtx, partial string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = io.WriteString(c, partial)
		_ = c.Close()
	})
}

func (s *backendServer) respond(ctx *fasthttp.RequestCtx) {
	truncate, mismatch := s.takeResponseFault()
	id := string(ctx.Request.Header.Peek(requestIDHeader))
	if mismatch {
		id = "another-request"
	}
	ctx.Response.Header.Set(requestIDHeader, id)
	ctx.SetContentType("text/plain")
	body := fmt.Sprintf("%s %s %s %s", s.info.GetName(), ctx.Method(), ctx.QueryArgs().Peek(nonceParam), ctx.PostBody())
	if !truncate {
		ctx.SetBodyString(body)
		return
	}
	truncateResponse(ctx, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+100, body))
}

// takeResponseFault returns which fault the next response has, and decrements the number
// of responses that still get that fault.
func (s *backendServer) takeResponseFault() (truncate, mismatch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.responsesToTruncate > 0 {
		s.responsesToTruncate--
		return true, false
	}
	if s.responsesToMismatch > 0 {
		s.responsesToMismatch--
		return false, true
	}
	return false, false
}

// beginRequest counts a request as in flight. It returns false if the server is
// draining.
func (s *backendServer) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		if time.Since(s.drainStartedAt) > drainGracePeriod {
			s.sim.stats.afterDrain.Add(1)
		}
		return false
	}
	s.inFlight++
	if s.inFlight > int(s.service.GetSlots()) {
		s.sim.stats.overSlots.Add(1)
	}
	return true
}

func (s *backendServer) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// serviceTime draws the time that a request takes, including the round trip between the
// client's region and the server's.
func (s *backendServer) serviceTime(ctx *fasthttp.RequestCtx) time.Duration {
	s.mu.Lock()
	factor := s.slowFactor
	cold := time.Since(s.startedAt) < s.service.GetColdTime().AsDuration()
	s.mu.Unlock()
	if cold {
		factor *= coldSlowdown
	}
	networkTime := 2 * s.sim.networkDelay(ctx.RemoteIP(), s.info.GetRegion())
	return networkTime + time.Duration(factor*float64(randomExponential(s.service.GetServiceTime().AsDuration())))
}

// handleLoad serves the load report. With the fault reportIdle, it reports no load.
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
	respondJSON(ctx, report)
}

// isSilent reports whether a connection has been silenced, because it was open when a
// FaultRequest with Silence was applied.
func (s *backendServer) isSilent(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	generation, ok := s.connGenerations[c]
	return ok && generation < s.generation
}

// setDraining starts or ends draining. The caller must hold s.mu.
func (s *backendServer) setDraining(draining bool) {
	if draining && !s.draining {
		s.drainStartedAt = time.Now()
	}
	s.draining = draining
}

// crash takes the server down for crashDowntime.
func (s *backendServer) crash() {
	s.sim.stats.crashes.Add(1)
	s.mu.Lock()
	s.setDown(true)
	s.mu.Unlock()
	time.AfterFunc(crashDowntime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.setDown(false)
	})
}

// setDown stops or restarts the server. The caller must hold s.mu.
func (s *backendServer) setDown(down bool) {
	if down == s.down {
		return
	}
	s.down = down
	if !down {
		s.stopped = make(chan struct{})
		go func() { _ = s.listen() }()
		return
	}
	_ = s.listener.Close()
	close(s.stopped)
	for c := range s.connGenerations {
		_ = c.(*trackedConn).Conn.Close()
	}
	s.connGenerations = make(map[net.Conn]int)
}
