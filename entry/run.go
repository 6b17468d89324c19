package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
)

const (
	listInterval    = time.Second
	probeInterval   = 1500 * time.Millisecond
	queueTick       = 50 * time.Millisecond
	pruneInterval   = 10 * time.Second
	handoverTimeout = 3 * time.Second
	// lingerTime is how long a stopping instance goes on serving callers that
	// still use an old look-up.
	lingerTime = 3 * time.Second
)

var (
	errorSpace = errorx.NewNamespace("entry")

	errListen = errorSpace.NewType("listen")
)

// Run runs an entry instance until the context ends, and then stops it
// gracefully: callers are told to go elsewhere, running requests are finished
// and the record of actions is handed to the peers.
func Run(ctx context.Context, settings *wire.EntrySettings, settingsFile string, logOutput io.Writer) error {
	c, err := container(settings, settingsFile, logOutput)
	if err != nil {
		return err
	}
	var runErr error
	err = c.Invoke(func(p parts) {
		runErr = p.run(ctx, settingsFile)
	})
	return errors.Join(err, runErr)
}

func (p parts) run(ctx context.Context, settingsFile string) error {
	callers, err := p.listenCallers(settingsFile)
	if err != nil {
		return err
	}
	operators, err := listen(p.Settings.GetOperatorAddress())
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := peer.NewServer(p.Fleet, p.Loans, p.Executor)
	var group sync.WaitGroup
	group.Go(func() { p.Transport.Serve(background, server.Handle) })
	group.Go(func() { p.Fleet.Run(background) })
	group.Go(func() { p.Loans.Run(background) })
	group.Go(func() { p.watchServers(background) })
	group.Go(func() { p.tick(background) })
	group.Go(func() { every(background, probeInterval, p.Pool.Probe) })
	failed := make(chan error, 2)
	go func() { failed <- p.Callers.Serve(callers) }()
	go func() { failed <- p.Operators.Serve(operators) }()
	p.Log.Info("entry instance runs", "incarnation", p.Fleet.Incarnation(), "callers", callers.Addr().String())
	select {
	case <-ctx.Done():
		p.stop()
	case err = <-failed:
		p.Log.Error("serving failed", "error", err)
	}
	cancel()
	p.Transport.Close()
	group.Wait()
	p.Log.Info("entry instance has stopped")
	return err
}

// stop carries out a graceful shutdown.
func (p parts) stop() {
	p.Log.Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), p.Settings.GetTiming().GetStopTimeout().AsDuration())
	defer cancel()
	p.Fleet.SetStopping()
	p.Callers.DisableKeepAlives()
	time.Sleep(lingerTime)
	if err := p.Callers.Shutdown(ctx); err != nil {
		p.Log.Error("running requests were cut", "error", err)
	}
	p.Actions.StopAccepting()
	p.Transport.Drain(ctx)
	p.handOver()
	p.Transport.Drain(ctx)
	if err := p.Operators.Shutdown(ctx); err != nil {
		p.Log.Warn("operators' requests were cut", "error", err)
	}
}

// handOver gives every peer the list of the actions that ran here.
func (p parts) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	told := peer.Broadcast(ctx, p.Transport, p.Fleet.Members(), &wire.PeerRequest{
		Body: &wire.PeerRequest_Handover{Handover: &wire.Handover{
			Incarnation: p.Fleet.Incarnation(),
			Actions:     p.Actions.HandOver(),
			ClockMs:     int64(p.Clock.Now()),
		}},
	})
	p.Log.Info("handed over actions", "actions", p.Actions.Len(), "peers", told)
}

func (p parts) listenCallers(settingsFile string) (net.Listener, error) {
	listener, err := listen(p.Settings.GetCallerAddress())
	if err != nil || p.Settings.GetCallerTls() == nil {
		return listener, err
	}
	folder := filepath.Dir(settingsFile)
	files := p.Settings.GetCallerTls()
	certificate, err := tls.LoadX509KeyPair(filepath.Join(folder, files.GetCertificateFile()), filepath.Join(folder, files.GetKeyFile()))
	if err != nil {
		return nil, errListen.Wrap(err, "loading the callers' certificate")
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{certificate},
	}), nil
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errListen.Wrap(err, "opening %s", address)
	}
	return listener, nil
}

// watchServers keeps the pool's servers as the platform lists them.
func (p parts) watchServers(ctx context.Context) {
	every(ctx, listInterval, func() {
		list, err := p.Platform.List(ctx)
		if err != nil {
			p.Log.Debug("reading the instance list", "error", err)
			return
		}
		p.Pool.UpdateServers(list.GetBackendServers(), p.drained())
	})
}

// drained names the backend servers that a rule drains.
func (p parts) drained() values.Set[string] {
	var names []string
	for _, drain := range p.Fleet.State().GetRules().GetDrains() {
		names = append(names, drain.GetBackendServer())
	}
	return values.NewSet(names...)
}

// tick keeps the queues moving and forgets old actions.
func (p parts) tick(ctx context.Context) {
	var pruneAt clock.Millis
	every(ctx, queueTick, func() {
		p.Pool.DispatchQueued()
		if now := p.Clock.Now(); now >= pruneAt {
			pruneAt = now + clock.FromDuration(pruneInterval)
			p.Actions.Prune(now)
		}
	})
}

func every(ctx context.Context, interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
