package steering

import (
	"net"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// maxLookupAge limits how long callers may cache the result of a lookup.
const maxLookupAge = 2 * clock.Second

// serveEndpoints starts the HTTP servers for lookups, readiness checks and metrics.
// Endpoints without an address are not served.
func (p process) serveEndpoints() error {
	s := p.Adapter.Settings
	maxAge := func() clock.Millis { return min(maxLookupAge, p.LiveSettings.get().Bounds.LookupAge) }
	handlers := map[string]fasthttp.RequestHandler{
		s.LookupAddress:  p.Adapter.Endpoints.Lookup(p.Lookups.answer, maxAge),
		s.ReadyAddress:   p.Adapter.Endpoints.Ready(p.isReady),
		s.MetricsAddress: p.serveMetrics,
	}
	for address, handler := range handlers {
		if address == "" {
			continue
		}
		listener, err := listen(address)
		if err != nil {
			return err
		}
		server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, CloseOnShutdown: true}
		go func() {
			if err := server.Serve(listener); err != nil {
				p.Log.Error("serving failed", "address", address, "error", err.Error())
			}
		}()
	}
	return nil
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
	return p.Lookups.isReady()
}
