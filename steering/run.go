package steering

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/gateway"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"
)

// parts are the pieces that run makes use of.
type parts struct {
	dig.In

	Adapter    Adapter
	Log        hclog.Logger
	Metrics    metrics.Registry
	Members    *fleet.Members
	Membership *membership
	Knowledge  *Knowledge
	Gossip     *fleet.Gossip
	Transport  *peer.Transport
	Rates      *Rates
	Pool       *origin.Pool
	Callers    *gateway.Server
}

const (
	refreshInterval = 250 * time.Millisecond
	pruneInterval   = time.Second
	// announceRetry is the pause between tries to store this instance's entry.
	announceRetry = 500 * time.Millisecond
	announceTime  = 2 * time.Second
	// joinFanOut is how many instances a new one asks for news; they name the
	// others.
	joinFanOut = 8
	// joinWait is how long their answers are waited for.
	joinWait = 300 * time.Millisecond
	// joinPatience is how long an instance looks for others before it acts alone.
	joinPatience = 3 * time.Second
	// stopReserve is kept between the end of serving and the hard stop.
	stopReserve = 700 * time.Millisecond
	// idleRetire is how long before the end idle connections are closed.
	idleRetire = 1500 * time.Millisecond
	lookupAge  = 2 * clock.Second
	// memoryPercent is the part of the memory limit that the collector aims at.
	memoryPercent = 70
	mebibyte      = 1 << 20
)

var (
	errorSpace = errorx.NewNamespace("steering")

	errListen = errorSpace.NewType("listen")
)

// Run runs an entry instance until SIGTERM, and then stops it gracefully.
func Run(ctx context.Context, adapter Adapter, logOutput io.Writer) error {
	if adapter.Settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(adapter.Settings.MemoryMB) * mebibyte * memoryPercent / 100)
	}
	c, err := container(adapter, logOutput)
	if err != nil {
		return err
	}
	var runErr error
	if err := c.Invoke(func(p parts) { runErr = p.run(ctx) }); err != nil {
		return err
	}
	return runErr
}

func (p parts) run(ctx context.Context) error {
	callers, err := listen(p.Adapter.Settings.CallerAddress)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.serveSurfaces(); err != nil {
		return err
	}
	var group sync.WaitGroup
	group.Go(func() { p.Transport.Serve(background, p.handlePeer) })
	for _, replica := range []*fleet.Replica{p.Knowledge.Rules, p.Knowledge.Servers} {
		group.Go(func() {
			p.Adapter.Store.Follow(background, replica, func() bool { return p.Membership.asksStore(replica) })
		})
	}
	group.Go(func() { p.join(background) })
	group.Go(func() { p.Gossip.Run(background) })
	group.Go(func() { p.Rates.Run(background) })
	group.Go(func() { p.refresh(background) })
	go func() { _ = p.Callers.Serve(callers) }()
	p.watchHangup(background)
	p.Log.Info("entry instance runs", "incarnation", p.Members.Self().GetIncarnation(), "callers", p.Adapter.Settings.CallerAddress)
	<-ctx.Done()
	p.stop(callers)
	cancel()
	p.Transport.Close()
	p.Log.Info("entry instance has stopped")
	time.Sleep(logFlush)
	return nil
}

// logFlush is how long the last log lines get to be written.
const logFlush = 20 * time.Millisecond

// serveSurfaces opens the addresses for look-ups, checks and metrics.
func (p parts) serveSurfaces() error {
	s := p.Adapter.Settings
	age := min(lookupAge, s.Bounds.LookupAge)
	handlers := map[string]fasthttp.RequestHandler{
		s.DirectoryAddress: p.Adapter.Surface.Directory(p.entries, age),
		s.ReadyAddress:     p.Adapter.Surface.Ready(p.isReady),
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

func (p parts) serveMetrics(ctx *fasthttp.RequestCtx) {
	metrics.WriteOnce(p.Metrics, ctx)
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errListen.Wrap(err, "opening %s", address)
	}
	return listener, nil
}

// handlePeer answers a peer.
func (p parts) handlePeer(ctx context.Context, request *wire.PeerRequest) *wire.PeerResponse {
	switch body := request.GetBody().(type) {
	case *wire.PeerRequest_Gossip:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Gossip{Gossip: p.Gossip.Handle(ctx, body.Gossip)}}
	case *wire.PeerRequest_TokenAsk:
		return &wire.PeerResponse{Body: &wire.PeerResponse_TokenGrant{TokenGrant: p.Rates.Handle(body.TokenAsk)}}
	default:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Error{Error: "unknown request"}}
	}
}

