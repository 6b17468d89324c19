// Package entry puts together and runs the process of an entry instance.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"math"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/bulrushferry/bulrushferry/authority"
	"github.com/bulrushferry/bulrushferry/backend"
	"github.com/bulrushferry/bulrushferry/caller"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/objective"
	"github.com/bulrushferry/bulrushferry/once"
	"github.com/bulrushferry/bulrushferry/operator"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/tableservice"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
	"google.golang.org/protobuf/types/known/durationpb"
)

type (
	// settingsFolder is the folder that the settings' file names count from.
	settingsFolder string

	// parts are the pieces that run makes use of.
	parts struct {
		dig.In

		Settings  *wire.EntrySettings
		Log       hclog.Logger
		Clock     clock.Clock
		Transport *peer.Transport
		Fleet     *peer.Fleet
		Loans     *peer.RateLimiter
		Executor  *caller.Executor
		Pool      *backend.Pool
		Actions   *once.Table
		Platform  *tableservice.Client
		Callers   *caller.Server
		Operators *operator.Server
		Metrics   metrics.Registry
	}
)

const (
	incarnationBytes  = 6
	bitsPerMbit       = 1e6
	maxActions        = 200_000
	maxRememberedBody = 64 << 10
	maxTokenWait      = 250 * clock.Millis(1)
	suspectSpreadTime = 200 * time.Millisecond
)

// container returns the constructors of all the parts.
func container(settings *wire.EntrySettings, settingsFile string, logOutput io.Writer) (*dig.Container, error) {
	c := dig.New()
	constructors := []any{
		func() *wire.EntrySettings { return settings },
		func() settingsFolder { return settingsFolder(filepath.Dir(settingsFile)) },
		func() hclog.Logger { return newLog(settings, logOutput) },
		func() clock.Clock { return clock.NewSystem() },
		metrics.NewRegistry,
		newPlatform,
		newTransport,
		newFleet,
		newLoans,
		newPool,
		newActions,
		newClaimer,
		newLinks,
		newExecutor,
		newSteering,
		newCallers,
		newOperators,
		objective.NewRecorder,
		func() *caller.KeyIndex { return &caller.KeyIndex{} },
	}
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func newLog(settings *wire.EntrySettings, output io.Writer) hclog.Logger {
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "entry",
		Level:      hclog.LevelFromString(settings.GetLogLevel()),
		Output:     output,
		JSONFormat: true,
	})
	return log.With("instance", settings.GetInstance())
}

func newPlatform(settings *wire.EntrySettings) *tableservice.Client {
	return tableservice.NewClient(tableservice.ClientConfig{
		Address: settings.GetPlatform().GetAddress(),
		Timeout: settings.GetPlatform().GetTimeout().AsDuration(),
		Caller:  settings.GetInstance(),
		Source:  source(settings),
	})
}

// source is the address from which this instance calls others.
func source(settings *wire.EntrySettings) netip.Addr {
	address, err := netip.ParseAddrPort(settings.GetCallerAddress())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}

func newTransport(settings *wire.EntrySettings, folder settingsFolder, log hclog.Logger) (*peer.Transport, error) {
	tls, err := peer.LoadTLS(string(folder), settings.GetPeerTls())
	if err != nil {
		return nil, err
	}
	return peer.NewTransport(peer.TransportConfig{
		Address: settings.GetPeerAddress(),
		TLS:     tls,
		Log:     log.Named("peer"),
	})
}

// newIncarnation names this process. No other process ever has the same name.
func newIncarnation(instance string) (string, error) {
	raw := make([]byte, incarnationBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", err
	}
	return instance + "-" + hex.EncodeToString(raw), nil
}

func newFleet(settings *wire.EntrySettings, c clock.Clock, table *tableservice.Client, network *peer.Transport, log hclog.Logger) (*peer.Fleet, error) {
	incarnation, err := newIncarnation(settings.GetInstance())
	if err != nil {
		return nil, err
	}
	timing := settings.GetTiming()
	return peer.NewFleet(peer.FleetConfig{
		Self: &wire.Seat{
			Incarnation:   incarnation,
			Instance:      settings.GetInstance(),
			Region:        settings.GetRegion(),
			PeerAddress:   settings.GetPeerAddress(),
			CallerAddress: settings.GetCallerAddress(),
		},
		FailureDomain: settings.GetFailureDomain(),
		SeedPeers:     settings.GetSeedPeers(),
		MinSlots:      int(settings.GetFleetSlots()),
		Timing: peer.Timing{
			AuthorityTerm:     millis(timing.GetAuthorityTerm()),
			PollInterval:      millis(timing.GetPollInterval()),
			StoreReadInterval: millis(timing.GetStoreReadInterval()),
			LoanTerm:          millis(timing.GetLoanTerm()),
			SuspicionTimeout:  millis(timing.GetSuspicionTimeout()),
		},
		Clock:   c,
		Table:   table,
		Network: network,
		Log:     log.Named("fleet"),
	}), nil
}

func millis(span *durationpb.Duration) clock.Millis {
	return clock.FromDuration(span.AsDuration())
}

func newLoans(settings *wire.EntrySettings, c clock.Clock, fleet *peer.Fleet, network *peer.Transport, log hclog.Logger) *peer.RateLimiter {
	return peer.NewRateLimiter(peer.RateLimiterConfig{
		Fleet:   fleet,
		Clock:   c,
		Network: network,
		Log:     log.Named("loans"),
		Term:    millis(settings.GetTiming().GetLoanTerm()),
		MaxWait: maxTokenWait,
	})
}

