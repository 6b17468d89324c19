package steering

import (
	"net"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
)

// maxLookupAge is how long callers may keep a look-up.
const maxLookupAge = 2 * clock.Second

// serveEndpoints opens the addresses for look-ups, checks and metrics.
func (p process) serveEndpoints() error {
	s := p.Adapter.Settings
	age := func() clock.Millis { return min(maxLookupAge, p.LiveSettings.get().Bounds.LookupAge) }
	handlers := map[string]fasthttp.RequestHandler{
		s.DirectoryAddress: p.Adapter.Endpoints.Directory(p.callerAddresses, age),
		s.ReadyAddress:     p.Adapter.Endpoints.Ready(p.isReady),
		s.MetricsAddress:   p.serveMetrics,
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

func (p process) serveMetrics(ctx *fasthttp.RequestCtx) {
	metrics.WriteOnce(p.Metrics, ctx)
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errListen.Wrap(err, "opening %s", address)
	}
	return listener, nil
}

func (p process) isReady() bool {
	return !p.Members.Self().GetStopping() && p.ControlState.HasAuthority()
}

// callerAddresses returns the addresses of the instances that a caller is to use: those
// of its failure domain; where none runs there, those of its region, or all.
func (p process) callerAddresses(region, domain string) []string {
	var here, near, all []string
	running := p.Members.Alive(clock.Boot{}.Now())
	if p.isReady() {
		self := proto.CloneOf(p.Members.Self())
		self.Ready = true
		running = append(running, self)
	}
	for _, info := range running {
		if info.GetStopping() || !info.GetReady() {
			continue
		}
		all = append(all, info.GetCallerAddress())
		if info.GetRegion() == region {
			near = append(near, info.GetCallerAddress())
		}
		if info.GetFailureDomain() == domain {
			here = append(here, info.GetCallerAddress())
		}
	}
	for _, addresses := range [][]string{here, near} {
		if len(addresses) > 0 {
			return addresses
		}
	}
	return all
}