// join makes this instance known and finds the others, first through the
// platform's store; seeds are asked as long as it does not answer. The instance
// acts once it has heard the others, so that it knows its part of the limits.
func (p parts) join(ctx context.Context) {
	began := time.Now()
	announced := false
	for ctx.Err() == nil {
		if !announced {
			announced = p.announce(ctx)
		}
		if announced && p.discover(ctx) {
			p.joined("the platform's list")
			return
		}
		if p.askAll(ctx, p.Adapter.Settings.Seeds) > 0 {
			p.joined("a seed")
		}
		if time.Since(began) > joinPatience {
			p.joined("nobody")
		}
		sleep(ctx, announceRetry)
	}
}

// joined lets the instance act.
func (p parts) joined(through string) {
	p.Membership.refresh()
	if p.Knowledge.Join() {
		p.Log.Info("joined the fleet", "through", through, "instances", p.Membership.count())
	}
}

// askAll asks peers for news at once and returns how many answered soon. Peers
// that are just starting themselves are not waited for.
func (p parts) askAll(ctx context.Context, addresses []string) int {
	var group sync.WaitGroup
	var answered atomic.Int64
	for _, address := range addresses {
		if address == p.Adapter.Settings.PeerAddress {
			continue
		}
		group.Go(func() {
			if p.Gossip.Ask(ctx, address) {
				answered.Add(1)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(joinWait):
	}
	return int(answered.Load())
}

func (p parts) announce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	if err := p.Adapter.Store.Announce(ctx, p.Members.Self()); err != nil {
		p.Log.Warn("this instance's entry is not stored yet", "error", err.Error())
		return false
	}
	return true
}

// discover asks all instances that have an entry for news.
func (p parts) discover(ctx context.Context) bool {
	listCtx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	list, err := p.Adapter.Store.Instances(listCtx)
	if err != nil {
		p.Log.Warn("the entries of the instances cannot be read", "error", err.Error())
		return false
	}
	addresses := make([]string, 0, len(list))
	for _, info := range list {
		addresses = append(addresses, info.GetPeerAddress())
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	p.askAll(ctx, addresses[:min(len(addresses), joinFanOut)])
	return true
}

// refresh follows who runs and whether this instance may take requests.
func (p parts) refresh(ctx context.Context) {
	prune := time.Now()
	for ctx.Err() == nil {
		p.Members.SetSelf(p.isReady(), p.Members.Self().GetStopping())
		p.Membership.refresh()
		p.Knowledge.NoteAge()
		p.Rates.Follow(p.Knowledge.Workspaces())
		if time.Since(prune) > pruneInterval {
			prune = time.Now()
			p.Pool.Prune(p.Knowledge.Listed)
		}
		sleep(ctx, refreshInterval)
	}
}

func (p parts) isReady() bool {
	return !p.Members.Self().GetStopping() && p.Knowledge.MayAct()
}

// entries returns the addresses of the instances that a caller is to use: those
// of its failure domain; where none runs there, those of its region, or all.
func (p parts) entries(region, domain string) []string {
	var here, near, all []string
	running := p.Members.Alive(clock.Boot{}.Now())
	if p.isReady() {
		self := p.Members.Self()
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

// stop carries out a graceful shutdown: callers are sent elsewhere, and what
// runs is finished.
func (p parts) stop(callers net.Listener) {
	began := time.Now()
	grace := p.Adapter.Settings.Bounds.StopTimeout.Duration()
	p.Log.Info("stopping", "grace_ms", grace.Milliseconds())
	p.Members.SetSelf(false, true)
	p.Gossip.Spread()
	p.Callers.Retire()
	time.Sleep(max(0, grace-stopReserve-idleRetire))
	_ = callers.Close()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-stopReserve))
	defer cancel()
	if err := p.Callers.Shutdown(ctx); err != nil {
		p.Log.Warn("requests were running until the end", "error", err.Error())
	}
	if err := p.Adapter.Store.Withdraw(ctx, p.Members.Self()); err != nil {
		p.Log.Warn("this instance's entry is left behind", "error", err.Error())
	}
}

// watchHangup notes SIGHUP. Nothing that a running process depends on changes
// with its settings, so no request is touched.
func (p parts) watchHangup(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				p.Log.Info("settings are read again at the next start")
			}
		}
	}()
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