func newPool(settings *wire.EntrySettings, c clock.Clock, fleet *peer.Fleet, network *peer.Transport, log hclog.Logger) *backend.Pool {
	pool := backend.NewPool(backend.PoolConfig{
		Clock:            c,
		Log:              log.Named("backend"),
		Source:           source(settings),
		ServerLimits:     func(server *wire.BackendServer) (int, int) { return unitParts(fleet, server) },
		RegionLimit:      func(region string) int { return regionPart(fleet, region) },
		BroadcastSuspect: func(suspect *wire.Suspect) { spreadSuspect(fleet, network, suspect) },
		AssertInvariants: settings.GetAssertInvariants(),
	})
	fleet.OnChange(pool.RefreshLimits)
	fleet.SetLoadFunc(pool.ServiceLoads)
	return pool
}

// unitParts returns this instance's part of a server's slots and connections.
func unitParts(fleet *peer.Fleet, server *wire.BackendServer) (slots, connections int) {
	rule := rules.Service(fleet.State().GetRules(), server.GetService())
	part := func(limit int32) authority.ShareFunc[int] {
		return func(state *wire.State) int {
			return authority.UnitShare(state, server, int(limit), fleet.Incarnation())
		}
	}
	return fleet.UnitAllowance(part(rule.GetSlots())), fleet.UnitAllowance(part(rule.GetConnections()))
}

// regionPart returns this instance's part of a region's capacity, which goes
// round the region's seat holders like the units of a server.
func regionPart(fleet *peer.Fleet, region string) int {
	capacity := 0
	for _, rule := range fleet.State().GetRules().GetRegions() {
		if rule.GetName() == region {
			capacity = int(rule.GetCapacity())
		}
	}
	like := &wire.BackendServer{Name: region, Region: region}
	return fleet.UnitAllowance(func(state *wire.State) int {
		return authority.UnitShare(state, like, capacity, fleet.Incarnation())
	})
}

// spreadSuspect tells every peer about a request that crashes servers, and
// waits a short while for them to know.
func spreadSuspect(fleet *peer.Fleet, network *peer.Transport, suspect *wire.Suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectSpreadTime)
	defer cancel()
	peer.Broadcast(ctx, network, fleet.Members(), &wire.PeerRequest{
		Body: &wire.PeerRequest_Suspect{Suspect: suspect},
	})
}

func newActions(fleet *peer.Fleet) *once.Table {
	return once.NewTable(once.TableConfig{
		Incarnation:      fleet.Incarnation(),
		MaxActions:       maxActions,
		MaxResponseBytes: maxRememberedBody,
	})
}

func newClaimer(fleet *peer.Fleet, table *tableservice.Client) *once.Claimer {
	return once.NewClaimer(once.ClaimerConfig{Table: table, Incarnation: fleet.Incarnation()})
}

func newLinks(c clock.Clock, fleet *peer.Fleet) *caller.LinkLimiter {
	return caller.NewLinkLimiter(caller.LinkLimiterConfig{
		Clock:  c,
		Region: fleet.Region(),
		BitsPerS: func(to string) float64 {
			return linkPart(fleet, to)
		},
	})
}

// linkPart returns this instance's part, in bits a second, of what the links
// from its region to another one carry. The slower of the two ends counts.
func linkPart(fleet *peer.Fleet, to string) float64 {
	limit := math.Inf(1)
	for _, rule := range fleet.State().GetRules().GetRegions() {
		if rule.GetName() == to || rule.GetName() == fleet.Region() {
			limit = min(limit, rule.GetLinkMbitPerS())
		}
	}
	return fleet.RateAllowance(func(state *wire.State) float64 {
		return limit * bitsPerMbit * authority.RegionShare(state, fleet.Region(), fleet.Incarnation())
	})
}

func newExecutor(p executorParts) *caller.Executor {
	return caller.NewExecutor(caller.ExecutorConfig{
		Clock:       p.Clock,
		Fleet:       p.Fleet,
		RateLimiter: p.Loans,
		Network:     p.Network,
		Pool:        p.Pool,
		Actions:     p.Actions,
		Claimer:     p.Claimer,
		Keys:        p.Keys,
		LinkLimiter: p.Links,
		Log:         p.Log.Named("caller"),
	})
}

// executorParts are what an executor is made from.
type executorParts struct {
	dig.In

	Clock   clock.Clock
	Fleet   *peer.Fleet
	Loans   *peer.RateLimiter
	Network *peer.Transport
	Pool    *backend.Pool
	Actions *once.Table
	Claimer *once.Claimer
	Keys    *caller.KeyIndex
	Links   *caller.LinkLimiter
	Log     hclog.Logger
}

func newSteering(c clock.Clock, fleet *peer.Fleet, pool *backend.Pool) *caller.Resolver {
	return caller.NewResolver(c, fleet, pool.ServiceLoads)
}

func newCallers(c clock.Clock, fleet *peer.Fleet, executor *caller.Executor, steering *caller.Resolver, keys *caller.KeyIndex, objectives *objective.Recorder, registry metrics.Registry, log hclog.Logger) *caller.Server {
	return caller.NewServer(caller.ServerConfig{
		Clock:      c,
		Fleet:      fleet,
		Executor:   executor,
		Resolver:   steering,
		Keys:       keys,
		Objectives: objectives,
		Metrics:    registry,
		Log:        log.Named("caller"),
	})
}

func newOperators(settings *wire.EntrySettings, fleet *peer.Fleet, pool *backend.Pool, objectives *objective.Recorder, registry metrics.Registry, log hclog.Logger) *operator.Server {
	return operator.NewServer(operator.ServerConfig{
		Fleet:      fleet,
		Pool:       pool,
		Objectives: objectives,
		Metrics:    registry,
		Log:        log.Named("operator"),
		Token:      settings.GetOperatorToken(),
	})
}
