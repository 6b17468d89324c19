package origin

import (
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/valyala/fasthttp"
)

// Request is a caller's request on its way to a backend server.
type Request struct {
	ID string
	// Pin names the incarnation of the server that may run the request.
	Pin string
	// Workspace is empty where the request has none.
	Workspace string
	// TimeLeft is the time until the request is given up.
	TimeLeft clock.Millis
	Source   *fasthttp.Request
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]struct{}{
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

// encode writes the request as the server gets it. The path and the body are
// the caller's own bytes.
func (r *Request) encode(d HeaderNames) []byte {
	header := &r.Source.Header
	body := r.Source.Body()
	out := make([]byte, 0, 512+len(body))
	out = append(out, header.Method()...)
	out = append(out, ' ')
	out = append(out, header.RequestURI()...)
	out = append(out, " HTTP/1.1\r\n"...)
	dropped := connectionOptions(header)
	for key, value := range header.All() {
		name := string(key)
		if d.isOwn(name) || isHop(name) || dropped[name] {
			continue
		}
		out = appendField(out, name, value)
	}
	out = appendField(out, d.Deadline, strconv.AppendInt(nil, int64(max(r.TimeLeft, 1)), 10))
	if r.Pin != "" {
		out = appendField(out, d.Pin, []byte(r.Pin))
	}
	if r.Workspace != "" {
		out = appendField(out, d.Workspace, []byte(r.Workspace))
	}
	if len(body) > 0 || !bodiless(header) {
		out = appendField(out, "Content-Length", strconv.AppendInt(nil, int64(len(body)), 10))
	}
	out = append(out, "\r\n"...)
	return append(out, body...)
}

func bodiless(header *fasthttp.RequestHeader) bool {
	return header.IsGet() || header.IsHead()
}

// isOwn reports whether a field is set by the instance whatever the caller sent.
func (d HeaderNames) isOwn(name string) bool {
	return name == d.Deadline || name == d.Pin || name == d.Workspace || name == d.APIKey
}

func isHop(name string) bool {
	_, ok := hopHeaders[name]
	return ok
}

// connectionOptions are the fields that the caller's Connection field names.
func connectionOptions(header *fasthttp.RequestHeader) map[string]bool {
	value := header.Peek(fasthttp.HeaderConnection)
	if len(value) == 0 {
		return nil
	}
	options := make(map[string]bool)
	for _, option := range strings.Split(string(value), ",") {
		name := []byte(strings.TrimSpace(option))
		options[string(fasthttp.AppendNormalizedHeaderKeyBytes(nil, name))] = true
	}
	return options
}

func appendField(out []byte, name string, value []byte) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
