// Package gateway serves callers over HTTP/1.1: it reads requests, keeps the
// order of answers, and notices at once when a caller leaves.
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
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

type (
	// Handler answers requests. The context ends when the caller leaves.
	Handler interface {
		Serve(ctx context.Context, x *Exchange)
	}

	// ServerConfig configures a Server.
	ServerConfig struct {
		Handler Handler
		Log     hclog.Logger
		// Limits returns what callers may send at present.
		Limits func() routing.Limits
	}

	// Server serves callers' connections.
	Server struct {
		config             ServerConfig
		keepAlivesDisabled atomic.Bool

		mu    sync.Mutex
		conns map[*conn]struct{}
	}
)

const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 16 << 20
	defaultHeaderTimeout = 3 * clock.Second
	defaultIdleTimeout   = 30 * clock.Second
	shutdownPollInterval = 10 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
)

var (
	errorSpace = errorx.NewNamespace("gateway")

	errFraming = errorSpace.NewType("framing")

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

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, conns: make(map[*conn]struct{})}
}

// Serve takes connections until the listener is closed.
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
		c := newConn(s, raw)
		s.add(c)
		go func() {
			defer s.remove(c)
			c.run()
		}()
	}
}

func (s *Server) serve(ctx context.Context, x *Exchange) {
	s.config.Handler.Serve(ctx, x)
	x.conn.complete(x)
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// DisableKeepAlives makes each further answer end its connection.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// Shutdown closes idle connections and waits until all connections have ended.
// No further connection may come in.
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

// closeIdle closes the connections without a request and returns how many
// connections there are.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
	return len(s.conns)
}

// limits returns the limits in force, with defaults where there are none.
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

// SetErrorResponse makes an answer of the instance's own.
func SetErrorResponse(response *fasthttp.Response, status int, message string) {
	response.Reset()
	response.SetStatusCode(status)
	response.Header.SetContentType("application/json")
	response.SetBodyString(`{"error":` + strconv.Quote(message) + `}`)
}

// SetRetryAfter tells the caller when to come back.
func SetRetryAfter(response *fasthttp.Response, after clock.Millis) {
	response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// checkFraming refuses a head from which the length of the body is not plain.
func checkFraming(header *fasthttp.RequestHeader) error {
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

// countHeader counts the fields of a name in a head in small letters.
func countHeader(raw []byte, name string) int {
	count := bytes.Count(raw, []byte("\n"+name))
	if bytes.HasPrefix(raw, []byte(name)) {
		count++
	}
	return count
}

func isConnectionHeader(key []byte) bool {
	for _, name := range connectionHeaders {
		if bytes.Equal(key, name) {
			return true
		}
	}
	return false
}

// isDisconnect reports whether the caller has closed or reset the connection.
func isDisconnect(err error) bool {
	var nothing fasthttp.ErrNothingRead
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.As(err, &nothing)
}
