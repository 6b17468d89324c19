package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

type (
	// conn is a caller's connection. It keeps reading while requests run, so that it
	// detects at once when the caller disconnects, and cancels them. Pipelined requests
	// run concurrently, and their responses are written in the order of the requests.
	conn struct {
		net.Conn
		server *Server
		reader *bufio.Reader
		ctx    context.Context
		cancel context.CancelFunc

		mu sync.Mutex
		// changed signals changes of pending and closed.
		changed *sync.Cond
		// pending holds the requests without a written response, oldest first.
		pending []*Exchange
		// reading is set from the first byte of a request until it is added to
		// pending.
		reading bool
		// closed is set once no further response is written.
		closed bool
		// closing is set once no further request is read.
		closing bool
		// lingering is set once the last response has been written.
		lingering bool
	}

	// Exchange is a request and its response.
	Exchange struct {
		Request *fasthttp.Request

		conn *conn
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
	maxPipelined       = 16
	writeTimeout       = 5 * time.Second
	bodyReadTimeout    = 30 * time.Second
	lingerTimeout      = 500 * time.Millisecond
	minReadBufferBytes = 4 << 10
	continueResponse   = "HTTP/1.1 100 Continue\r\n\r\n"
)

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{Conn: raw, server: s, ctx: ctx, cancel: cancel}
	c.reader = bufio.NewReaderSize(raw, max(minReadBufferBytes, s.limits().MaxHeaderBytes))
	c.changed = sync.NewCond(&c.mu)
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
		_ = c.SetReadDeadline(time.Now().Add(c.server.limits().IdleTimeout.Duration()))
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.beginRequest()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
			return false
		}
		if c.allAnswered() {
			return false
		}
	}
}

// awaitPipelineSpace waits until fewer than maxPipelined requests are pending. It returns
// false if no further request may be read.
func (c *conn) awaitPipelineSpace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPipelined && !c.closed {
		c.changed.Wait()
	}
	return !c.closed && !c.closing
}

// closeIfIdle ends a connection on which no request is being read or served, by expiring
// its read deadline.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 && !c.reading {
		_ = c.SetReadDeadline(time.Now())
	}
}

// beginRequest records that a request is being read. It returns false if no further request
// may be read, since the last response has been written meanwhile.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.closed && !c.closing
	return c.reading
}

// allAnswered reports whether no request is pending.
func (c *conn) allAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

// readRequest reads a request and starts to serve it. It reports whether further requests
// may follow on the connection.
func (c *conn) readRequest() bool {
	limits := c.server.limits()
	x := &Exchange{Request: fasthttp.AcquireRequest(), conn: c}
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout.Duration()))
	if err := x.Request.Header.Read(c.reader); err != nil {
		return c.rejectRequest(x, headerErrorStatus(err), err)
	}
	if err := checkFraming(&x.Request.Header); err != nil {
		return c.rejectRequest(x, fasthttp.StatusBadRequest, err)
	}
	if x.Request.MayContinue() && c.allAnswered() {
		_, _ = c.Write([]byte(continueResponse))
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	if err := c.readBody(x.Request, limits.MaxBodyBytes); err != nil {
		return c.rejectRequest(x, bodyErrorStatus(err), err)
	}
	x.closeAfter = x.Request.Header.ConnectionClose()
	c.enqueue(x)
	go c.server.serve(c.ctx, x)
	return !x.closeAfter
}

// readBody reads the body of a request, up to a limit in bytes. The bytes are kept as they
// are whatever the content type: fasthttp would parse a form and write it anew.
func (c *conn) readBody(request *fasthttp.Request, maxBytes int) error {
	length := request.Header.ContentLength()
	if length == 0 || (length < 0 && hasNoBody(request)) {
		return nil
	}
	if length > maxBytes {
		return fasthttp.ErrBodyTooLarge
	}
	const parseForms = false
	return request.ContinueReadBody(c.reader, maxBytes, parseForms)
}

