package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
)

const (
	serverListInterval = time.Second
	probeInterval      = 1500 * time.Millisecond
	dispatchInterval   = 50 * time.Millisecond
	pruneInterval      = 10 * time.Second
	handoverTimeout    = 3 * time.Second
	// shutdownDelay is how long a stopping instance continues to accept requests
	// from callers that still use an old lookup response. It exceeds the maximum age
	// of such a response.
	shutdownDelay = 3 * time.Second
	// shutdownReserve is the time left between the end of callers' requests and the end of
	// the stop timeout, for the responses to reach the callers.
	shutdownReserve = 100 * time.Millisecond
)

var (
	errorSpace = errorx.NewNamespace("entry")

	errListen = errorSpace.NewType("listen")
)

// Run runs an entry instance until the context ends, and then shuts it down
// gracefully: callers are directed to other instances, the requests in progress are
// completed, and the list of actions is handed over to the peers.
func Run(ctx context.Context, settings *wire.EntrySettings, settingsFile string, logOutput io.Writer) error {
	debug.SetMemoryLimit(memory.CollectorLimit(int(settings.GetMemoryMb())))
	c, err := newContainer(settings, settingsFile, logOutput)
	if err != nil {
		return err
	}
	var runErr error
	err = c.Invoke(func(p process) {
		runErr = p.run(ctx, settingsFile)
	})
	return errors.Join(err, runErr)
}

// run starts all components and waits until the context ends, followed by a graceful
// shutdown, or until a server fails.
func (p process) run(ctx context.Context, settingsFile string) error {
	callerListener, err := p.listenCallers(settingsFile)
	if err != nil {
		return err
	}
	operatorListener, err := listen(p.Settings.GetOperatorAddress())
	if err != nil {
		return err
	}
	p.Account.SetReclaimer(func(kind memory.Kind, bytes int64) bool {
		callers, operators := p.CallerServer.Reclaim(kind, bytes), p.OperatorServer.Reclaim(kind, bytes)
		return callers || operators
	})
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	peerServer := peer.NewServer(p.Fleet, p.RateLimiter, p.Executor)
	var group sync.WaitGroup
	group.Go(func() { p.Transport.Serve(background, peerServer.Handle) })
	group.Go(func() { p.Fleet.Run(background) })
	group.Go(func() { p.RateLimiter.Run(background) })
	group.Go(func() { p.pollServerList(background) })
	group.Go(func() { p.dispatchAndPrune(background) })
	group.Go(func() { runPeriodically(background, probeInterval, p.Pool.Probe) })
	failed := make(chan error, 2)
	go func() { failed <- p.CallerServer.Serve(callerListener) }()
	go func() { failed <- p.OperatorServer.Serve(p.OperatorServer.Limit(operatorListener)) }()
	p.Log.Info("entry instance started", "incarnation", p.Fleet.Incarnation(), "callers", callerListener.Addr().String())
	select {
	case <-ctx.Done():
		p.shutDown()
	case err = <-failed:
		p.Log.Error("HTTP server failed", "error", err)
	}
	cancel()
	p.Transport.Close()
	group.Wait()
	p.Log.Info("entry instance stopped")
	return err
}

// shutDown shuts the instance down gracefully. It makes the peers and callers avoid
// this instance, refuses requests whose deadline is after the end of the stop timeout,
// completes the other requests of callers and then those forwarded by peers, and hands
// over the list of actions.
func (p process) shutDown() {
	p.Log.Info("stopping")
	timeout := p.Settings.GetTiming().GetStopTimeout().AsDuration()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.Executor.StopIn(clock.FromDuration(timeout - shutdownReserve))
	p.Fleet.SetStopping()
	p.CallerServer.DisableKeepAlives()
	time.Sleep(min(shutdownDelay, timeout))
	if err := p.CallerServer.Shutdown(ctx); err != nil {
		p.Log.Error("callers' requests did not finish in time", "error", err)
	}
	p.Actions.StopAccepting()
	p.Transport.Drain(ctx)
	p.handOver()
	p.Transport.Drain(ctx)
	if err := p.OperatorServer.Shutdown(ctx); err != nil {
		p.Log.Warn("operators' requests did not finish in time", "error", err)
	}
}

// handOver sends every peer the list of the actions that this instance ran.
func (p process) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	responded := peer.Broadcast(ctx, p.Transport, p.Fleet.Members(), &wire.PeerRequest{
		Body: &wire.PeerRequest_Handover{Handover: &wire.Handover{
			Incarnation: p.Fleet.Incarnation(),
			Actions:     p.Actions.HandOver(),
			ClockMs:     int64(p.Clock.Now()),
		}},
	})
	p.Log.Info("handed over actions", "actions", p.Actions.Len(), "peers", responded)
}

// listenCallers opens the listener for callers, with TLS if the settings name a
// certificate for it.
func (p process) listenCallers(settingsFile string) (net.Listener, error) {
	listener, err := listen(p.Settings.GetCallerAddress())
	if err != nil {
		return nil, err
	}
	listener = p.CallerServer.Limit(listener)
	if p.Settings.GetCallerTls() == nil {
		return listener, nil
	}
	dir := filepath.Dir(settingsFile)
	tlsSettings := p.Settings.GetCallerTls()
	certificate, err := tls.LoadX509KeyPair(filepath.Join(dir, tlsSettings.GetCertificateFile()), filepath.Join(dir, tlsSettings.GetKeyFile()))
	if err != nil {
		return nil, errListen.Wrap(err, "loading the certificate for callers")
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{certificate},
	}), nil
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errListen.Wrap(err, "listening on %s", address)
	}
	return listener, nil
}

// pollServerList periodically updates the pool with the platform's list of backend
// servers and with the drain rules, until the context ends.
func (p process) pollServerList(ctx context.Context) {
	runPeriodically(ctx, serverListInterval, func() {
		list, err := p.TableService.ListInstances(ctx)
		if err != nil {
			p.Log.Debug("failed to read the instance list", "error", err)
			return
		}
		p.Pool.UpdateServers(list.GetBackendServers(), p.drainedServers())
	})
}

// drainedServers returns the names of the backend servers that a rule drains.
func (p process) drainedServers() values.Set[string] {
	var names []string
	for _, drain := range p.Fleet.State().GetRules().GetDrains() {
		names = append(names, drain.GetBackendServer())
	}
	return values.NewSet(names...)
}

// dispatchAndPrune periodically dispatches queued requests, removes old actions and
// publishes what the process holds, until the context ends.
func (p process) dispatchAndPrune(ctx context.Context) {
	var nextPruneAt clock.Millis
	runPeriodically(ctx, dispatchInterval, func() {
		p.Pool.DispatchQueued()
		if now := p.Clock.Now(); now >= nextPruneAt {
			nextPruneAt = now + clock.FromDuration(pruneInterval)
			p.Actions.Prune(now)
			p.Account.Publish(p.Metrics)
		}
	})
}

// runPeriodically calls a function at once and then at every interval until the
// context ends.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
