package backend

import (
	"bufio"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/valyala/fasthttp"
)

type (
	// conn is a connection to a backend server. It carries one request at a time
	// and is not reused after a request on it has failed.
	conn struct {
		*socket.TrackedConn
		reader *http1.ResponseReader
		writer *bufio.Writer
		// exchanges counts the requests sent on the connection.
		exchanges int
		// lastUsedAt is when the last complete response was read.
		lastUsedAt clock.Millis
	}

	// exchangeOptions configure one exchange on a connection.
	exchangeOptions struct {
		requestID string
		// deadline is when the exchange times out.
		deadline time.Time
		// timeLeft is the time until the deadline, as sent to the server.
		timeLeft clock.Millis
		// hold is the memory that the response's body takes.
		hold *memory.Hold
	}
)

const (
	// RequestIDHeader identifies a request to the backend server, which may echo
	// it in the response. A connection is reused only after a response that does; from
	// then on all responses on it must.
	RequestIDHeader = "Bulrushferry-Request-Id"
	// DeadlineHeader holds the time left for a request, in milliseconds.
	DeadlineHeader = "Deadline-Ms"
	// DeclinedHeader is set by a backend server that did not run the request.
	DeclinedHeader = "Not-Run"
	// DrainingHeader is set by a backend server that is draining.
	DrainingHeader = "Draining"

	dialTimeout = 500 * time.Millisecond
	bufferBytes = 8 << 10
)

// dial opens a connection from a source address; the zero address means any.
func dial(source netip.Addr, address string, deadline time.Time) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Deadline: deadline}
	if source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	raw, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "connecting to backend server %s", address)
	}
	c := &conn{TrackedConn: socket.Track(raw)}
	c.reader = http1.NewResponseReader(c)
	c.writer = bufio.NewWriterSize(c, bufferBytes)
	return c, nil
}

// isAlive reports whether an idle connection can carry another request: it is open
// and has no unread bytes.
func (c *conn) isAlive() bool {
	return c.reader.Buffered() == 0 && c.IsReusable()
}

// exchange sends a request and reads the complete response. After an error the
// caller must close the connection.
func (c *conn) exchange(request *fasthttp.Request, response *fasthttp.Response, options exchangeOptions) error {
	response.Reset()
	request.Header.Set(RequestIDHeader, options.requestID)
	request.Header.Set(DeadlineHeader, strconv.FormatInt(int64(options.timeLeft), 10))
	if err := c.SetDeadline(options.deadline); err != nil {
		return ErrNotSent.Wrap(err, "setting the deadline")
	}
	c.exchanges++
	if err := c.send(request); err != nil {
		return err
	}
	response.SkipBody = request.Header.IsHead()
	if err := c.readResponse(response, options.hold); err != nil {
		return err
	}
	return c.checkResponse(response, options.requestID)
}

// readResponse reads the header and the whole body. It rejects a body without a
// length, since a truncated one could not be told from a complete one.
func (c *conn) readResponse(response *fasthttp.Response, hold *memory.Hold) error {
	if err := c.reader.ReadHead(response); err != nil {
		return c.wrapReadError(err)
	}
	framing := http1.FramingOf(response, response.SkipBody)
	if framing == http1.UntilClose {
		return ErrConnectionLost.New("the answer has no length, so it cannot be known to be whole")
	}
	if err := c.reader.ReadBody(response, framing, hold); err != nil {
		return c.wrapReadError(err)
	}
	c.reader.Shrink()
	return nil
}

// isReusable reports whether the connection can carry another request after a response.
// Without a request id a late second copy of the response could not be told from the
// response to the next request.
func isReusable(response *fasthttp.Response) bool {
	return !response.ConnectionClose() && len(response.Header.Peek(RequestIDHeader)) > 0
}

// send writes the request. The error is ErrNotSent only if no write to the
// connection was attempted.
func (c *conn) send(request *fasthttp.Request) error {
	before := c.BytesWritten()
	err := request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err == nil {
		return nil
	}
	if c.BytesWritten() == before {
		return ErrNotSent.Wrap(err, "sending the request")
	}
	return ErrConnectionLost.Wrap(err, "sending the request")
}

func (c *conn) wrapReadError(err error) error {
	if c.IsTimeout(err) {
		return ErrTimeout.Wrap(err, "waiting for the answer")
	}
	return ErrConnectionLost.Wrap(err, "reading the answer")
}

// checkResponse rejects a response that names another request, or that says that
// the server did not run the request. One that names no request is only taken for the first
// response on the connection: later it may be a second copy of an earlier one.
func (c *conn) checkResponse(response *fasthttp.Response, requestID string) error {
	echoed := response.Header.Peek(RequestIDHeader)
	if len(echoed) > 0 && string(echoed) != requestID {
		return ErrMismatchedResponse.New("the answer is to request %s", echoed)
	}
	if len(echoed) == 0 && c.exchanges > 1 {
		return ErrMismatchedResponse.New("the answer names no request, as earlier ones on the connection did")
	}
	if len(response.Header.Peek(DeclinedHeader)) > 0 {
		return ErrDeclined.New("the backend server answered %d", response.StatusCode())
	}
	return nil
}
