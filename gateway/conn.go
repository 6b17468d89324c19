package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/valyala/fasthttp"
)

type (
	// conn is a caller's connection. It keeps reading while requests run, so that it
	// detects at once when the caller disconnects, and cancels them. Pipelined requests
	// run concurrently, and their responses are written in the order of the requests.
	conn struct {
		net.Conn
		server *Server
		// reader is nil while the connection is idle and has no buffer.
		reader *bufio.Reader
		// prefix holds the byte that ended an idle wait, until the reader takes it.
		prefix    [1]byte
		hasPrefix bool
		ctx       context.Context
		cancel    context.CancelFunc
		// hold is the memory of the connection and its buffer.
		hold *memory.Hold
		// bodyProgress counts the bytes of the request's body since progressAt was set.
		bodyProgress int
		// progressAt is when the caller last made progress with a request that is being
		// read, or became idle, in nanoseconds since the epoch.
		progressAt atomic.Int64
		// writing is the write of a response, nil while there is none. Whoever replaces it
		// by nil, the writer at its end or another that closes the connection, decides
		// whether the connection goes on.
		writing atomic.Pointer[responseWrite]

		mu sync.Mutex
		// changed signals changes of state and pending.
		changed *sync.Cond
		state   connState
		// pending holds the requests without a written response, oldest first.
		pending []*Exchange
		// reclaimed is set once the request that is being read is to be refused.
		reclaimed bool
		// bodyHold is the memory of the body that is being read, nil if there is none.
		bodyHold *memory.Hold
		// begunAt is when the last request began to be read, and writtenAt when the last
		// response began to be written.
		begunAt, writtenAt time.Time
	}

	// Exchange is a request and its response.
	Exchange struct {
		Request *fasthttp.Request
		// Body is the request's body. It is valid until Serve returns.
		Body *memory.Body

		conn *conn
		// head and body are the memory that the exchange takes with and without the body.
		head, body *memory.Hold
		// response is nil until Respond is called.
		response *fasthttp.Response
		// release is called once the response has been written or dropped.
		release func()
		// ready is set once the response can be written.
		ready bool
		// closeAfter is set if the connection is closed after this response.
		closeAfter bool
	}
)

const (
	// maxPipelined limits the pending requests of a connection.
	maxPipelined    = 16
	bodyReadTimeout = 30 * time.Second
	lingerTimeout   = 500 * time.Millisecond
	// readBufferBytes is the size of a connection's buffer, and of the usual heads.
	readBufferBytes = 4 << 10
	// bufferIdleTime is how long an idle connection keeps its buffer.
	bufferIdleTime   = 2 * time.Second
	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{Conn: raw, server: s, ctx: ctx, cancel: cancel}
	c.changed = sync.NewCond(&c.mu)
	c.hold = s.config.Memory.Hold(memory.ConnectionBuffers)
	c.hold.Add(memory.ConnectionBytes)
	c.progressAt.Store(time.Now().UnixNano())
	return c
}

// run reads and serves requests until the connection ends, and closes it.
func (c *conn) run() {
	for c.awaitRequest() {
		if !c.readRequest() {
			break
		}
	}
	c.discardAndClose()
}

// awaitRequest waits for the first byte of a request. It returns false if there is none
// because the connection has failed or is closing, or has been idle for too long.
func (c *conn) awaitRequest() bool {
	for {
		if !c.awaitPipelineSpace() {
			return false
		}
		err := c.awaitByte()
		switch {
		case err == nil:
			return c.beginRequest()
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.cancel()
			return false
		case c.endIfExpired(time.Now()):
			return false
		}
	}
}

// awaitByte waits for the first byte of a request, for as long as the connection may be idle
// or, while it has a buffer, for up to bufferIdleTime, after which it gives the buffer back.
func (c *conn) awaitByte() error {
	if c.reader != nil {
		if !c.setIdleDeadline(time.Now(), bufferIdleTime) {
			return os.ErrDeadlineExceeded
		}
		_, err := c.reader.Peek(1)
		if err != nil {
			c.releaseReader()
		}
		return err
	}
	if !c.setIdleDeadline(time.Now(), math.MaxInt64) {
		return os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(c.prefix[:])
	if n == 0 {
		return err
	}
	c.hasPrefix = true
	c.acquireReader()
	return nil
}

// setIdleDeadline sets the read deadline for a wait of at most the given time. It returns
// false if no further request may be read; the deadline of a lingering close then stays.
func (c *conn) setIdleDeadline(now time.Time, most time.Duration) bool {
	timeout := c.server.limits().IdleTimeout.Duration()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.phase != phaseOpen {
		return false
	}
	_ = c.SetReadDeadline(now.Add(min(c.idleTimeLeft(now, timeout), most)))
	return true
}

// endIfExpired ends the connection if it has been idle for the idle timeout. It reports
// whether no further request may be read.
func (c *conn) endIfExpired(now time.Time) bool {
	timeout := c.server.limits().IdleTimeout.Duration()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleTimeLeft(now, timeout) <= 0 {
		c.state, _ = c.state.withIdleEnded()
	}
	return c.state.phase != phaseOpen
}

// idleTimeLeft returns how long the connection may still be idle. While requests are
// pending, that is the whole idle timeout. The caller must hold the lock.
func (c *conn) idleTimeLeft(now time.Time, timeout time.Duration) time.Duration {
	if !c.state.isIdle() {
		return timeout
	}
	return timeout - now.Sub(c.lastProgress())
}

// lastProgress returns when the caller last made progress, or became idle.
func (c *conn) lastProgress() time.Time {
	return time.Unix(0, c.progressAt.Load())
}

// awaitPipelineSpace waits until fewer than maxPipelined requests are pending. It returns
// false if no further request may be read.
func (c *conn) awaitPipelineSpace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.state.pending >= maxPipelined && !c.state.hasEnded() {
		c.changed.Wait()
	}
	return c.state.phase == phaseOpen
}

