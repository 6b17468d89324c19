package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/valyala/fasthttp"
)

type (
	// conn is a connection to a backend server. It carries one request at a time
	// and is not reused after a request on it has failed.
	conn struct {
		*socket.TrackedConn
		reader *bufio.Reader
		writer *bufio.Writer
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
	}
)

const (
	// RequestIDHeader identifies a request to the backend server, which may echo
	// it in the response.
	RequestIDHeader = "Bulrushferry-Request-Id"
	// DeadlineHeader holds the time left for a request, in milliseconds.
	DeadlineHeader = "Deadline-Ms"
	// DeclinedHeader is set by a backend server that did not run the request.
	DeclinedHeader = "Not-Run"
	// DrainingHeader is set by a backend server that is draining.
	DrainingHeader = "Draining"

	dialTimeout      = 500 * time.Millisecond
	maxResponseBytes = 16 << 20
	bufferBytes      = 8 << 10
	// chunkedLength and identityLength are the content lengths that fasthttp
	// gives to chunked bodies and to bodies that end with the connection.
	chunkedLength  = -1
	identityLength = -2
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
	c.reader = bufio.NewReaderSize(c, bufferBytes)
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
	if err := c.send(request); err != nil {
		return err
	}
	response.SkipBody = request.Header.IsHead()
	if err := c.readResponse(response); err != nil {
		return err
	}
	return checkResponse(response, options.requestID)
}

// readResponse reads the header and the whole body. It rejects a body without a
// length, since a truncated one could not be told from a complete one.
func (c *conn) readResponse(response *fasthttp.Response) error {
	if err := response.Header.Read(c.reader); err != nil {
		return c.wrapReadError(err)
	}
	if response.StatusCode() == fasthttp.StatusContinue {
		if err := response.Header.Read(c.reader); err != nil {
			return c.wrapReadError(err)
		}
	}
	if response.SkipBody || hasNoBody(response.StatusCode()) {
		return nil
	}
	if response.Header.ContentLength() == identityLength {
		return ErrConnectionLost.New("the answer has no length, so it cannot be known to be whole")
	}
	chunked := response.Header.ContentLength() == chunkedLength
	if err := response.ReadBody(c.reader, maxResponseBytes); err != nil {
		return c.wrapReadError(err)
	}
	if !chunked {
		return nil
	}
	if err := response.Header.ReadTrailer(c.reader); err != nil && !errors.Is(err, io.EOF) {
		return c.wrapReadError(err)
	}
	return nil
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
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
// the server did not run the request.
func checkResponse(response *fasthttp.Response, requestID string) error {
	echoed := response.Header.Peek(RequestIDHeader)
	if len(echoed) > 0 && string(echoed) != requestID {
		return ErrMismatchedResponse.New("the answer is to request %s", echoed)
	}
	if len(response.Header.Peek(DeclinedHeader)) > 0 {
		return ErrDeclined.New("the backend server answered %d", response.StatusCode())
	}
	return nil
}
