package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

type (
	// conn is one caller's connection. Requests are read ahead while earlier
	// ones run, so that the caller's leaving is noticed at once; answers are
	// written in the order of the requests.
	conn struct {
		net.Conn
		server *Server
		reader *bufio.Reader
		ctx    context.Context
		cancel context.CancelFunc

		mu      sync.Mutex
		changed *sync.Cond
		// pending holds the requests that are not answered yet, oldest first.
		pending []*Exchange
		// reading is set from the first byte of a request until it is queued.
		reading bool
		// closed is set once no further answer is written.
		closed bool
		// closing is set once no further request is taken.
		closing bool
	}

	// Exchange is one request and the answer to it.
	Exchange struct {
		Request  *fasthttp.Request
		Response *fasthttp.Response

		conn  *conn
		ready bool
		// closeAfter is set where the connection ends with this answer.
		closeAfter bool
	}
)

const (
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

// run reads requests until the connection ends.
func (c *conn) run() {
	for c.awaitRequest() {
		if !c.readRequest() {
			break
		}
	}
	c.discardAndClose()
}

// awaitRequest waits for the first byte of a request. It reports whether there
// is one.
func (c *conn) awaitRequest() bool {
	for {
		if !c.awaitPipelineSpace() {
			return false
		}
		_ = c.SetReadDeadline(time.Now().Add(c.server.limits().IdleTimeout.Duration()))
		_, err := c.reader.Peek(1)
		if err == nil {
			c.setReading(true)
			return true
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

// awaitPipelineSpace waits until a further request may be read ahead.
func (c *conn) awaitPipelineSpace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPipelined && !c.closed {
		c.changed.Wait()
	}
	return !c.closed && !c.closing
}

// closeIfIdle ends a connection on which no request is being read or served.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 && !c.reading {
		_ = c.SetReadDeadline(time.Now())
	}
}

// setReading notes whether a request is being read.
func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

func (c *conn) allAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

// readRequest reads one request and has it served. It reports whether the
// connection goes on.
func (c *conn) readRequest() bool {
	limits := c.server.limits()
	x := &Exchange{Request: fasthttp.AcquireRequest(), Response: fasthttp.AcquireResponse(), conn: c}
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

func (c *conn) readBody(request *fasthttp.Request, most int) error {
	length := request.Header.ContentLength()
	if length == 0 || (length < 0 && hasNoBody(request)) {
		return nil
	}
	if length > most {
		return fasthttp.ErrBodyTooLarge
	}
	return request.ContinueReadBody(c.reader, most)
}

// hasNoBody reports whether a request without any length has no body.
func hasNoBody(request *fasthttp.Request) bool {
	return len(request.Header.Peek(fasthttp.HeaderTransferEncoding)) == 0 && request.Header.ContentLength() != -1
}

// rejectRequest answers a request that cannot be read and ends the connection.
func (c *conn) rejectRequest(x *Exchange, status int, err error) bool {
	if status == 0 {
		c.cancel()
		return false
	}
	c.server.config.Log.Debug("unreadable request", "status", status, "error", err.Error())
	x.closeAfter = true
	c.enqueue(x)
	SetErrorResponse(x.Response, status, "the request cannot be read")
	c.complete(x)
	return false
}

// headerErrorStatus returns the status for a head that cannot be read; zero means that
// the caller has gone.
func headerErrorStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	return readErrorStatus(err)
}

// bodyErrorStatus does the same for a body.
func bodyErrorStatus(err error) int {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return fasthttp.StatusRequestEntityTooLarge
	}
	return readErrorStatus(err)
}

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

func (c *conn) enqueue(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, x)
	c.reading = false
	c.closing = c.closing || x.closeAfter
}

// complete notes that an answer is ready and writes all answers whose turn it is.
func (c *conn) complete(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.ready = true
	for len(c.pending) > 0 && c.pending[0].ready && !c.closed {
		c.writeResponse(c.pending[0])
		c.pending = c.pending[1:]
	}
	if c.closed {
		c.cancel()
	}
	c.changed.Broadcast()
}

// writeResponse sends one answer. The caller holds the lock.
func (c *conn) writeResponse(x *Exchange) {
	closes := x.closeAfter || c.server.keepAlivesDisabled.Load()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(encodeResponse(x, closes))
	if err != nil {
		c.closed = true
		c.cancel()
		return
	}
	if closes {
		c.closed = true
		c.lingeringClose()
	}
	fasthttp.ReleaseRequest(x.Request)
	fasthttp.ReleaseResponse(x.Response)
}

// lingeringClose ends the sending side, so that the caller reads the whole answer
// even when it has sent more.
func (c *conn) lingeringClose() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// discardAndClose reads on until the running requests are answered or the caller
// has left, and closes the connection.
func (c *conn) discardAndClose() {
	c.mu.Lock()
	idle := len(c.pending) == 0 && !c.closed
	if !c.closed {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	if !idle && c.ctx.Err() == nil {
		_, _ = c.reader.WriteTo(io.Discard)
	}
	c.cancel()
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	_ = c.Close()
}

// AwaitEarlierResponses waits until all earlier requests of the connection are answered. It
// reports whether the request still is to be served.
func (x *Exchange) AwaitEarlierResponses() bool {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && len(c.pending) > 0 && c.pending[0] != x {
		c.changed.Wait()
	}
	return !c.closed
}

// encodeResponse writes an answer with a length of its own.
func encodeResponse(x *Exchange, closes bool) []byte {
	response := x.Response
	body := response.Body()
	out := make([]byte, 0, 512+len(body))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(response.StatusCode()), 10)
	out = append(out, ' ')
	out = append(out, fasthttp.StatusMessage(response.StatusCode())...)
	out = append(out, "\r\n"...)
	for key, value := range response.Header.All() {
		if isConnectionHeader(key) || (len(value) == 0 && bytes.Equal(key, contentType)) {
			continue
		}
		out = append(out, key...)
		out = append(out, ": "...)
		out = append(out, value...)
		out = append(out, "\r\n"...)
	}
	if response.StatusCode() != fasthttp.StatusNoContent && response.StatusCode() != fasthttp.StatusNotModified {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(body)), 10)
		out = append(out, "\r\n"...)
	}
	if closes {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	if x.Request.Header.IsHead() {
		return out
	}
	return append(out, body...)
}
