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
		// queue holds the requests that are not answered yet, oldest first.
		queue []*Exchange
		// reading is set from the first byte of a request until it is queued.
		reading bool
		// ended is set once no further answer is written.
		ended bool
		// last is set once no further request is taken.
		last bool
	}

	// Exchange is one request and the answer to it.
	Exchange struct {
		Request  *fasthttp.Request
		Response *fasthttp.Response

		conn *conn
		done bool
		// closes is set where the connection ends with this answer.
		closes bool
	}
)

const (
	maxPipelined     = 16
	writeTimeout     = 5 * time.Second
	bodyTimeout      = 30 * time.Second
	lingerTimeout    = 500 * time.Millisecond
	readBufferBytes  = 4 << 10
	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{Conn: raw, server: s, ctx: ctx, cancel: cancel}
	c.reader = bufio.NewReaderSize(raw, max(readBufferBytes, s.limits().MaxHeaderBytes))
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
	c.finishReading()
}

// awaitRequest waits for the first byte of a request. It reports whether there
// is one.
func (c *conn) awaitRequest() bool {
	for {
		if !c.awaitRoom() {
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
		if c.isIdle() {
			return false
		}
	}
}

// awaitRoom waits until a further request may be read ahead.
func (c *conn) awaitRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxPipelined && !c.ended {
		c.changed.Wait()
	}
	return !c.ended && !c.last
}

// closeIfIdle ends a connection on which no request is being read or served.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.reading {
		_ = c.SetReadDeadline(time.Now())
	}
}

// setReading notes whether a request is being read.
func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0
}

// readRequest reads one request and has it served. It reports whether the
// connection goes on.
func (c *conn) readRequest() bool {
	limits := c.server.limits()
	x := &Exchange{Request: fasthttp.AcquireRequest(), Response: fasthttp.AcquireResponse(), conn: c}
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout.Duration()))
	if err := x.Request.Header.Read(c.reader); err != nil {
		return c.refuse(x, headStatus(err), err)
	}
	if err := checkFraming(&x.Request.Header); err != nil {
		return c.refuse(x, fasthttp.StatusBadRequest, err)
	}
	if x.Request.MayContinue() && c.isIdle() {
		_, _ = c.Write([]byte(continueResponse))
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := c.readBody(x.Request, limits.MaxBodyBytes); err != nil {
		return c.refuse(x, bodyStatus(err), err)
	}
	x.closes = x.Request.Header.ConnectionClose()
	c.push(x)
	go c.server.serve(c.ctx, x)
	return !x.closes
}

func (c *conn) readBody(request *fasthttp.Request, most int) error {
	length := request.Header.ContentLength()
	if length == 0 || (length < 0 && bodiless(request)) {
		return nil
	}
	if length > most {
		return fasthttp.ErrBodyTooLarge
	}
	return request.ContinueReadBody(c.reader, most)
}

// bodiless reports whether a request without any length has no body.
func bodiless(request *fasthttp.Request) bool {
	return len(request.Header.Peek(fasthttp.HeaderTransferEncoding)) == 0 && request.Header.ContentLength() != -1
}

// refuse answers a request that cannot be read and ends the connection.
func (c *conn) refuse(x *Exchange, status int, err error) bool {
	if status == 0 {
		c.cancel()
		return false
	}
	c.server.config.Log.Debug("unreadable request", "status", status, "error", err.Error())
	x.closes = true
	c.push(x)
	SetErrorResponse(x.Response, status, "the request cannot be read")
	c.complete(x)
	return false
}

// headStatus returns the status for a head that cannot be read; zero means that
// the caller has gone.
func headStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	return readStatus(err)
}

// bodyStatus does the same for a body.
func bodyStatus(err error) int {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return fasthttp.StatusRequestEntityTooLarge
	}
	return readStatus(err)
}

func readStatus(err error) int {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case isGone(err):
		return 0
	default:
		return fasthttp.StatusBadRequest
	}
}

func (c *conn) push(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, x)
	c.reading = false
	c.last = c.last || x.closes
}

// complete notes that an answer is ready and writes all answers whose turn it is.
func (c *conn) complete(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.done = true
	for len(c.queue) > 0 && c.queue[0].done && !c.ended {
		c.write(c.queue[0])
		c.queue = c.queue[1:]
	}
	if c.ended {
		c.cancel()
	}
	c.changed.Broadcast()
}

// write sends one answer. The caller holds the lock.
func (c *conn) write(x *Exchange) {
	closes := x.closes || c.server.retiring.Load()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(encodeResponse(x, closes))
	if err != nil {
		c.ended = true
		c.cancel()
		return
	}
	if closes {
		c.ended = true
		c.closeGently()
	}
	fasthttp.ReleaseRequest(x.Request)
	fasthttp.ReleaseResponse(x.Response)
}

// closeGently ends the sending side, so that the caller reads the whole answer
// even when it has sent more.
func (c *conn) closeGently() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// finishReading reads on until the running requests are answered or the caller
// has left, and closes the connection.
func (c *conn) finishReading() {
	c.mu.Lock()
	idle := len(c.queue) == 0 && !c.ended
	if !c.ended {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	if !idle && c.ctx.Err() == nil {
		_, _ = c.reader.WriteTo(io.Discard)
	}
	c.cancel()
	c.mu.Lock()
	c.ended = true
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
	for !c.ended && len(c.queue) > 0 && c.queue[0] != x {
		c.changed.Wait()
	}
	return !c.ended
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
		if isConnectionField(key) || (len(value) == 0 && bytes.Equal(key, contentType)) {
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
