package origin

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
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
		// MaxConnections returns the most connections to one server of a service.
		MaxConnections func(service string) int
		// OnConnect is told how long it took to connect to a region.
		OnConnect func(region string, took clock.Millis)
	}

	// Pool keeps the connections to backend servers. It is safe for concurrent use.
	Pool struct {
		config PoolConfig

		mu    sync.Mutex
		hosts map[string]*host
	}

	// host is the connections to one incarnation of a server.
	host struct {
		idle []*conn
		open int
	}

	// ResponseInfo is a server's answer with what it says about the server.
	ResponseInfo struct {
		// Declined is set where the server said that it did not run the request.
		Declined bool
		// Misdirected is set where another server has the address.
		Misdirected bool
		// Load is the number of running and waiting requests.
		Load    int
		HasLoad bool
		// ColdFor is how long the server stays cold.
		ColdFor clock.Millis
	}
)

const (
	maxIdle       = 8 * clock.Second
	maxUnsafeIdle = 5 * clock.Second
	// dialTimeout is several times the way between the farthest regions.
	dialTimeout = 350 * time.Millisecond
)

// NewPool returns a pool without connections.
func NewPool(config PoolConfig) *Pool {
	return &Pool{config: config, hosts: make(map[string]*host)}
}

// Do sends a request to a server and reads the answer into response. Cancelling
// the context closes the connection, so that the server stops its work.
func (p *Pool) Do(ctx context.Context, server placement.Server, safe bool, request *Request, response *fasthttp.Response) (ResponseInfo, error) {
	deadline := time.Now().Add(request.TimeLeft.Duration())
	c, err := p.connect(server, safe, request.TimeLeft)
	if err != nil {
		return ResponseInfo{}, err
	}
	if err := c.SetDeadline(deadline); err != nil {
		p.discard(server, c)
		return ResponseInfo{}, ErrUnreachable.Wrap(err, "setting the deadline")
	}
	began := p.config.Clock.Now()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	reusable, err := c.exchange(p.config.Headers, request.ID, request.encode(p.config.Headers), response)
	if !stop() {
		p.discard(server, c)
		return ResponseInfo{}, ErrCanceled.New("the request was cancelled")
	}
	if err != nil {
		p.discard(server, c)
		p.distrust(server, began, err)
		return ResponseInfo{}, err
	}
	c.keepFor(response)
	p.putBack(server, c, reusable)
	return p.describe(response), nil
}

func (p *Pool) describe(response *fasthttp.Response) ResponseInfo {
	d := p.config.Headers
	answer := ResponseInfo{
		Declined:    isDeclined(d, response),
		Misdirected: response.StatusCode() == fasthttp.StatusMisdirectedRequest,
	}
	answer.Load, answer.HasLoad = parseLoad(string(response.Header.Peek(d.Load)))
	if cold, err := strconv.Atoi(string(response.Header.Peek(d.Cold))); err == nil {
		answer.ColdFor = clock.Millis(cold)
	}
	return answer
}

// parseLoad reads "running,waiting,slots".
func parseLoad(value string) (int, bool) {
	parts := strings.Split(value, ",")
	if len(parts) < 2 {
		return 0, false
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	if err != nil {
		return 0, false
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil {
		return 0, false
	}
	return running + waiting, true
}

// connect returns an idle connection or opens one.
func (p *Pool) connect(server placement.Server, safe bool, left clock.Millis) (*conn, error) {
	if c := p.takeIdle(server, safe); c != nil {
		return c, nil
	}
	if !p.reserve(server) {
		return nil, ErrConnectionLimit.New("server %s has all its connections from here", server.ID)
	}
	began := p.config.Clock.Now()
	raw, err := socket.Dial(server.Address, min(dialTimeout, left.Duration()))
	p.count("origin.dials")
	if err != nil {
		p.unreserve(server)
		p.count("origin.dial_failures")
		return nil, ErrUnreachable.Wrap(err, "connecting to server %s at %s", server.ID, server.Address)
	}
	p.config.OnConnect(server.Region, p.config.Clock.Now()-began)
	return newConn(raw), nil
}

func (p *Pool) takeIdle(server placement.Server, safe bool) *conn {
	limit := maxIdle
	if !safe {
		limit = maxUnsafeIdle
	}
	for {
		c := p.popIdle(server)
		if c == nil {
			return nil
		}
		age := p.config.Clock.Now() - c.usedAt
		if age < min(limit, c.usableFor) && c.isAlive() {
			return c
		}
		p.discard(server, c)
	}
}

func (p *Pool) popIdle(server placement.Server) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(server)
	if len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

func (p *Pool) host(server placement.Server) *host {
	h, ok := p.hosts[server.ID]
	if !ok {
		h = &host{}
		p.hosts[server.ID] = h
	}
	return h
}

func (p *Pool) reserve(server placement.Server) bool {
	most := p.config.MaxConnections(server.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(server)
	if h.open >= most {
		return false
	}
	h.open++
	return true
}

func (p *Pool) unreserve(server placement.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host(server).open--
}

func (p *Pool) putBack(server placement.Server, c *conn, reusable bool) {
	if !reusable {
		p.discard(server, c)
		return
	}
	c.usedAt = p.config.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(server)
	h.idle = append(h.idle, c)
}

func (p *Pool) discard(server placement.Server, c *conn) {
	_ = c.Close()
	p.unreserve(server)
}

// distrust closes the idle connections to a server that have not worked since a
// time, after an exchange that got no answer in time: what silenced its
// connection may have silenced them too.
func (p *Pool) distrust(server placement.Server, since clock.Millis, err error) {
	if !errorx.IsOfType(err, ErrTimeout) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(server)
	closed := h.keep(func(c *conn) bool { return c.usedAt >= since })
	metrics.GetOrRegisterCounter("origin.distrusted", p.config.Metrics).Inc(int64(closed))
}

// keep closes the idle connections that are not wanted and returns their number.
// The caller holds the pool's lock.
func (h *host) keep(wanted func(*conn) bool) int {
	kept, closed := socket.KeepIdle(h.idle, wanted)
	h.idle = kept
	h.open -= closed
	return closed
}

// Prune closes connections that have idled too long and forgets servers that
// are no longer listed.
func (p *Pool) Prune(listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	for id, h := range p.hosts {
		h.keep(func(c *conn) bool { return listed(id) && now-c.usedAt < c.usableFor })
		if h.open == 0 && !listed(id) {
			delete(p.hosts, id)
		}
	}
}

func (p *Pool) count(name string) {
	metrics.GetOrRegisterCounter(name, p.config.Metrics).Inc(1)
}

// OutcomeOf tells placement what an exchange's result means for the server.
func OutcomeOf(answer ResponseInfo, status int, err error) placement.Outcome {
	switch {
	case errorx.IsOfType(err, ErrUnreachable):
		return placement.Unreached
	case errorx.IsOfType(err, ErrConnectionLimit):
		return placement.Busy
	case errorx.IsOfType(err, ErrTimeout):
		return placement.Overdue
	case errorx.IsOfType(err, ErrCanceled):
		return placement.GivenUp
	case err != nil:
		return placement.Lost
	case answer.Declined:
		return placement.Declined
	case status >= fasthttp.StatusInternalServerError:
		return placement.Failed
	default:
		return placement.Answered
	}
}
