package http1

import (
	"bytes"
	"net"

	"github.com/valyala/fasthttp"
)

type (
	// statusGuard checks the statuses of the responses that are read on a client's
	// connection. A response is expected after each write. It is not safe for concurrent
	// use, like the connection of an HTTP client.
	statusGuard struct {
		net.Conn
		expects expectation
		// line is the beginning of the status line, without the end of the line.
		line []byte
		// lineBytes counts the bytes of the present line of an interim response's head.
		lineBytes int
	}

	// expectation is the part of a response that is read next.
	expectation int
)

const (
	anything expectation = iota
	statusLine
	// interimHead is the rest of the head of an interim response, after which another
	// status line follows.
	interimHead
)

// maxStatusLineBytes is how much of a status line is checked; the reason may be longer.
const maxStatusLineBytes = 64

// ErrStatus means that a response has no status from 100 to 599. fasthttp reads 000 as 200.
var ErrStatus = errorSpace.NewType("status")

// checkStatus returns an error unless a status line, or its beginning up to the reason, has
// a status of three digits from 100 to 599.
func checkStatus(line []byte) error {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return ErrStatus.New("the response has no status from 100 to 599: %q", line[:min(len(line), maxStatusLineBytes)])
	}
	return nil
}

func isDigit(b byte) bool {
	return b >= '0' && b <= '9'
}

// ReadResponse reads the next final response with its body. head is set if it answers a HEAD
// request.
func ReadResponse(r *ResponseReader, response *fasthttp.Response, head bool) error {
	if err := r.ReadHead(response); err != nil {
		return err
	}
	return r.ReadBody(response, FramingOf(response, head), nil)
}

// GuardStatus returns a dial function whose connections fail at a response without a valid
// status, for clients that read responses by themselves.
func GuardStatus(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		c, err := dial(address)
		if err != nil {
			return nil, err
		}
		return &statusGuard{Conn: c}, nil
	}
}

// Write implements net.Conn.
func (g *statusGuard) Write(b []byte) (int, error) {
	g.expects, g.line = statusLine, g.line[:0]
	return g.Conn.Write(b)
}

// Read implements net.Conn. It returns no bytes of a status line that is not valid, but for
// its beginning.
func (g *statusGuard) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	for _, c := range b[:n] {
		if g.expects == anything {
			break
		}
		if invalid := g.next(c); invalid != nil {
			_ = g.Close()
			return 0, invalid
		}
	}
	return n, err
}

// next takes in one byte of a response.
func (g *statusGuard) next(c byte) error {
	if g.expects == interimHead {
		g.skipInterim(c)
		return nil
	}
	if c != '\n' && c != '\r' {
		g.line = append(g.line, c)
	}
	if (c != '\n' || len(g.line) == 0) && len(g.line) < maxStatusLineBytes {
		return nil
	}
	if err := checkStatus(g.line); err != nil {
		return err
	}
	g.expects = anything
	if isInterim(g.line) {
		g.expects, g.lineBytes = interimHead, 1
		if c == '\n' {
			g.lineBytes = 0
		}
	}
	g.line = g.line[:0]
	return nil
}

// isInterim reports whether a valid status line has a status below 200.
func isInterim(line []byte) bool {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	return bytes.TrimLeft(rest, " ")[0] == '1'
}

// skipInterim takes in one byte of the head of an interim response, which an empty line ends.
func (g *statusGuard) skipInterim(c byte) {
	switch {
	case c == '\n' && g.lineBytes == 0:
		g.expects = statusLine
	case c == '\n':
		g.lineBytes = 0
	case c != '\r':
		g.lineBytes++
	}
}