// beginRequest records that a request is being read. It returns false if no further request
// may be read.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun, ok := c.state.withRequestBegun()
	c.state = begun
	c.reclaimed = false
	c.begunAt = time.Now()
	c.progressAt.Store(c.begunAt.UnixNano())
	return ok
}

// allAnswered reports whether no request is pending.
func (c *conn) allAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.pending == 0
}

// enqueue adds a request that has been read to the pending ones. It returns false if the
// connection has ended meanwhile; the request must not be served then.
func (c *conn) enqueue(x *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	read, ok := c.state.withRequestRead(x.closeAfter)
	if !ok {
		return false
	}
	c.state = read
	c.pending = append(c.pending, x)
	c.bodyHold = nil
	return true
}

// complete marks a response as ready, and writes all ready responses that no earlier
// request precedes.
func (c *conn) complete(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.ready = true
	for len(c.pending) > 0 && c.pending[0].ready && !c.state.hasEnded() {
		c.writeResponse(c.pending[0])
		c.pending[0].end()
		c.pending = c.pending[1:]
		c.state = c.state.withResponseDone()
	}
	if c.state.hasEnded() {
		c.dropReady()
		c.cancel()
	}
	if c.state.pending == 0 {
		c.progressAt.Store(c.writtenAt.UnixNano())
	}
	c.changed.Broadcast()
}

// dropReady ends the exchanges whose responses will not be written. The caller must hold
// the lock.
func (c *conn) dropReady() {
	for _, x := range c.pending {
		if x.ready {
			x.end()
		}
	}
}

// Respond sets the response. release is called once it has been written or dropped. Only
// the handler may call Respond, at most once and before it returns. If it does not, the
// connection ends without a response to the request.
func (x *Exchange) Respond(response *fasthttp.Response, release func()) {
	x.response, x.release = response, release
}

// end releases the response, once.
func (x *Exchange) end() {
	if x.release != nil {
		x.release()
		x.response, x.release = nil, nil
	}
	x.head.Release()
}

// writeResponse writes a response, and closes the connection for writing if it is the last
// one or there is none. While connections end with their responses, the last one is that to the
// last request that was read: those before it may have been passed on too. The caller must hold
// the lock.
func (c *conn) writeResponse(x *Exchange) {
	if x.response == nil {
		c.lingeringClose()
		return
	}
	closeAfter := x.closeAfter
	if c.endsWithResponse() {
		c.state = c.state.withDraining()
		closeAfter = c.state.pending == 1 && !c.state.reading
	}
	if err := c.send(x, closeAfter); err != nil {
		c.state = c.state.withClosed()
		c.cancel()
		return
	}
	if closeAfter {
		c.lingeringClose()
	}
	fasthttp.ReleaseRequest(x.Request)
}

// endsWithResponse reports whether the connection ends with the response that is being
// written, or with those to the requests behind it. The caller must hold the lock.
func (c *conn) endsWithResponse() bool {
	if c.state.phase != phaseOpen || c.server.keepAlivesDisabled.Load() {
		return true
	}
	if !c.server.isNearlyFull() {
		return false
	}
	c.server.noteRefusal(reasonAnswered)
	return true
}

// lingeringClose closes the connection for writing and continues to read for up to
// lingerTimeout. If the connection were closed at once, unread data from the caller would
// cause a reset, which could discard a response that it has not read yet. The caller must
// hold the lock.
func (c *conn) lingeringClose() {
	c.state = c.state.withLingering()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// discardAndClose closes the connection. If requests are running or the last response is
// on its way, it first reads and discards data, until the caller disconnects or the
// lingering close after the last response ends.
func (c *conn) discardAndClose() {
	if c.prepareDiscard() {
		_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.Conn})
	}
	c.releaseReader()
	c.cancel()
	c.mu.Lock()
	c.state = c.state.withClosed()
	c.dropReady()
	c.changed.Broadcast()
	c.mu.Unlock()
	_ = c.Close()
	c.hold.Release()
}

// prepareDiscard reports whether data is to be discarded before the connection is closed,
// and sets the read deadline for that.
func (c *conn) prepareDiscard() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state.phase == phaseLingering:
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		return true
	case c.ctx.Err() != nil:
		return false
	default:
		_ = c.SetReadDeadline(time.Time{})
		return c.state.pending > 0 && !c.state.hasEnded()
	}
}

// AwaitEarlierResponses waits until the responses to all earlier requests of the connection
// have been written. It returns false if the connection has ended, in which case the
// request need not be served.
func (x *Exchange) AwaitEarlierResponses() bool {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.state.hasEnded() && len(c.pending) > 0 && c.pending[0] != x {
		c.changed.Wait()
	}
	return !c.state.hasEnded()
}
