// Package endpoint bounds what the clients of a fasthttp server may hold of a process: the
// number of their connections, and the memory of the bodies that they send. It addresses
// untrusted clients, which open many connections, send many large bodies at once and stall
// before the end of a body.
package endpoint

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

type (
	// Config configures a Guard.
	Config struct {
		// Memory counts what clients hold; nil means no limit.
		Memory *memory.Account
		// MaxConnections returns the largest number of connections.
		MaxConnections func() int
		// MaxBodyBytes limits the body of a request.
		MaxBodyBytes int
		// BodyCopies is how many copies of a body the handler makes, with the first.
		BodyCopies int
		Metrics    metrics.Registry
		Log        hclog.Logger
		// Refuse responds to a request whose body is not read. The request has not run.
		Refuse func(ctx *fasthttp.RequestCtx, status int, message string)
	}

	// Guard bounds what the clients of a server hold. The server must stream the bodies of
	// requests.
	Guard struct {
		config   Config
		limiter  *socket.Limiter
		refusals *memory.RefusalLog
	}
)

const (
	// connectionBytes is what a connection takes with its buffers.
	connectionBytes = memory.ConnectionBytes + 20<<10
	// stallTime is how long nothing may arrive of a body before its memory is reclaimed if
	// it is needed.
	stallTime = 2 * time.Second
	// firstBodyBytes is the first size of the buffer for a body of unknown length.
	firstBodyBytes = 4 << 10
)

var (
	errorSpace = errorx.NewNamespace("endpoint")

	errTooLarge = errorSpace.NewType("too_large")
	errNoMemory = errorSpace.NewType("no_memory")
)

// NewGuard returns a Guard without connections.
func NewGuard(config Config) *Guard {
	hold := config.Memory.Hold(memory.ConnectionBuffers)
	g := &Guard{config: config, refusals: memory.NewRefusalLog(config.Log, config.Memory)}
	g.limiter = socket.NewLimiter(socket.LimiterConfig{
		Max:     config.MaxConnections,
		OnOpen:  func() { hold.Add(connectionBytes) },
		OnClose: func() { hold.Shrink(connectionBytes) },
		OnEvict: func() { g.note("connections.closed") },
	})
	return g
}

// MaxConnections returns how many connections a server may have in a process with an account,
// which may be nil, and its own limit of descriptors.
func MaxConnections(account *memory.Account) int {
	most := socket.UsableDescriptors(0) / 2
	if account == nil {
		return most
	}
	return min(most, account.Usage().Limits.MaxConnections(connectionBytes))
}

// Listen returns a listener that accepts connections up to the limit.
func (g *Guard) Listen(listener net.Listener) net.Listener {
	return g.limiter.Listen(listener)
}

// Reclaim closes connections on which nothing has arrived for some time. It implements
// memory.Reclaimer.
func (g *Guard) Reclaim(memory.Kind, int64) bool {
	return g.limiter.CloseStalled(stallTime)
}

// Handler returns a handler that reads the body of a request and passes the request on, or
// refuses it and closes the connection.
func (g *Guard) Handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	next = Protect(g.limiter, next)
	return func(ctx *fasthttp.RequestCtx) {
		hold := g.config.Memory.Hold(memory.RequestBodies)
		defer hold.Release()
		if err := g.readBody(ctx, hold); err != nil {
			g.refuse(ctx, err)
			return
		}
		next(ctx)
	}
}

// Protect returns a handler whose connections are not closed for others while it runs. It does
// not run for a request whose connection has been closed before.
func Protect(limiter *socket.Limiter, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !limiter.Begin(ctx.Conn()) {
			ctx.SetConnectionClose()
			return
		}
		defer limiter.End(ctx.Conn())
		next(ctx)
	}
}

// readBody replaces the stream of the request's body by the body.
func (g *Guard) readBody(ctx *fasthttp.RequestCtx, hold *memory.Hold) error {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	length := ctx.Request.Header.ContentLength()
	if length > g.config.MaxBodyBytes {
		return errTooLarge.New("the body has more than %d bytes", g.config.MaxBodyBytes)
	}
	capacity := length
	if length < 0 {
		capacity = firstBodyBytes
	}
	if !hold.Grow(capacity * g.config.BodyCopies) {
		return errNoMemory.New("there is no memory for a body of %d bytes", capacity)
	}
	body := make([]byte, 0, capacity)
	for {
		if len(body) == cap(body) {
			if len(body) == length {
				break
			}
			grown := min(2*cap(body), g.config.MaxBodyBytes+1)
			if len(body) > g.config.MaxBodyBytes {
				return errTooLarge.New("the body has more than %d bytes", g.config.MaxBodyBytes)
			}
			if !hold.Grow((grown - cap(body)) * g.config.BodyCopies) {
				return errNoMemory.New("there is no memory for a body of %d bytes", grown)
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if len(body) < length {
		return io.ErrUnexpectedEOF
	}
	ctx.Request.SetBodyRaw(body)
	return nil
}

// note counts a refusal and logs it at a bounded rate.
func (g *Guard) note(reason string) {
	metrics.GetOrRegisterCounter(reason, g.config.Metrics).Inc(1)
	g.refusals.Note(time.Now(), reason)
}

// refuse responds to a request whose body was not read, after which the connection ends.
func (g *Guard) refuse(ctx *fasthttp.RequestCtx, err error) {
	status, counter := fasthttp.StatusBadRequest, "refused.unreadable"
	switch {
	case errorx.IsOfType(err, errTooLarge):
		status, counter = fasthttp.StatusRequestEntityTooLarge, "refused.too_large"
	case errorx.IsOfType(err, errNoMemory):
		status, counter = fasthttp.StatusServiceUnavailable, "refused.memory"
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, counter = fasthttp.StatusRequestTimeout, "refused.slow"
	}
	g.note(counter)
	g.config.Refuse(ctx, status, err.Error())
	ctx.SetConnectionClose()
}