// hasNoBody reports whether a request with a negative content length has no body.
// fasthttp uses -1 for a chunked body, and -2 if the header does not determine the
// length.
func hasNoBody(request *fasthttp.Request) bool {
	return len(request.Header.Peek(fasthttp.HeaderTransferEncoding)) == 0 && request.Header.ContentLength() != -1
}

// rejectRequest sends an error response to a request that cannot be read, after which the
// connection ends. If the status is 0, the caller has disconnected and gets no response.
// It returns false, for readRequest to return.
func (c *conn) rejectRequest(x *Exchange, status int, err error) bool {
	if status == 0 {
		c.cancel()
		return false
	}
	c.server.config.Log.Debug("request cannot be read", "status", status, "error", err.Error())
	x.closeAfter = true
	c.enqueue(x)
	response := NewErrorResponse(status, "the request cannot be read")
	x.Respond(response, func() { fasthttp.ReleaseResponse(response) })
	c.complete(x)
	return false
}

// headerErrorStatus returns the HTTP status for an error in reading a request's header, or
// zero if the caller has disconnected.
func headerErrorStatus(err error) int {
	var tooLarge *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooLarge) {
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	return readErrorStatus(err)
}

// bodyErrorStatus returns the HTTP status for an error in reading a request's body, or
// zero if the caller has disconnected.
func bodyErrorStatus(err error) int {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return fasthttp.StatusRequestEntityTooLarge
	}
	return readErrorStatus(err)
}

// readErrorStatus returns the HTTP status for a read error that is neither specific to the
// header nor to the body.
func readErrorStatus(err error) int {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case isDisconnect(err):
		return 0
	default:
		return fasthttp.StatusBadRequest
	}
}

// enqueue adds a request that has been read to the pending ones.
func (c *conn) enqueue(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, x)
	c.reading = false
	c.closing = c.closing || x.closeAfter
}

// complete marks a response as ready, and writes all ready responses that no earlier
// request precedes.
func (c *conn) complete(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.ready = true
	for len(c.pending) > 0 && c.pending[0].ready && !c.closed {
		c.writeResponse(c.pending[0])
		c.pending[0].end()
		c.pending = c.pending[1:]
	}
	if c.closed {
		c.dropReady()
		c.cancel()
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
}

// writeResponse writes a response, and closes the connection for writing if it is the last
// one or there is none. While keep-alives are disabled, the last one is that to the last
// request that was read: those before it may have been passed on too. The caller must hold
// the lock.
func (c *conn) writeResponse(x *Exchange) {
	if x.response == nil {
		c.closed = true
		c.lingeringClose()
		return
	}
	closeAfter := x.closeAfter
	if c.server.keepAlivesDisabled.Load() {
		c.closing = true
		closeAfter = len(c.pending) == 1 && !c.reading
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(encodeResponse(x, closeAfter))
	if err != nil {
		c.closed = true
		c.cancel()
		return
	}
	if closeAfter {
		c.closed = true
		c.lingeringClose()
	}
	fasthttp.ReleaseRequest(x.Request)
}

// lingeringClose closes the connection for writing and continues to read for up to
// lingerTimeout. If the connection were closed at once, unread data from the caller would
// cause a reset, which could discard a response that it has not read yet. The caller must
// hold the lock.
func (c *conn) lingeringClose() {
	c.lingering = true
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
		_, _ = c.reader.WriteTo(io.Discard)
	}
	c.cancel()
	c.mu.Lock()
	c.closed = true
	c.dropReady()
	c.changed.Broadcast()
	c.mu.Unlock()
	_ = c.Close()
}

// prepareDiscard reports whether data is to be discarded before the connection is closed,
// and sets the read deadline for that.
func (c *conn) prepareDiscard() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lingering:
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		return true
	case c.ctx.Err() != nil:
		return false
	default:
		_ = c.SetReadDeadline(time.Time{})
		return len(c.pending) > 0 && !c.closed
	}
}

// AwaitEarlierResponses waits until the responses to all earlier requests of the connection
// have been written. It returns false if the connection has ended, in which case the
// request need not be served.
func (x *Exchange) AwaitEarlierResponses() bool {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && len(c.pending) > 0 && c.pending[0] != x {
		c.changed.Wait()
	}
	return !c.closed
}
