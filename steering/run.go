package steering

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/gateway"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
)

// parts are the pieces that run makes use of.
type parts struct {
	dig.In

	Adapter    Adapter
	Live       *live
	Log        hclog.Logger
	Metrics    metrics.Registry
	Members    *fleet.Members
	Membership *membership
	Knowledge  *Knowledge
	Table      *placement.Table
	Gossip     *fleet.Gossip
	Transport  *peer.Transport
	Rates      *Rates
	Pool       *origin.Pool
	Handler    *Handler
	Callers    *gateway.Server
}

const (
	refreshInterval = 250 * time.Millisecond
	pruneInterval   = time.Second
	// stopReserve is kept between the end of serving and the hard stop.
	stopReserve = 700 * time.Millisecond
	// takePercent is the part of the time from SIGTERM to SIGKILL, in percent,
	// in which a stopping instance takes requests. What comes later may not be
	// finished in the rest.
	takePercent = 45
	// idleRetire is how long before the end idle connections are closed.
	idleRetire = 1500 * time.Millisecond
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
	limitMemory(adapter.Settings)
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
	go p.Transport.Serve(background, p.handlePeer)
	go p.follow(background, p.Knowledge.Rules)
	go p.follow(background, p.Knowledge.Servers)
	go p.join(background)
	go p.Gossip.Run(background)
	go p.Rates.Run(background)
	go p.refresh(background)
	go func() { _ = p.Callers.Serve(callers) }()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go p.watchSettings(background, hangups)
	p.Log.Info("entry instance runs", "incarnation", p.Members.Self().GetIncarnation(), "callers", p.Adapter.Settings.CallerAddress)
	<-ctx.Done()
	p.stop(callers)
	cancel()
	p.Transport.Close()
	p.Log.Info("entry instance has stopped")
	time.Sleep(logFlush)
	return nil
}

// follow keeps a replica up to date from the platform's store.
func (p parts) follow(ctx context.Context, replica *fleet.Replica) {
	p.Adapter.Store.Follow(ctx, replica, func() bool { return p.Membership.asksStore(replica) })
}

// logFlush is how long the last log lines get to be written.
const logFlush = 20 * time.Millisecond

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

// refresh follows who runs and whether this instance may take requests.
func (p parts) refresh(ctx context.Context) {
	prune := time.Now()
	for ctx.Err() == nil {
		p.Members.SetReady(p.isReady())
		p.Membership.refresh()
		p.Knowledge.NoteAge()
		p.Rates.Follow(p.Knowledge.Workspaces())
		if time.Since(prune) > pruneInterval {
			prune = time.Now()
			p.Pool.Prune(p.Knowledge.Listed)
		}
		clock.Pause(ctx, refreshInterval)
	}
}

// stop carries out a graceful shutdown: callers are sent elsewhere, and what
// runs is finished.
func (p parts) stop(callers net.Listener) {
	began := time.Now()
	grace := p.Live.get().Bounds.StopTimeout.Duration()
	p.Log.Info("stopping", "grace_ms", grace.Milliseconds())
	p.Members.SetStopping()
	p.Gossip.NotifyNeighbors()
	p.Callers.Retire()
	time.Sleep(grace * takePercent / 100)
	p.Handler.Close()
	time.Sleep(time.Until(began.Add(grace - stopReserve - idleRetire)))
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
