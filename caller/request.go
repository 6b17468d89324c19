package caller

import (
	"bytes"
	"crypto/sha256"
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/once"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

const (
	// OutcomeHeader tells the caller what became of the request.
	OutcomeHeader = "Bulrushferry-Outcome"
	// RequestIDHeader names the request in answers and logs.
	RequestIDHeader = "Bulrushferry-Request-Id"
	// WorkspaceHeader tells backend servers whose request it is.
	WorkspaceHeader = "Bulrushferry-Workspace"
	// IdempotencyKeyHeader names a request that may run once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// DeadlineHeader is the time a caller gives a request, in milliseconds.
	DeadlineHeader = "Deadline-Ms"

	reservedHeaderPrefix = "Bulrushferry-"
)

// strippedHeaders belong to one connection and are not passed on.
var strippedHeaders = []string{
	fasthttp.HeaderAuthorization,
	fasthttp.HeaderConnection,
	fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderProxyConnection,
	fasthttp.HeaderKeepAlive,
	fasthttp.HeaderTE,
	fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade,
	fasthttp.HeaderTransferEncoding,
	fasthttp.HeaderExpect,
}

// checkUnambiguous refuses requests whose path or headers could be read in two ways.
func checkUnambiguous(request *fasthttp.Request) (Result, bool) {
	path := strings.ToLower(string(request.URI().PathOriginal()))
	for _, part := range strings.Split(path, "/") {
		if part == ".." || part == "." {
			return notRun(CodeBadRequest, "the path holds a dot segment"), false
		}
	}
	for _, code := range []string{"%2f", "%5c", "%2e%2e", "%00", "\\"} {
		if strings.Contains(path, code) {
			return notRun(CodeBadRequest, "the path holds an encoded slash, dot segment or NUL"), false
		}
	}
	if len(request.Header.PeekAll(fasthttp.HeaderContentLength)) > 1 {
		return notRun(CodeBadRequest, "the request has two Content-Length headers"), false
	}
	return Result{}, true
}

// splitPath returns the service and the rest of the path behind the prefix.
func splitPath(path string) (service, rest string, ok bool) {
	tail, ok := strings.CutPrefix(path, servicePathPrefix)
	if !ok {
		return "", "", false
	}
	service, rest, _ = strings.Cut(tail, "/")
	return service, "/" + rest, service != ""
}

// idempotencyKey returns the request's action name. The count tells how many
// Idempotency-Key headers there are.
func idempotencyKey(request *fasthttp.Request) (string, int) {
	values := request.Header.PeekAll(IdempotencyKeyHeader)
	if len(values) != 1 {
		return "", len(values)
	}
	return string(values[0]), 1
}

// requestTimeout returns the span that a request may take: the route's, or the
// caller's where that is shorter.
func requestTimeout(request *fasthttp.Request, route *wire.RouteRule) (clock.Millis, bool) {
	span := clock.Millis(route.GetDeadlineMs())
	value := request.Header.Peek(DeadlineHeader)
	if len(value) == 0 {
		return span, true
	}
	asked, err := strconv.ParseInt(string(value), 10, 32)
	if err != nil || asked < 1 {
		return 0, false
	}
	return min(span, clock.Millis(asked)), true
}

// fingerprint hashes what makes two requests the same.
func fingerprint(workspace, method, uri string, body []byte) []byte {
	h := sha256.New()
	for _, part := range []string{workspace, method, uri} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return h.Sum(nil)
}

// newBackendRequest copies a request for a backend server, without the key and without
// headers that belong to the caller's connection.
func newBackendRequest(from *fasthttp.Request, rest, workspace string) *fasthttp.Request {
	to := fasthttp.AcquireRequest()
	from.Header.CopyTo(&to.Header)
	to.Header.SetNoDefaultContentType(true)
	to.SetBody(from.Body())
	uri := rest
	if query := from.URI().QueryString(); len(query) > 0 {
		uri += "?" + string(query)
	}
	to.Header.SetRequestURI(uri)
	for _, name := range strippedHeaders {
		to.Header.Del(name)
	}
	for _, name := range reservedHeaders(from) {
		to.Header.Del(name)
	}
	if workspace != "" {
		to.Header.Set(WorkspaceHeader, workspace)
	}
	return to
}

// reservedHeaders lists the headers that only bulrushferry itself may set.
func reservedHeaders(request *fasthttp.Request) []string {
	var names []string
	for name := range request.Header.All() {
		if bytes.HasPrefix(bytes.ToLower(name), []byte(strings.ToLower(reservedHeaderPrefix))) {
			names = append(names, string(name))
		}
	}
	return names
}

// onceRequest identifies a job for the table of actions.
func onceRequest(job *Job) once.Request {
	return once.Request{Action: job.Action, Workspace: job.Workspace, Fingerprint: job.Fingerprint}
}
