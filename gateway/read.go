package gateway

import (
	"errors"
	"os"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

const (
	// exchangeBytes is what a request takes besides its head and body: its state and the
	// stack of the goroutine that serves it.
	exchangeBytes = 24 << 10
	// headCopies is how many times the parsed head takes its size.
	headCopies = 4
	// memoryRetryAfter is the Retry-After of a request that was refused for memory.
	memoryRetryAfter = 200 * clock.Millis(1)
)

// readRequest reads a request and starts to serve it. It reports whether further requests
// may follow on the connection.
func (c *conn) readRequest() bool {
	limits := c.server.limits()
	x := &Exchange{Request: fasthttp.AcquireRequest(), conn: c}
	_ = c.SetReadDeadline(c.begunAt.Add(limits.HeaderTimeout.Duration()))
	if err := c.readHead(x, limits.MaxHeaderBytes); err != nil {
		return c.rejectRequest(x, headerErrorStatus(err), err)
	}
	if err := checkHead(&x.Request.Header); err != nil {
		return c.rejectRequest(x, fasthttp.StatusBadRequest, err)
	}
	if err := c.readBody(x, limits); err != nil {
		return c.rejectRequest(x, bodyErrorStatus(err), err)
	}
	c.shrinkReader()
	x.closeAfter = x.Request.Header.ConnectionClose()
	if !c.enqueue(x) {
		x.discard()
		return false
	}
	go c.server.serve(c.ctx, x)
	return !x.closeAfter
}

// readHead reads the head of a request. The connection's buffer grows only for a head that
// needs it.
func (c *conn) readHead(x *Exchange, maxBytes int) error {
	x.head = c.server.config.Memory.Hold(memory.Heads)
	err := c.withLargeBuffer(maxBytes, func() error { return x.Request.Header.Read(c.reader) })
	if err != nil {
		return err
	}
	if !x.head.Grow(exchangeBytes + headCopies*len(x.Request.Header.RawHeaders())) {
		return http1.ErrNoMemory.New("there is no memory for a request's head")
	}
	return nil
}

// withLargeBuffer calls a function that parses the buffered bytes, and calls it again with a
// buffer of maxBytes if it needs one.
func (c *conn) withLargeBuffer(maxBytes int, parse func() error) error {
	err := parse()
	var small *fasthttp.ErrSmallBuffer
	if !errors.As(err, &small) || c.reader.Size() >= maxBytes {
		return err
	}
	if !c.hold.Grow(maxBytes) {
		return http1.ErrNoMemory.New("there is no memory for a buffer of %d bytes", maxBytes)
	}
	c.growReader(maxBytes)
	return parse()
}

// readBody reads the body of a request. The bytes are kept as they are whatever the content
// type: fasthttp would parse a form and write it anew.
func (c *conn) readBody(x *Exchange, limits routing.Limits) error {
	length := x.Request.Header.ContentLength()
	if length == 0 || (length < 0 && hasNoBody(x.Request)) {
		return nil
	}
	x.body = c.server.config.Memory.Hold(memory.RequestBodies)
	reading := http1.RequestBody{Length: length, MaxBytes: limits.MaxBodyBytes, Hold: x.body, OnRead: c.onBodyRead}
	if err := reading.Reserve(); err != nil {
		return err
	}
	if x.Request.MayContinue() && c.allAnswered() {
		_, _ = c.Write([]byte(continueResponse))
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	c.beginBody(x.body)
	body, err := reading.Read(c.reader)
	x.Body = body
	if err == nil && length < 0 {
		err = c.withLargeBuffer(limits.MaxHeaderBytes, func() error { return x.Request.Header.ReadTrailer(c.reader) })
	}
	if err != nil && c.wasReclaimed() {
		return http1.ErrNoMemory.Wrap(err, "the body made no progress, and its memory was needed")
	}
	return err
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
		x.discard()
		c.cancel()
		return false
	}
	c.server.config.Log.Debug("request cannot be read", "status", status, "error", err.Error())
	x.Body.Release()
	x.body.Release()
	x.closeAfter = true
	if !c.enqueue(x) {
		x.head.Release()
		return false
	}
	response := c.server.newRejection(status)
	x.Respond(response, func() { fasthttp.ReleaseResponse(response) })
	c.complete(x)
	return false
}

// discard gives back what a request holds that is neither served nor answered.
func (x *Exchange) discard() {
	x.Body.Release()
	x.body.Release()
	x.head.Release()
}

// newRejection returns the response to a request that cannot be read.
func (s *Server) newRejection(status int) *fasthttp.Response {
	if status != fasthttp.StatusServiceUnavailable {
		return NewErrorResponse(status, "the request cannot be read")
	}
	s.noteRefusal(reasonMemory)
	response := NewErrorResponse(status, "there is no memory for the request")
	SetRetryAfter(response, memoryRetryAfter)
	return response
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
	if errorx.IsOfType(err, http1.ErrTooLarge) {
		return fasthttp.StatusRequestEntityTooLarge
	}
	return readErrorStatus(err)
}

// readErrorStatus returns the HTTP status for a read error that is neither specific to the
// header nor to the body.
func readErrorStatus(err error) int {
	switch {
	case errorx.IsOfType(err, http1.ErrNoMemory):
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case isDisconnect(err):
		return 0
	default:
		return fasthttp.StatusBadRequest
	}
}
