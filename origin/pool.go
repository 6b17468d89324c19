package origin

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

type (
	// PoolConfig configures a Pool.
	PoolConfig struct {
		Clock   clock.Clock
		Headers HeaderNames
		Metrics metrics.Registry
		// MaxConnections returns the limit of connections to one server of a
		// service.
		MaxConnections func(service string) int
		// MaxOpen returns the limit of connections to all servers; nil or zero means
		// none.
		MaxOpen func() int
		// OnConnect is called after each new connection with the time that it took
		// to connect to a server of the region.
		OnConnect func(region string, took clock.Millis)
		// Memory limits what the responses hold; nil means no limit.
		Memory *memory.Account
	}

	// Pool keeps the connections to backend servers. It is safe for concurrent use.
	Pool struct {
		config PoolConfig

		mu sync.Mutex
		// servers is keyed by the server's ID.
		servers map[string]*serverConns
		// invalidLoadShownAt is when an invalid load report was last passed on for the
		// log, in milliseconds of the clock; zero means never.
		invalidLoadShownAt atomic.Int64
		// open counts the connections to all servers.
		open int
	}

	// serverConns holds the connections to one server.
	serverConns struct {
		idle []*conn
		// open counts the connections that are idle, in use or being opened.
		open int
		// outstanding is the number of bytes of requests that the server may still hold.
		outstanding int
	}

	// ResponseInfo holds what a response says about the server.
	ResponseInfo struct {
		// Status is the status code; zero if there is no whole response.
		Status int
		// Declined is set if the server did not run the request.
		Declined bool
		// Misdirected is set if another server now has the address.
		Misdirected bool
		// Load is what the server reports of its load.
		Load LoadReport
		// ColdFor is how long the server remains cold.
		ColdFor clock.Millis
		// Leaving is set if the server is about to stop. It is also set where the rest
		// of the response was lost.
		Leaving bool
		// Pause is how long the server wants no requests from this instance.
		Pause Pause
	}
)

const (
	// maxIdleTime is how long a connection may be idle before it is no longer
	// reused; maxNonIdempotentIdleTime applies to requests that must not be sent
	// again after a failure.
	maxIdleTime              = 8 * clock.Second
	maxNonIdempotentIdleTime = 5 * clock.Second
	// dialTimeout is several times the network delay between the most distant
	// regions.
	dialTimeout = 350 * time.Millisecond
	// maxColdFor limits what a server may say of how long it stays cold.
	maxColdFor = 10 * 60 * clock.Second
	// maxOutstandingBytes limits the bodies that one server may still have to read, or has
	// read for requests that still run. A single larger one is sent when there is no other.
	maxOutstandingBytes = 32 << 20
)

// NewPool returns a pool without connections.
func NewPool(config PoolConfig) *Pool {
	return &Pool{config: config, servers: make(map[string]*serverConns)}
}

// Do sends a request to a server and reads the response, which the caller must release.
// It returns none if the server did not run the request. idempotent is set if the
// request may be sent again after a failure. Canceling the context closes the
// connection, so that the server can stop running the request. After an error only
// Leaving of the info may be set.
func (p *Pool) Do(ctx context.Context, server placement.Server, idempotent bool, request *Request) (*Response, ResponseInfo, error) {
	deadline := time.Now().Add(request.TimeLeft.Duration())
	size := request.Body.Len()
	if !p.addOutstanding(server, size) {
		return nil, ResponseInfo{}, ErrConnectionLimit.New("server %s has too many outstanding request bytes", server.ID)
	}
	defer p.removeOutstanding(server, size)
	c, err := p.connect(server, idempotent, request.TimeLeft)
	if err != nil {
		return nil, ResponseInfo{}, err
	}
	if err := c.SetDeadline(deadline); err != nil {
		p.discard(server, c)
		return nil, ResponseInfo{}, ErrUnreachable.Wrap(err, "setting the deadline")
	}
	if reason := request.Withhold(); reason != "" {
		p.put(server, c, true)
		return nil, ResponseInfo{}, ErrWithheld.New("nothing was sent to server %s: %s", server.ID, reason)
	}
	started := p.config.Clock.Now()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, reusable, err := c.exchange(p.config.Headers, request, p.config.Memory)
	info := ResponseInfo{Leaving: c.serverLeaving}
	if !stop() {
		response.Release()
		p.discard(server, c)
		return nil, info, ErrCanceled.New("the request was cancelled")
	}
	if err != nil {
		p.discard(server, c)
		p.closeDistrusted(server, started, err)
		return nil, info, err
	}
	c.setIdleTimeout(response.message)
	p.put(server, c, reusable && !info.Leaving)
	if info.Leaving {
		p.closeIdle(server)
	}
	info = p.responseInfo(info, response.message)
	if info.Declined {
		response.Release()
		return nil, info, nil
	}
	return response, info, nil
}

