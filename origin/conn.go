package origin

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/valyala/fasthttp"
)

// conn is one connection to a backend server. It carries one request at a time.
type conn struct {
	*socket.Watched
	reader *bufio.Reader
	// usedAt is when the last answer came, usableFor how long after it the
	// server keeps the connection.
	usedAt    clock.Millis
	usableFor clock.Millis
}

const (
	identityLength   = -2
	maxResponseBytes = 64 << 20
	readBufferBytes  = 4 << 10
	// maxStrayAnswers bounds the late answers that are read past.
	maxStrayAnswers = 4
	// idleMargin is how long before the server's idle timeout a connection is
	// no longer used.
	idleMargin = clock.Second
)

func newConn(c net.Conn) *conn {
	wrapped := &conn{Watched: socket.Watch(c), usableFor: maxIdle}
	wrapped.reader = bufio.NewReaderSize(wrapped, readBufferBytes)
	return wrapped
}

// isAlive reports whether an idle connection may carry another request.
func (c *conn) isAlive() bool {
	return c.reader.Buffered() == 0 && c.IsQuiet()
}

// exchange sends a request and reads the answer to it. It reports whether the
// connection may carry another request.
func (c *conn) exchange(d HeaderNames, id string, payload []byte, response *fasthttp.Response) (bool, error) {
	if n, err := c.Write(payload); err != nil {
		if n == 0 {
			return false, ErrUnreachable.Wrap(err, "sending the request")
		}
		return false, c.asError(err, "sending the request")
	}
	for range maxStrayAnswers {
		reusable, err := c.readAnswer(response)
		if err != nil {
			return false, err
		}
		if c.isStray(d, id, response) {
			response.Reset()
			continue
		}
		if err := checkAnswer(d, id, response); err != nil {
			return false, err
		}
		return reusable && c.reader.Buffered() == 0, nil
	}
	return false, ErrResponseLost.New("the connection carries only answers to other requests")
}

// readAnswer reads one whole answer.
func (c *conn) readAnswer(response *fasthttp.Response) (bool, error) {
	for {
		if err := response.Header.Read(c.reader); err != nil {
			return false, c.asError(err, "reading the answer's head")
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			break
		}
	}
	length := response.Header.ContentLength()
	if hasNoBody(response.StatusCode()) {
		return !response.ConnectionClose(), nil
	}
	if err := response.ReadBody(c.reader, maxResponseBytes); err != nil {
		return false, c.asError(err, "reading the answer's body")
	}
	if length == -1 {
		if err := response.Header.ReadTrailer(c.reader); err != nil {
			return false, c.asError(err, "reading the answer's trailer")
		}
	}
	return length != identityLength && !response.ConnectionClose(), nil
}

// isStray reports whether an answer is a late one to an earlier request.
func (c *conn) isStray(d HeaderNames, id string, response *fasthttp.Response) bool {
	echoed := response.Header.Peek(d.RequestID)
	return len(echoed) > 0 && string(echoed) != id
}

// checkAnswer makes sure that an answer was made by a server for the request.
func checkAnswer(d HeaderNames, id string, response *fasthttp.Response) error {
	if isDeclined(d, response) {
		return nil
	}
	if string(response.Header.Peek(d.RequestID)) != id {
		return ErrResponseLost.New("the answer of status %d does not name its request", response.StatusCode())
	}
	if len(response.Header.Peek(d.Signature)) == 0 && response.StatusCode() < fasthttp.StatusMultipleChoices {
		return ErrResponseLost.New("the answer of status %d has no signature", response.StatusCode())
	}
	if len(response.Header.ContentEncoding()) > 0 {
		return ErrResponseLost.New("the answer has an encoding that nobody asked for")
	}
	return nil
}

// isDeclined reports whether the server said that it did not run the request.
func isDeclined(d HeaderNames, response *fasthttp.Response) bool {
	return len(response.Header.Peek(d.Declined)) > 0 || response.StatusCode() == fasthttp.StatusMisdirectedRequest
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// keepFor sets how long the connection may idle from the answer's own word.
func (c *conn) keepFor(response *fasthttp.Response) {
	for _, part := range strings.Split(string(response.Header.Peek(fasthttp.HeaderKeepAlive)), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.usableFor = min(maxIdle, clock.Millis(seconds)*clock.Second-idleMargin)
		}
	}
}

func (c *conn) asError(err error, doing string) error {
	if c.IsOverdue(err) {
		return ErrTimeout.Wrap(err, "%s", doing)
	}
	if errors.Is(err, net.ErrClosed) {
		return ErrCanceled.Wrap(err, "%s", doing)
	}
	return ErrResponseLost.Wrap(err, "%s", doing)
}
