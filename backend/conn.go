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
	// conn is one connection to a backend server. It carries one request at a
	// time, and is never used again after a request on it has failed.
	conn struct {
		*socket.Watched
		reader *bufio.Reader
		writer *bufio.Writer
		// usedAt is when the last whole answer came.
		usedAt clock.Millis
	}

	// exchangeLimits bound one exchange on a connection.
	exchangeLimits struct {
		requestID string
		// deadline is when the caller stops waiting.
		deadline time.Time
		// budget is the time left until then.
		budget clock.Millis
	}
)

const (
	// RequestIDHeader names a request towards the backend server, which may
	// repeat it in its answer.
	RequestIDHeader = "Bulrushferry-Request-Id"
	// DeadlineHeader is the time left for a request, in milliseconds.
	DeadlineHeader = "Deadline-Ms"
	// DeclinedHeader is set by a backend server that did not run a request.
	DeclinedHeader = "Not-Run"
	// DrainingHeader is set by a backend server that is leaving.
	DrainingHeader = "Draining"

	dialTimeout      = 500 * time.Millisecond
	maxResponseBytes = 16 << 20
	bufferBytes      = 8 << 10
	// chunkedLength and identityLength are fasthttp's marks for bodies that
	// come in chunks and that end with the connection.
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
	c := &conn{Watched: socket.Watch(raw)}
	c.reader = bufio.NewReaderSize(c, bufferBytes)
	c.writer = bufio.NewWriterSize(c, bufferBytes)
	return c, nil
}

// isAlive reports whether an idle connection may carry another request.
func (c *conn) isAlive() bool {
	return c.reader.Buffered() == 0 && c.IsQuiet()
}

// exchange sends a request and reads the whole answer. After any error the
// connection must be closed.
func (c *conn) exchange(request *fasthttp.Request, response *fasthttp.Response, limits exchangeLimits) error {
	response.Reset()
	request.Header.Set(RequestIDHeader, limits.requestID)
	request.Header.Set(DeadlineHeader, strconv.FormatInt(int64(limits.budget), 10))
	if err := c.SetDeadline(limits.deadline); err != nil {
		return ErrNotSent.Wrap(err, "setting the deadline")
	}
	if err := c.send(request); err != nil {
		return err
	}
	response.SkipBody = request.Header.IsHead()
	if err := c.readAnswer(response); err != nil {
		return err
	}
	return checkAnswer(response, limits.requestID)
}

// readAnswer reads the head and the whole body. An answer whose body has no
// length is refused, for it cannot be told from one that was cut.
func (c *conn) readAnswer(response *fasthttp.Response) error {
	if err := response.Header.Read(c.reader); err != nil {
		return c.readError(err)
	}
	if response.StatusCode() == fasthttp.StatusContinue {
		if err := response.Header.Read(c.reader); err != nil {
			return c.readError(err)
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
		return c.readError(err)
	}
	if !chunked {
		return nil
	}
	if err := response.Header.ReadTrailer(c.reader); err != nil && !errors.Is(err, io.EOF) {
		return c.readError(err)
	}
	return nil
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func (c *conn) send(request *fasthttp.Request) error {
	before := c.Sent()
	err := request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err == nil {
		return nil
	}
	if c.Sent() == before {
		return ErrNotSent.Wrap(err, "sending the request")
	}
	return ErrConnectionLost.Wrap(err, "sending the request")
}

func (c *conn) readError(err error) error {
	if c.IsOverdue(err) {
		return ErrTimeout.Wrap(err, "waiting for the answer")
	}
	return ErrConnectionLost.Wrap(err, "reading the answer")
}

// checkAnswer makes sure that an answer is whole and belongs to its request.
func checkAnswer(response *fasthttp.Response, requestID string) error {
	echoed := response.Header.Peek(RequestIDHeader)
	if len(echoed) > 0 && string(echoed) != requestID {
		return ErrMismatchedResponse.New("the answer is to request %s", echoed)
	}
	if len(response.Header.Peek(DeclinedHeader)) > 0 {
		return ErrDeclined.New("the backend server answered %d", response.StatusCode())
	}
	return nil
}