// responseInfo adds to info what a complete response says about the server.
func (p *Pool) responseInfo(info ResponseInfo, response *fasthttp.Response) ResponseInfo {
	names := p.config.Headers
	info.Status = response.StatusCode()
	info.Declined = isDeclined(names, response)
	info.Misdirected = response.StatusCode() == fasthttp.StatusMisdirectedRequest
	info.Load = p.parseLoad(response.Header.Peek(names.Load))
	if cold, err := strconv.Atoi(string(response.Header.Peek(names.Cold))); err == nil {
		info.ColdFor = min(max(clock.Millis(cold), 0), maxColdFor)
	}
	if response.StatusCode() == fasthttp.StatusServiceUnavailable {
		info.Pause = parsePause(response.Header.Peek(fasthttp.HeaderRetryAfter))
	}
	return info
}

// connect returns an idle connection or opens a new one.
func (p *Pool) connect(server placement.Server, idempotent bool, left clock.Millis) (*conn, error) {
	if c := p.takeIdle(server, idempotent); c != nil {
		return c, nil
	}
	if !p.reserve(server) {
		return nil, ErrConnectionLimit.New("server %s has all its connections from here", server.ID)
	}
	started := p.config.Clock.Now()
	raw, err := socket.Dial(server.Address, min(dialTimeout, left.Duration()))
	p.increment("origin.dials")
	if err != nil {
		p.unreserve(server)
		p.increment("origin.dial_failures")
		return nil, ErrUnreachable.Wrap(err, "connecting to server %s at %s", server.ID, server.Address)
	}
	p.config.OnConnect(server.Region, p.config.Clock.Now()-started)
	return newConn(raw, p.config.Memory.Hold(memory.ConnectionBuffers)), nil
}

