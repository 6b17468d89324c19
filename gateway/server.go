// Package gateway is an HTTP/1.1 server for callers. It supports pipelining, and cancels
// the requests of a caller as soon as the caller disconnects.
package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

type (
	// Handler serves requests.
	Handler interface {
		// Serve responds to the exchange. The context is canceled when the caller
		// disconnects.
		Serve(ctx context.Context, x *Exchange)
	}

	// ServerConfig configures a Server.
	ServerConfig struct {
		Handler Handler
		Log     hclog.Logger
		// Limits returns the current limits on the sizes of requests and on the times
		// that callers may take. Zero values mean the defaults.
		Limits func() routing.Limits
		// Memory counts what the server holds for callers; nil means no limit.
		Memory *memory.Account
		// MaxConnections returns the largest number of callers' connections; nil or zero
		// means no limit.
		MaxConnections func() int
		// Metrics counts what the server refuses and closes.
		Metrics metrics.Registry
	}

	// Server is an HTTP/1.1 server for callers.
	Server struct {
		config             ServerConfig
		keepAlivesDisabled atomic.Bool

		refusals *memory.RefusalLog

		mu    sync.Mutex
		conns map[*conn]struct{}
		// open is the number of conns, and keptMost up to how many are kept after a
		// response; zero means any number.
		open, keptMost atomic.Int64

		// left signals that a connection has ended.
		left chan struct{}
		// fullSince is when a new connection last found no room, zero if one has found
		// some since. Only Serve uses it.
		fullSince time.Time

		// reclaimMu guards searches for connections to close, and reclaimedAny.
		reclaimMu           sync.Mutex
		evictions, reclaims socket.SearchPacer
		// reclaimedAny is set if the last search for memory found some.
		reclaimedAny bool
	}
)

const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 16 << 20
	defaultHeaderTimeout = 3 * clock.Second
	defaultIdleTimeout   = 30 * clock.Second
	shutdownPollInterval = 10 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept, which may fail again at once.
	acceptRetryDelay = 10 * time.Millisecond
)

var (
	errorSpace = errorx.NewNamespace("gateway")

	errFraming = errorSpace.NewType("framing")
	errUnread  = errorSpace.NewType("unread")

	contentType       = []byte(fasthttp.HeaderContentType)
	connectionHeaders = [][]byte{
		[]byte(fasthttp.HeaderConnection),
		[]byte(fasthttp.HeaderContentLength),
		[]byte(fasthttp.HeaderKeepAlive),
		[]byte(fasthttp.HeaderTransferEncoding),
		[]byte(fasthttp.HeaderTrailer),
		[]byte(fasthttp.HeaderUpgrade),
	}
)

// NewServer returns a server that is not serving yet.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config, conns: make(map[*conn]struct{}), left: make(chan struct{}, 1), refusals: memory.NewRefusalLog(config.Log, config.Memory)}
	config.Memory.SetReclaimer(s.Reclaim)
	return s
}

// Serve accepts and serves connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.config.Log.Warn("accepting a caller's connection failed", "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.makeRoom() {
			_ = raw.Close()
			s.noteRefusal(reasonConnections)
			continue
		}
		c := newConn(s, raw)
		s.add(c)
		go func() {
			defer s.remove(c)
			c.run()
		}()
	}
}

// serve runs the handler for an exchange and completes it.
func (s *Server) serve(ctx context.Context, x *Exchange) {
	s.config.Handler.Serve(ctx, x)
	x.Body.Release()
	x.body.Release()
	x.conn.complete(x)
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	s.open.Store(int64(len(s.conns)))
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.open.Store(int64(len(s.conns)))
	select {
	case s.left <- struct{}{}:
	default:
	}
}

// DisableKeepAlives closes each connection after its next response.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// Shutdown disables keep-alives, closes idle connections, and waits until all connections
// have ended or the context ends. The listener must have been closed before.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeIdle closes the connections that are idle or whose last response has been written, and
// returns the number of connections that have not ended yet.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		if !c.closeIfIdle(now, 0) {
			c.closeIfLingering()
		}
	}
	return len(s.conns)
}

// limits returns the current limits, with defaults for those that are not set.
func (s *Server) limits() routing.Limits {
	l := s.config.Limits()
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// NewErrorResponse returns a response with a status and a JSON object that contains an
// error message.
func NewErrorResponse(status int, message string) *fasthttp.Response {
	response := fasthttp.AcquireResponse()
	response.SetStatusCode(status)
	response.Header.SetContentType("application/json")
	response.SetBodyString(`{"error":` + strconv.Quote(message) + `}`)
	return response
}

// SetRetryAfter sets the Retry-After header, in seconds with three decimal places.
func SetRetryAfter(response *fasthttp.Response, after clock.Millis) {
	response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// checkHead rejects a request header with an invalid field, one that does not determine the
// body's length unambiguously, as in request smuggling, or one that does not have exactly one
// Host.
func checkHead(header *fasthttp.RequestHeader) error {
	if err := http1.CheckRequestFields(header.RawHeaders()); err != nil {
		return err
	}
	raw := bytes.ToLower(header.RawHeaders())
	lengths := countHeader(raw, "content-length:")
	encodings := countHeader(raw, "transfer-encoding:")
	if lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0) {
		return errFraming.New("the head has %d lengths and %d transfer encodings", lengths, encodings)
	}
	if countHeader(raw, "host:") != 1 {
		return errFraming.New("the head does not name one host")
	}
	return nil
}

// countHeader counts the header lines that start with name, which must be in lower case
// like raw.
func countHeader(raw []byte, name string) int {
	count := bytes.Count(raw, []byte("\n"+name))
	if bytes.HasPrefix(raw, []byte(name)) {
		count++
	}
	return count
}

// isConnectionHeader reports whether a response header is not copied to the caller: it
// applies to a single connection, or is the Content-Length, which is computed.
func isConnectionHeader(key []byte) bool {
	for _, name := range connectionHeaders {
		if bytes.Equal(key, name) {
			return true
		}
	}
	return false
}

// isDisconnect reports whether a read error means that the connection has been closed,
// reset or lost.
func isDisconnect(err error) bool {
	var nothingRead fasthttp.ErrNothingRead
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.As(err, &nothingRead)
}
