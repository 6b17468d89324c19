package caller

import (
	"bytes"
	"crypto/sha256"
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/once"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

const (
	// OutcomeHeader tells the caller the outcome of the request.
	OutcomeHeader = "Bulrushferry-Outcome"
	// RequestIDHeader identifies the request in responses to the caller.
	RequestIDHeader = "Bulrushferry-Request-Id"
	// WorkspaceHeader tells backend servers the workspace of a request.
	WorkspaceHeader = "Bulrushferry-Workspace"
	// IdempotencyKeyHeader holds the action name of a request that may run at most once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// DeadlineHeader is the time that a caller allows for a request, in milliseconds.
	DeadlineHeader = "Deadline-Ms"

	reservedHeaderPrefix = "Bulrushferry-"
)

// servicePath is a request's path below servicePathPrefix.
type servicePath struct {
	service string
	// route is the path on the service, without escapes, by which routes are found.
	route string
	// target is the path on the service with the query, as the caller sent them.
	target string
}

// strippedHeaders are not forwarded to backend servers: headers that apply to a single
// connection, and Authorization, which contains the key.
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

// checkUnambiguous refuses a request whose fields, path or body length different servers could
// interpret differently. It reports whether the request is accepted.
func checkUnambiguous(request *fasthttp.Request) (Result, bool) {
	if err := http1.CheckRequestFields(request.Header.RawHeaders()); err != nil {
		return notRun(CodeBadRequest, "a field of the request is not valid"), false
	}
	path := strings.ToLower(string(request.URI().PathOriginal()))
	for _, segment := range strings.Split(path, "/") {
		if segment == ".." || segment == "." {
			return notRun(CodeBadRequest, "the path holds a dot segment"), false
		}
	}
	for _, sequence := range []string{"%2f", "%5c", "%2e%2e", "%00", "\\"} {
		if strings.Contains(path, sequence) {
			return notRun(CodeBadRequest, "the path holds an encoded slash, dot segment or NUL"), false
		}
	}
	if len(request.Header.PeekAll(fasthttp.HeaderContentLength)) > 1 {
		return notRun(CodeBadRequest, "the request has two Content-Length headers"), false
	}
	return Result{}, true
}

// parseServicePath parses a request's path. It reports whether the path has the right
// prefix and names a service.
func parseServicePath(uri *fasthttp.URI) (servicePath, bool) {
	service, route, ok := splitPath(string(uri.Path()))
	if !ok {
		return servicePath{}, false
	}
	sent, target, ok := splitPath(string(uri.PathOriginal()))
	if !ok || sent != service {
		return servicePath{}, false
	}
	if query := uri.QueryString(); len(query) > 0 {
		target += "?" + string(query)
	}
	return servicePath{service: service, route: route, target: target}, true
}

// splitPath splits a request path into the service and the path on that service. It
// reports whether the path has the right prefix and names a service.
func splitPath(path string) (service, rest string, ok bool) {
	suffix, ok := strings.CutPrefix(path, servicePathPrefix)
	if !ok {
		return "", "", false
	}
	service, rest, _ = strings.Cut(suffix, "/")
	return service, "/" + rest, service != ""
}

// idempotencyKey returns the value of the Idempotency-Key header and the number of such
// headers. The value is empty if there is not exactly one.
func idempotencyKey(request *fasthttp.Request) (string, int) {
	values := request.Header.PeekAll(IdempotencyKeyHeader)
	if len(values) != 1 {
		return "", len(values)
	}
	return string(values[0]), 1
}

// requestTimeout returns the time allowed for a request: the route's deadline or, if
// shorter, the caller's. It reports whether the caller's deadline is absent or valid.
func requestTimeout(request *fasthttp.Request, route *wire.RouteRule) (clock.Millis, bool) {
	timeout := clock.Millis(route.GetDeadlineMs())
	value := request.Header.Peek(DeadlineHeader)
	if len(value) == 0 {
		return timeout, true
	}
	requested, err := strconv.ParseInt(string(value), 10, 32)
	if err != nil || requested < 1 {
		return 0, false
	}
	return min(timeout, clock.Millis(requested)), true
}

// fingerprint hashes the content of a request. Resent requests have equal fingerprints.
// The URI is the one sent to the backend server, without the service's prefix.
func fingerprint(workspace, method, uri string, body []byte) []byte {
	h := sha256.New()
	for _, part := range []string{workspace, method, uri} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return h.Sum(nil)
}

// newBackendRequest copies a caller's request for a backend server. It sets the target on
// the service and the workspace header, and removes the headers that are not forwarded
// and those that only bulrushferry may set.
func newBackendRequest(from *fasthttp.Request, target, workspace string) *fasthttp.Request {
	to := fasthttp.AcquireRequest()
	from.Header.CopyTo(&to.Header)
	to.Header.SetNoDefaultContentType(true)
	to.SetBodyRaw(from.Body())
	to.Header.SetRequestURI(target)
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

// reservedHeaders returns the names of the request's headers that only bulrushferry may
// set.
func reservedHeaders(request *fasthttp.Request) []string {
	var names []string
	for name := range request.Header.AllInOrder() {
		if bytes.HasPrefix(bytes.ToLower(name), []byte(strings.ToLower(reservedHeaderPrefix))) {
			names = append(names, string(name))
		}
	}
	return names
}

// onceRequest returns the request that identifies a job in the action table.
func onceRequest(job *Job) once.Request {
	return once.Request{Action: job.Action, Workspace: job.Workspace, Fingerprint: job.Fingerprint}
}

// refuseBody responds to a request whose body has not been read. An earlier attempt of an
// action may have run.
func (s *Server) refuseBody(ctx *fasthttp.RequestCtx, status int, message string) {
	code := CodeBadRequest
	if status == fasthttp.StatusServiceUnavailable {
		code = CodeNoCapacity
	}
	result := notRun(code, message)
	if _, keys := idempotencyKey(&ctx.Request); keys > 0 {
		result = result.WithUnknown()
	}
	s.writeResult(ctx, s.newRequestID(), result)
	ctx.SetStatusCode(status)
	if code == CodeNoCapacity {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, memoryRetryAfter)
	}
}