// takeIdle removes and returns an idle connection that can carry the request, or nil.
// It closes those that it passes over.
func (p *Pool) takeIdle(server placement.Server, idempotent bool) *conn {
	limit := maxIdleTime
	if !idempotent {
		limit = maxNonIdempotentIdleTime
	}
	for {
		c := p.popIdle(server)
		if c == nil {
			return nil
		}
		age := p.config.Clock.Now() - c.lastUsedAt
		if age < min(limit, c.idleTimeout) && c.isAlive() {
			return c
		}
		p.discard(server, c)
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(server placement.Server) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.serverConns(server)
	if len(conns.idle) == 0 {
		return nil
	}
	c := conns.idle[len(conns.idle)-1]
	conns.idle = conns.idle[:len(conns.idle)-1]
	return c
}

// serverConns returns the connections to a server. The caller must hold the lock.
func (p *Pool) serverConns(server placement.Server) *serverConns {
	conns, ok := p.servers[server.ID]
	if !ok {
		conns = &serverConns{}
		p.servers[server.ID] = conns
	}
	return conns
}

// reserve counts one more open connection, unless the limit is reached.
func (p *Pool) reserve(server placement.Server) bool {
	limit := p.config.MaxConnections(server.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.serverConns(server)
	if conns.open >= limit || !p.makeRoom() {
		return false
	}
	conns.open++
	p.open++
	return true
}

// makeRoom reports whether there is room for another connection. At the limit it closes an
// idle one. The caller must hold the lock.
func (p *Pool) makeRoom() bool {
	if p.config.MaxOpen == nil {
		return true
	}
	limit := p.config.MaxOpen()
	if limit <= 0 || p.open < limit {
		return true
	}
	for _, conns := range p.servers {
		if len(conns.idle) == 0 {
			continue
		}
		oldest := conns.idle[0]
		p.pruneIdle(conns, func(c *conn) bool { return c != oldest })
		return true
	}
	return false
}

// addOutstanding counts the bytes of a request that is about to be sent to a server, unless
// the server would hold too many then.
func (p *Pool) addOutstanding(server placement.Server, bytes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.serverConns(server)
	if conns.outstanding > 0 && conns.outstanding+bytes > maxOutstandingBytes {
		return false
	}
	conns.outstanding += bytes
	return true
}

func (p *Pool) removeOutstanding(server placement.Server, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serverConns(server).outstanding -= bytes
}

func (p *Pool) unreserve(server placement.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serverConns(server).open--
	p.open--
}

// Open returns the number of open connections to all servers.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// put returns a connection to the idle ones, or closes it if it is not reusable.
func (p *Pool) put(server placement.Server, c *conn, reusable bool) {
	if !reusable {
		p.discard(server, c)
		return
	}
	c.lastUsedAt = p.config.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.serverConns(server)
	conns.idle = append(conns.idle, c)
}

func (p *Pool) discard(server placement.Server, c *conn) {
	_ = c.Close()
	p.unreserve(server)
}

// closeIdle closes the idle connections to a server.
func (p *Pool) closeIdle(server placement.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pruneIdle(p.serverConns(server), func(*conn) bool { return false })
}

// closeDistrusted closes, after a timeout or a lost response, the idle connections to a
// server that have not been used since the given time: the server may be gone or silent on
// them too. A request on a new connection then shows that without being lost.
func (p *Pool) closeDistrusted(server placement.Server, since clock.Millis, err error) {
	if !errorx.IsOfType(err, ErrTimeout) && !errorx.IsOfType(err, ErrResponseLost) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	closed := p.pruneIdle(p.serverConns(server), func(c *conn) bool { return c.lastUsedAt >= since })
	metrics.GetOrRegisterCounter("origin.distrusted", p.config.Metrics).Inc(int64(closed))
}

// pruneIdle closes the idle connections for which keep returns false and returns how
// many it closed. The caller must hold the pool's lock.
func (p *Pool) pruneIdle(s *serverConns, keep func(*conn) bool) int {
	kept, closed := socket.PruneIdle(s.idle, keep)
	s.idle = kept
	s.open -= closed
	p.open -= closed
	return closed
}

// Prune closes connections that have been idle for too long, and all idle connections
// to servers that are no longer in use. It removes such a server once none is open.
func (p *Pool) Prune(inUse func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	for id, conns := range p.servers {
		p.pruneIdle(conns, func(c *conn) bool { return inUse(id) && now-c.lastUsedAt < c.idleTimeout })
		if conns.open == 0 && conns.outstanding == 0 && !inUse(id) {
			delete(p.servers, id)
		}
	}
}

func (p *Pool) increment(name string) {
	metrics.GetOrRegisterCounter(name, p.config.Metrics).Inc(1)
}

// OutcomeOf returns the outcome that placement records for the results of Do.
func OutcomeOf(info ResponseInfo, err error) placement.Outcome {
	switch {
	case errorx.IsOfType(err, ErrUnreachable):
		return placement.Unreachable
	case errorx.IsOfType(err, ErrConnectionLimit):
		return placement.ConnectionLimit
	case errorx.IsOfType(err, ErrWithheld):
		return placement.Withheld
	case errorx.IsOfType(err, ErrTimeout):
		return placement.TimedOut
	case errorx.IsOfType(err, ErrCanceled):
		return placement.Canceled
	case err != nil:
		return placement.ResponseLost
	case info.Declined:
		return placement.Declined
	case info.Status >= fasthttp.StatusInternalServerError:
		return placement.Failed
	default:
		return placement.Answered
	}
}
