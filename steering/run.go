// Package steering runs an entry instance whose configuration, evacuations and list
// of backend servers are stored by the platform. It admits callers' requests and
// forwards each one to a backend server.
package steering

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/gateway"
	"github.com/bulrushferry/bulrushferry/lookup"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/bulrushferry/bulrushferry/tokens"
	"github.com/bulrushferry/bulrushferry/usage"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
)

// process holds the components of the running entry instance.
type process struct {
	dig.In

	Adapter      Adapter
	LiveSettings *liveSettings
	Log          hclog.Logger
	Metrics      metrics.Registry
	Members      *fleet.Members
	Membership   *membership
	Registry     *registry
	ControlState *ControlState
	Balancer     *placement.Balancer
	Gossip       *fleet.Gossip
	Transport    *peer.Transport
	RateLimiter  *tokens.Limiter
	Pool         *origin.Pool
	Memory       *memory.Account
	Handler      *Handler
	Gateway      *gateway.Server
	Lookups      *lookup.Server
	Usage        *usage.Monitor
	Meter        *socket.Meter
}

const (
	// refreshInterval is how often readiness, limits and token buckets are updated.
	refreshInterval = 250 * time.Millisecond
	// pruneInterval is how often unused connections to backend servers are closed.
	pruneInterval = time.Second
	// partUnit is the number of units of the metric quota.part that make a whole.
	partUnit = 1e6
	// logFlushTime is the time allowed for writing the last log lines before the
	// process exits.
	logFlushTime = 20 * time.Millisecond
)

var (
	errorSpace = errorx.NewNamespace("steering")

	errListen = errorSpace.NewType("listen")
)

// Run runs an entry instance until the context ends, and then shuts it down gracefully.
// It looks for changed settings when a signal arrives on hangups.
func Run(ctx context.Context, adapter Adapter, hangups <-chan os.Signal, logOutput io.Writer) error {
	setMemoryLimit(adapter.Settings)
	c, err := newContainer(adapter, logOutput)
	if err != nil {
		return err
	}
	var runErr error
	if err := c.Invoke(func(p process) { runErr = p.run(ctx, hangups) }); err != nil {
		return err
	}
	return runErr
}

// run starts all components, waits until the context ends and shuts down.
func (p process) run(ctx context.Context, hangups <-chan os.Signal) error {
	listener, err := listen(p.Adapter.Settings.CallerAddress)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.serveEndpoints(); err != nil {
		return err
	}
	go p.Transport.Serve(background, p.handlePeer)
	go p.followTable(background, p.ControlState.Rules)
	go p.followTable(background, p.ControlState.Servers)
	go p.join(background)
	go p.Gossip.Run(background)
	go p.RateLimiter.Run(background)
	go p.refreshPeriodically(background)
	go p.followEntries(background)
	go p.keepRegistered(background)
	go p.keepRoster(background)
	go func() { _ = p.Gateway.Serve(p.Meter.Listen(listener)) }()
	go p.watchSettings(background, hangups)
	p.Log.Info("entry instance started", "incarnation", p.Members.Self().GetIncarnation(), "callers", p.Adapter.Settings.CallerAddress)
	<-ctx.Done()
	p.shutDown(listener)
	cancel()
	p.Transport.Close()
	p.Log.Info("entry instance stopped")
	time.Sleep(logFlushTime)
	return nil
}

// followTable keeps a replica up to date from the platform's store, while this instance
// should read that table itself.
func (p process) followTable(ctx context.Context, replica *fleet.Replica) {
	p.Adapter.Store.Follow(ctx, Following{
		Replica:    replica,
		ShouldPoll: func() bool { return p.Membership.shouldPollStore(replica) },
		OnInvalid:  p.ControlState.OnInvalidRow,
	})
}

// followEntries keeps the copy of the list of instances up to date, while this instance should
// read it itself.
func (p process) followEntries(ctx context.Context) {
	p.Adapter.Store.Follow(ctx, Following{
		Replica:    p.Registry.entries,
		ShouldPoll: func() bool { return p.Membership.shouldPollEntries(p.Registry.entries) },
		LongPoll:   entriesLongPoll,
		OnInvalid:  p.ControlState.OnInvalidRow,
	})
}

