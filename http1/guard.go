package http1

import (
	"bytes"
	"net"

	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/valyala/fasthttp"
)

// maxClientBodyBytes limits the body of a response that a guarded client reads by itself.
const maxClientBodyBytes = 32 << 20

// responseGuard checks the heads of the responses that are read on a client's connection. A
// response is expected after each write. It is not safe for concurrent use, like the
// connection of an HTTP client.
type responseGuard struct {
	net.Conn
	head headCheck
	// line is the beginning of the present line of a head.
	line []byte
}

// GuardClient changes a client, which reads responses by itself, so that it fails at those
// with an invalid head and at those that are too large. It returns the client.
func GuardClient(client *fasthttp.Client) *fasthttp.Client {
	client.Dial, client.MaxResponseBodySize = guardDial(client.Dial), maxClientBodyBytes
	return client
}

// GuardHostClient is like GuardClient, for a client of one host.
func GuardHostClient(client *fasthttp.HostClient) *fasthttp.HostClient {
	client.Dial, client.MaxResponseBodySize = guardDial(client.Dial), maxClientBodyBytes
	return client
}

// ReadStreamedBody reads the body of a response that a client has read with StreamBody set. Each
// part is added to hold before it is kept.
func ReadStreamedBody(response *fasthttp.Response, hold *memory.Hold) error {
	body := response.BodyStream()
	if body == nil {
		return nil
	}
	defer func() { _ = response.CloseBodyStream() }()
	return readBody(response, body, FramingOf(response, false), hold)
}

// guardDial returns a dial function whose connections fail at a response with an invalid
// head. A nil function stands for that of fasthttp.
func guardDial(dial fasthttp.DialFunc) fasthttp.DialFunc {
	if dial == nil {
		dial = fasthttp.Dial
	}
	return func(address string) (net.Conn, error) {
		c, err := dial(address)
		if err != nil {
			return nil, err
		}
		return &responseGuard{Conn: c}, nil
	}
}

// Write implements net.Conn.
func (g *responseGuard) Write(b []byte) (int, error) {
	g.head, g.line = headCheck{expects: statusLine}, g.line[:0]
	return g.Conn.Write(b)
}

// Read implements net.Conn. It returns no end of an invalid line of a head, so that the head
// cannot be read.
func (g *responseGuard) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if invalid := g.check(b[:n]); invalid != nil {
		_ = g.Close()
		return 0, invalid
	}
	return n, err
}

// check takes in a part of a response.
func (g *responseGuard) check(part []byte) error {
	for g.head.expects != anything {
		line, rest, whole := bytes.Cut(part, lineFeed)
		if len(g.line)+len(line) > maxHeadBytes {
			return ErrTooLarge.New("a line of the response's head has more than %d bytes", maxHeadBytes)
		}
		g.line = append(g.line, line...)
		if !whole {
			return nil
		}
		if _, err := g.head.next(g.line); err != nil {
			return err
		}
		g.line, part = g.line[:0], rest
	}
	return nil
}
