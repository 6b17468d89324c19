package steering

import (
	"net"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/endpoint"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

const (
	// maxLookupAge limits how long callers may cache the result of a lookup.
	maxLookupAge = 2 * clock.Second
	// endpointBodyBytes limits the bodies of requests for lookups, readiness and metrics,
	// which need none.
	endpointBodyBytes    = 4 << 10
	endpointReadTimeout  = 3 * time.Second
	endpointWriteTimeout = 5 * time.Second
	endpointIdleTimeout  = 30 * time.Second
)

// serveEndpoints starts the HTTP servers for lookups, readiness checks and metrics.
// Endpoints without an address are not served.
func (p process) serveEndpoints() error {
	s := p.Adapter.Settings
	maxAge := func() clock.Millis { return min(maxLookupAge, p.LiveSettings.get().Bounds.LookupAge) }
	handlers := map[string]fasthttp.RequestHandler{
		s.LookupAddress:  p.Adapter.Endpoints.Lookup(p.Lookups.Answer, maxAge),
		s.ReadyAddress:   p.Adapter.Endpoints.Ready(p.isReady),
		s.MetricsAddress: p.serveMetrics,
	}
	for address, handler := range handlers {
		if address == "" {
			continue
		}
		limit := func() int { return p.LiveSettings.capacity().endpoint }
		if address == s.LookupAddress {
			limit = func() int { return p.LiveSettings.capacity().lookups }
		}
		listener, err := listen(address)
		if err != nil {
			return err
		}
		limiter := p.newLimiter(address, limit)
		server := &fasthttp.Server{
			Handler:               endpoint.Protect(limiter, handler),
			NoDefaultServerHeader: true,
			CloseOnShutdown:       true,
			MaxRequestBodySize:    endpointBodyBytes,
			ReadTimeout:           endpointReadTimeout,
			WriteTimeout:          endpointWriteTimeout,
			IdleTimeout:           endpointIdleTimeout,
		}
		go func() {
			if err := server.Serve(limiter.Listen(listener)); err != nil {
				p.Log.Error("serving failed", "address", address, "error", err.Error())
			}
		}()
	}
	return nil
}

// newLimiter returns a limiter for the connections to an address, which count as held memory.
func (p process) newLimiter(address string, limit func() int) *socket.Limiter {
	hold := p.Memory.Hold(memory.ConnectionBuffers)
	refusals := memory.NewRefusalLog(p.Log, p.Memory)
	return socket.NewLimiter(socket.LimiterConfig{
		Max:     limit,
		OnOpen:  func() { hold.Add(endpointConnectionBytes) },
		OnClose: func() { hold.Shrink(endpointConnectionBytes) },
		OnEvict: func() {
			metrics.GetOrRegisterCounter("endpoints.closed", p.Metrics).Inc(1)
			refusals.Note(time.Now(), "endpoints.closed", "address", address)
		},
	})
}

// serveMetrics writes the values of all metrics as text.
func (p process) serveMetrics(ctx *fasthttp.RequestCtx) {
	metrics.WriteOnce(p.Metrics, ctx)
}

// listen opens a TCP listener on an IPv4 address.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errListen.Wrap(err, "listening on %s", address)
	}
	return listener, nil
}

// isReady reports whether this instance accepts requests: it has authority and is not
// stopping.
func (p process) isReady() bool {
	return p.Lookups.IsReady()
}
