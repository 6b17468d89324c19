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

		searches SearchPacer

		mu    sync.Mutex
		conns map[*limitedConn]struct{}
	}

	limitedListener struct {
		net.Listener
		limiter *Limiter
	}

	// idleConn is a connection on which nothing has arrived since a time.
	idleConn struct {
		conn  *limitedConn
		since time.Time
	}

	// limitedConn is a connection that counts. Whether it may be closed for others and
	// whether a request of it is served are decided under its lock.
	limitedConn struct {
		net.Conn
		limiter *Limiter

		mu sync.Mutex
		// activeAt is when something arrived last, a request ended, or a write began or
		// ended.
		activeAt time.Time
		// busy is set while a request of the connection is served, writing while bytes
		// are written to it.
		busy, writing bool
		// ended is set once no request may be served any more.
		ended  bool
		closed atomic.Bool
	}
)

const (
	// minIdleTime is how long nothing must have arrived on a connection that is closed to
	// make room.
	minIdleTime = 50 * time.Millisecond
	// minUnreadTime is how long the peer must not have read what is written to a
	// connection that is closed for others.
	minUnreadTime = 2 * time.Second
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

// Begin records that a request of a connection, which may be wrapped by TLS, is served, and
// protects the connection until End. It returns false if the connection has been closed for
// others; the request must not be served then.
func (l *Limiter) Begin(conn net.Conn) bool {
	c, ok := unwrap(conn)
	return !ok || c.begin()
}

// End records that a request of a connection is no longer served.
func (l *Limiter) End(conn net.Conn) {
	if c, ok := unwrap(conn); ok {
		c.end()
	}
}

// unwrap returns the connection of a limiter below one that a server uses.
func unwrap(conn net.Conn) (*limitedConn, bool) {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	c, ok := conn.(*limitedConn)
	return c, ok
}

// CloseStalled closes the connections on which nothing has arrived for some time and no
// request is served. It reports whether there were any.
func (l *Limiter) CloseStalled(minIdle time.Duration) bool {
	return l.evict(l.idle(minIdle), minIdle) > 0
}

// add counts a connection. It returns nil if there is no room.
func (l *Limiter) add(raw net.Conn) *limitedConn {
	limit := l.config.Max()
	open := l.count()
	if count := CountToClose(open, limit); count > 0 && l.searches.Next(time.Now(), open) {
		idle := l.idle(minIdleTime)
		l.evict(idle[:min(len(idle), count)], minIdleTime)
	}
	c := &limitedConn{Conn: raw, limiter: l, activeAt: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= limit {
		return nil
	}
	l.conns[c] = struct{}{}
	l.config.OnOpen()
	return c
}

func (l *Limiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// idle returns the connections on which nothing has arrived for some time and no request is
// served, those that have waited longest first. That is no more than a guess once it returns:
// evict decides again.
func (l *Limiter) idle(minIdle time.Duration) []*limitedConn {
	now := time.Now()
	l.mu.Lock()
	var found []idleConn
	for c := range l.conns {
		if since, ok := c.idleSince(now, minIdle); ok {
			found = append(found, idleConn{conn: c, since: since})
		}
	}
	l.mu.Unlock()
	slices.SortFunc(found, func(a, b idleConn) int { return a.since.Compare(b.since) })
	conns := make([]*limitedConn, len(found))
	for i, f := range found {
		conns[i] = f.conn
	}
	return conns
}

// evict closes those of the connections that have still been idle for some time, and returns
// their number.
func (l *Limiter) evict(conns []*limitedConn, minIdle time.Duration) int {
	closed := 0
	for _, c := range conns {
		if !c.endIfIdle(time.Now(), minIdle) {
			continue
		}
		closed++
		_ = c.Close()
		l.config.OnEvict()
	}
	return closed
}

// idleSince returns since when nothing has arrived, and whether the connection has been idle
// for some time.
func (c *limitedConn) idleSince(now time.Time, minIdle time.Duration) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeAt, c.isIdle(now, minIdle)
}

// isIdle reports whether the connection has been idle for some time. The caller must hold the
// lock.
func (c *limitedConn) isIdle(now time.Time, minIdle time.Duration) bool {
	if c.writing {
		minIdle = max(minIdle, minUnreadTime)
	}
	return !c.busy && !c.ended && now.Sub(c.activeAt) >= minIdle
}

// endIfIdle ends a connection that has been idle for some time, unless bytes of a request have
// arrived. No request is read or served after that.
func (c *limitedConn) endIfIdle(now time.Time, minIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle(now, minIdle) || HasUnread(c.Conn) {
		return false
	}
	c.ended = true
	return true
}

func (c *limitedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.ended
	c.activeAt = time.Now()
	return c.busy
}

func (c *limitedConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.activeAt = time.Now()
}

// noteArrival records that something has arrived. It returns false if the connection has ended.
func (c *limitedConn) noteArrival() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeAt = time.Now()
	return !c.ended
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.noteArrival() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *limitedConn) Write(p []byte) (int, error) {
	c.setWriting(true)
	defer c.setWriting(false)
	return c.Conn.Write(p)
}

func (c *limitedConn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
	c.activeAt = time.Now()
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
