package origin

import (
	"errors"
	"net"
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/valyala/fasthttp"
)

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	*socket.TrackedConn
	// hold is the memory of the connection.
	hold   *memory.Hold
	reader *http1.ResponseReader
	// requests and responses count those sent and read on the connection.
	requests, responses int
	// serverLeaving is set once a response said that the server leaves.
	serverLeaving bool
	// lastUsedAt is when the last response was read.
	lastUsedAt clock.Millis
	// idleTimeout is how long after lastUsedAt the connection may be reused.
	idleTimeout clock.Millis
}

const (
	// maxStaleResponses limits the responses that are read while skipping those to
	// earlier requests.
	maxStaleResponses = 4
	// leavingValue is the value of the Leaving field of a server that leaves.
	leavingValue = "1"
	// idleMargin is how long before the server's idle timeout a connection is no
	// longer reused.
	idleMargin = clock.Second
)

func newConn(c net.Conn, hold *memory.Hold) *conn {
	wrapped := &conn{TrackedConn: socket.Track(c), hold: hold, idleTimeout: maxIdleTime}
	wrapped.reader = http1.NewResponseReader(wrapped)
	hold.Add(memory.ConnectionBytes + http1.BufferBytes)
	return wrapped
}

// Close closes the connection and gives its memory back.
func (c *conn) Close() error {
	c.hold.Release()
	return c.TrackedConn.Close()
}

// isAlive reports whether an idle connection can carry another request: it is open
// and has no unread bytes.
func (c *conn) isAlive() bool {
	return c.reader.Buffered() == 0 && c.IsReusable()
}

// exchange sends a request and reads the response to it. It reports whether the
// connection can carry another request.
func (c *conn) exchange(names HeaderNames, request *Request, account *memory.Account) (*Response, bool, error) {
	c.requests++
	if n, err := c.WriteBuffers(request.encode(names)); err != nil {
		if n == 0 {
			return nil, false, ErrUnreachable.Wrap(err, "sending the request")
		}
		return nil, false, c.wrapError(err, "sending the request")
	}
	for range maxStaleResponses {
		response, reusable, err := c.readResponse(names, request, account)
		if err != nil || response != nil {
			return response, reusable, err
		}
	}
	return nil, false, ErrResponseLost.New("the connection carries only answers to other requests")
}

// readResponse reads and checks one response with its body. It returns nil for a late one
// to another request. It reports whether the connection can carry another request.
func (c *conn) readResponse(names HeaderNames, request *Request, account *memory.Account) (*Response, bool, error) {
	response := newResponse(account)
	reusable, err := c.readWhole(names, request, response)
	if err == nil && c.isStale(names, request.ID, response.message) {
		response.Release()
		return nil, false, nil
	}
	if err == nil {
		err = c.checkResponse(names, request.ID, response.message)
	}
	if err != nil {
		response.Release()
		return nil, false, err
	}
	c.reader.Shrink()
	return response, reusable && c.reader.Buffered() == 0, nil
}

// readWhole reads one response with its body. It reports whether the connection can
// carry another request. A connection ends with a response that names no request: a
// second copy of it could not be told from the response to the next request.
func (c *conn) readWhole(names HeaderNames, request *Request, response *Response) (bool, error) {
	message := response.message
	if err := c.reader.ReadHead(message); err != nil {
		return false, c.wrapError(err, "reading the answer's head")
	}
	c.serverLeaving = c.serverLeaving || isLeaving(names, message)
	framing := http1.FramingOf(message, request.Source.Header.IsHead())
	if err := c.reader.ReadBody(message, framing, response.hold); err != nil {
		return false, c.wrapError(err, "reading the answer's body")
	}
	c.responses++
	named := len(message.Header.Peek(names.RequestID)) > 0
	return named && framing != http1.UntilClose && !message.ConnectionClose(), nil
}

// isStale reports whether a response is a late one to another request.
func (c *conn) isStale(names HeaderNames, id string, response *fasthttp.Response) bool {
	echoed := response.Header.Peek(names.RequestID)
	return len(echoed) > 0 && string(echoed) != id
}

// checkResponse rejects a response that a server did not make for the request. The
// signature is required only of status codes below 300, and only a response that declines
// the request need not name it, if nothing else can have been declined on the connection.
func (c *conn) checkResponse(names HeaderNames, id string, response *fasthttp.Response) error {
	named := id != "" && string(response.Header.Peek(names.RequestID)) == id
	if isDeclined(names, response) && (named || c.isFirstExchange()) {
		return nil
	}
	if !named {
		return ErrResponseLost.New("the answer of status %d does not name its request", response.StatusCode())
	}
	if len(response.Header.Peek(names.Signature)) == 0 && response.StatusCode() < fasthttp.StatusMultipleChoices {
		return ErrResponseLost.New("the answer of status %d has no signature", response.StatusCode())
	}
	if len(response.Header.ContentEncoding()) > 0 {
		return ErrResponseLost.New("the answer has an encoding that nobody asked for")
	}
	return nil
}

// isFirstExchange reports whether the response that was read last is the first one on the
// connection, to the first request.
func (c *conn) isFirstExchange() bool {
	return c.requests == 1 && c.responses == 1
}

// isDeclined reports whether the response says that the server did not run the
// request.
func isDeclined(names HeaderNames, response *fasthttp.Response) bool {
	return len(response.Header.Peek(names.Declined)) > 0 || response.StatusCode() == fasthttp.StatusMisdirectedRequest
}

// isLeaving reports whether the response says that its server leaves.
func isLeaving(names HeaderNames, response *fasthttp.Response) bool {
	return names.Leaving != "" && string(response.Header.Peek(names.Leaving)) == leavingValue
}

// setIdleTimeout sets the connection's idle timeout from the response's Keep-Alive
// field, if it has one.
func (c *conn) setIdleTimeout(response *fasthttp.Response) {
	for _, part := range strings.Split(string(response.Header.Peek(fasthttp.HeaderKeepAlive)), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = min(maxIdleTime, clock.Millis(seconds)*clock.Second-idleMargin)
		}
	}
}

func (c *conn) wrapError(err error, operation string) error {
	if c.IsTimeout(err) {
		return ErrTimeout.Wrap(err, "%s", operation)
	}
	if errors.Is(err, net.ErrClosed) {
		return ErrCanceled.Wrap(err, "%s", operation)
	}
	return ErrResponseLost.Wrap(err, "%s", operation)
}