// handlePeer handles a request from a peer.
func (p process) handlePeer(ctx context.Context, request *wire.PeerRequest) *wire.PeerResponse {
	switch body := request.GetBody().(type) {
	case *wire.PeerRequest_Gossip:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Gossip{Gossip: p.Gossip.Handle(ctx, body.Gossip)}}
	case *wire.PeerRequest_TokenAsk:
		return &wire.PeerResponse{Body: &wire.PeerResponse_TokenGrant{TokenGrant: p.RateLimiter.HandleTokenAsk(body.TokenAsk)}}
	default:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Error{Error: "unknown request"}}
	}
}

// reportDecisions counts and logs what the balancer has decided on servers.
func (p process) reportDecisions() {
	counts := p.Balancer.TakeCounts()
	metrics.GetOrRegisterCounter("servers.isolated_latencies", p.Metrics).Inc(int64(counts.IsolatedLatencies))
	metrics.GetOrRegisterCounter("servers.moved_objects", p.Metrics).Inc(int64(counts.MovedObjects))
	metrics.GetOrRegisterCounter("servers.ramps", p.Metrics).Inc(int64(counts.Ramps))
	metrics.GetOrRegisterCounter("servers.ramp_setbacks", p.Metrics).Inc(int64(counts.RampSetbacks))
	metrics.GetOrRegisterCounter("servers.ramp_yields", p.Metrics).Inc(int64(counts.RampYields))
	for _, e := range p.Balancer.TakeEvents() {
		p.Log.Info(e.Message, append([]any{"server", e.Server, "service", e.Service}, e.Fields...)...)
	}
}

// refreshPeriodically updates this instance's readiness, the shares of the fleet-wide
// limits, the outage detection and the token buckets, and prunes the connection pool,
// until the context ends. It does so at once when entries of other instances have changed.
func (p process) refreshPeriodically(ctx context.Context) {
	prunedAt := time.Now()
	for ctx.Err() == nil {
		p.Members.SetReady(p.isReady())
		p.Usage.Update()
		p.Membership.refresh()
		p.ControlState.DetectOutage()
		p.updateMemory()
		metrics.GetOrRegisterCounter("refusals.needless", p.Metrics).Inc(int64(p.Balancer.TakeNeedlessRefusals()))
		p.reportDecisions()
		metrics.GetOrRegisterGauge("quota.part", p.Metrics).Update(int64(p.Membership.ownPart() * partUnit))
		p.RateLimiter.Sync()
		if time.Since(prunedAt) > pruneInterval {
			prunedAt = time.Now()
			p.Pool.Prune(p.takesRequests)
		}
		select {
		case <-ctx.Done():
		case <-p.Members.Changed():
		case <-time.After(refreshInterval):
		}
	}
}

// giveUpPart ends the use of this instance's share of the limits on workspaces, and tells the
// owners of token buckets whether its next process can use it at once.
func (p process) giveUpPart(ctx context.Context) {
	p.Membership.giveUpPart()
	if p.RateLimiter.TakeBack() {
		p.Members.SetPartFree()
	}
	p.askPeers(ctx, p.Membership.ownerAddresses())
}

// takesRequests reports whether a backend server is listed or retained and has not said
// that it leaves.
func (p process) takesRequests(server string) bool {
	return p.ControlState.InUse(server) && !p.Balancer.IsLeaving(server)
}

// shutDown shuts the instance down gracefully: it tells peers that it is stopping, so that
// callers are directed to other instances, closes callers' connections after their next
// response, and refuses requests that might not end in time. Later it closes the listener and
// waits until all connections have ended. Finally it removes its entry from the platform's store.
func (p process) shutDown(listener net.Listener) {
	startedAt := time.Now()
	grace := p.LiveSettings.get().Bounds.StopTimeout
	endsIn, closesIn := p.Handler.Stop(grace)
	p.Log.Info("stopping", "grace_ms", int64(grace), "closes_in_ms", closesIn.Milliseconds(), "ends_in_ms", endsIn.Milliseconds())
	p.Members.SetStopping()
	p.Membership.refresh()
	p.RateLimiter.Sync()
	p.Gossip.NotifyNeighbors()
	p.Gossip.Notify(p.Membership.ownerAddresses())
	p.Gateway.DisableKeepAlives()
	time.Sleep(time.Until(startedAt.Add(closesIn)))
	_ = listener.Close()
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(endsIn))
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { p.giveUpPart(ctx) })
	if err := p.Gateway.Shutdown(ctx); err != nil {
		p.Log.Warn("connections were still open at the end of the grace period", "error", err.Error())
	}
	group.Wait()
	p.deregister(ctx)
}
