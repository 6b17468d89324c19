package origin

import (
	"net"
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/valyala/fasthttp"
)

// Request is a caller's request that is forwarded to a backend server.
type Request struct {
	// ID is the caller's request id, which the response must repeat.
	ID string
	// Pin names the incarnation of the server that may run the request.
	Pin string
	// Workspace is empty where the request has none.
	Workspace string
	// TimeLeft is the time until the request times out.
	TimeLeft clock.Millis
	// Source is the request as the caller sent it, without the body.
	Source *fasthttp.Request
	// Body is the body as the caller sent it.
	Body *memory.Body
	// Withhold is called right before the request is sent. If it returns a reason, nothing
	// is sent.
	Withhold func() (reason string)
}

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = map[string]struct{}{
	"Connection":          {},
	"Content-Length":      {},
	"Expect":              {},
	"Keep-Alive":          {},
	"Proxy-Authenticate":  {},
	"Proxy-Authorization": {},
	"Proxy-Connection":    {},
	"Te":                  {},
	"Trailer":             {},
	"Transfer-Encoding":   {},
	"Upgrade":             {},
}

// maxCopiedBody is the size up to which a body is copied to the end of its head: one write
// of little data is cheaper than one of several parts.
const maxCopiedBody = 8 << 10

// encode returns the request as it is sent to the server, in parts. The method, the path,
// the body and the fields are those that the caller sent.
func (r *Request) encode(names HeaderNames) net.Buffers {
	header := &r.Source.Header
	length := r.Body.Len()
	out := make([]byte, 0, 512+min(length, maxCopiedBody))
	out = append(out, header.Method()...)
	out = append(out, ' ')
	out = append(out, header.RequestURI()...)
	out = append(out, " HTTP/1.1\r\n"...)
	dropped := connectionOptions(header)
	for key, value := range header.AllInOrder() {
		name := string(key)
		if names.isReserved(name) || isHopByHop(name) || dropped[name] {
			continue
		}
		out = appendField(out, name, value)
	}
	out = appendField(out, names.Deadline, strconv.AppendInt(nil, int64(max(r.TimeLeft, 1)), 10))
	if r.Pin != "" {
		out = appendField(out, names.Pin, []byte(r.Pin))
	}
	if r.Workspace != "" {
		out = appendField(out, names.Workspace, []byte(r.Workspace))
	}
	if length > 0 || !isBodiless(header) {
		out = appendField(out, "Content-Length", strconv.AppendInt(nil, int64(length), 10))
	}
	out = append(out, "\r\n"...)
	if length > maxCopiedBody {
		return append(net.Buffers{out}, r.Body.Segments()...)
	}
	for _, segment := range r.Body.Segments() {
		out = append(out, segment...)
	}
	return net.Buffers{out}
}

// isBodiless reports whether the method usually has no body. Other methods get a
// Content-Length field even if the body is empty.
func isBodiless(header *fasthttp.RequestHeader) bool {
	return header.IsGet() || header.IsHead()
}

// isReserved reports whether a field is never copied from the caller: the instance
// sets it itself, or it holds the caller's API key.
func (n HeaderNames) isReserved(name string) bool {
	return name == n.Deadline || name == n.Pin || name == n.Workspace || name == n.APIKey
}

func isHopByHop(name string) bool {
	_, ok := hopByHopHeaders[name]
	return ok
}

// connectionOptions returns the fields that the caller's Connection field lists,
// which are hop-by-hop too.
func connectionOptions(header *fasthttp.RequestHeader) map[string]bool {
	if len(header.Peek(fasthttp.HeaderConnection)) == 0 {
		return nil
	}
	options := make(map[string]bool)
	for key, value := range header.AllInOrder() {
		if string(key) != fasthttp.HeaderConnection {
			continue
		}
		for _, option := range strings.Split(string(value), ",") {
			name := []byte(strings.TrimSpace(option))
			options[string(fasthttp.AppendNormalizedHeaderKeyBytes(nil, name))] = true
		}
	}
	return options
}

func appendField(out []byte, name string, value []byte) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
