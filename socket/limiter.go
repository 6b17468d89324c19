package socket

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// LimiterConfig configures a Limiter.
	LimiterConfig struct {
		// Max returns the largest number of connections.
		Max func() int
		// OnOpen and OnClose are called for each connection that is accepted and closed.
		OnOpen, OnClose func()
		// OnEvict is called for each connection that is closed to make room, or that
		// finds none.
		OnEvict func()
	}

	// Limiter limits the connections that listeners accept. At the limit it closes those
	// on which nothing has arrived for longest, except busy ones.
	Limiter struct {
		config LimiterConfig

		mu    sync.Mutex
		conns map[*limitedConn]struct{}
		// searchedAt is when connections to close were last searched for.
		searchedAt time.Time
	}

	limitedListener struct {
		net.Listener
		limiter *Limiter
	}

	limitedConn struct {
		net.Conn
		limiter *Limiter
		// activeAt is when something arrived last, in nanoseconds since the epoch.
		activeAt atomic.Int64
		// busy is set while a request of the connection is served.
		busy   atomic.Bool
		closed atomic.Bool
	}
)

const (
	// minIdleTime is how long nothing must have arrived on a connection that is closed to
	// make room.
	minIdleTime = 50 * time.Millisecond
	// evictShare is the part of the connections that is closed at a time, as a divisor.
	evictShare = 16
	// A search looks at all connections. Between two searches pass searchInterval and
	// searchPause for each connection, so that they cost about a hundredth of a core.
	searchInterval = 5 * time.Millisecond
	searchPause    = 25 * time.Microsecond
)

// NewLimiter returns a Limiter without connections.
func NewLimiter(config LimiterConfig) *Limiter {
	return &Limiter{config: config, conns: make(map[*limitedConn]struct{})}
}

// Listen returns a listener whose connections count.
func (l *Limiter) Listen(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: l}
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
		l.limiter.config.OnEvict()
	}
}

// SetBusy records whether a request of a connection is served, which may be wrapped by TLS.
// It protects the connection.
func (l *Limiter) SetBusy(conn net.Conn, busy bool) {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	if c, ok := conn.(*limitedConn); ok {
		c.activeAt.Store(time.Now().UnixNano())
		c.busy.Store(busy)
	}
}

// CloseStalled closes the connections on which nothing has arrived for some time and no
// request is served. It reports whether there were any.
func (l *Limiter) CloseStalled(minIdle time.Duration) bool {
	stalled := l.idle(minIdle)
	l.evict(stalled)
	return len(stalled) > 0
}

// add counts a connection. It returns nil if there is no room.
func (l *Limiter) add(raw net.Conn) *limitedConn {
	limit := l.config.Max()
	if count := l.count(); count >= limit && l.maySearch() {
		idle := l.idle(minIdleTime)
		l.evict(idle[:min(len(idle), count-limit+limit/evictShare+1)])
	}
	c := &limitedConn{Conn: raw, limiter: l}
	c.activeAt.Store(time.Now().UnixNano())
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= limit {
		return nil
	}
	l.conns[c] = struct{}{}
	l.config.OnOpen()
	return c
}

// maySearch reports whether enough time has passed since the last search for connections to
// close.
func (l *Limiter) maySearch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.searchedAt) < searchInterval+time.Duration(len(l.conns))*searchPause {
		return false
	}
	l.searchedAt = time.Now()
	return true
}

func (l *Limiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// idle returns the connections on which nothing has arrived for some time and no request is
// served, those that have waited longest first.
func (l *Limiter) idle(minIdle time.Duration) []*limitedConn {
	before := time.Now().Add(-minIdle).UnixNano()
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*limitedConn
	for c := range l.conns {
		if !c.busy.Load() && c.activeAt.Load() <= before {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *limitedConn) int {
		return time.Unix(0, a.activeAt.Load()).Compare(time.Unix(0, b.activeAt.Load()))
	})
	return found
}

func (l *Limiter) evict(conns []*limitedConn) {
	for _, c := range conns {
		_ = c.Close()
		l.config.OnEvict()
	}
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.activeAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if !c.closed.Swap(true) {
		c.limiter.mu.Lock()
		delete(c.limiter.conns, c)
		c.limiter.mu.Unlock()
		c.limiter.config.OnClose()
	}
	return c.Conn.Close()
}
