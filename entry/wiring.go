// Package entry assembles the components of an entry instance and runs its process.
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
	"github.com/bulrushferry/bulrushferry/memory"
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
	// settingsDir is the directory of the settings file. File names in the settings
	// are relative to it.
	settingsDir string

	// process holds the components of the running entry instance.
	process struct {
		dig.In

		Settings       *wire.EntrySettings
		Log            hclog.Logger
		Clock          clock.Clock
		Transport      *peer.Transport
		Fleet          *peer.Fleet
		RateLimiter    *peer.RateLimiter
		Executor       *caller.Executor
		Pool           *backend.Pool
		Actions        *once.Table
		TableService   *tableservice.Client
		CallerServer   *caller.Server
		OperatorServer *operator.Server
		Metrics        metrics.Registry
		Account        *memory.Account
	}

	// executorDeps are the dependencies of an executor.
	executorDeps struct {
		dig.In

		Clock       clock.Clock
		Fleet       *peer.Fleet
		RateLimiter *peer.RateLimiter
		Transport   *peer.Transport
		Pool        *backend.Pool
		Actions     *once.Table
		Claimer     *once.Claimer
		Keys        *caller.KeyIndex
		LinkLimiter *caller.LinkLimiter
		Log         hclog.Logger
	}
)

const (
	incarnationSuffixBytes     = 6
	bitsPerMbit                = 1e6
	maxActions                 = 200_000
	maxRememberedResponseBytes = 64 << 10
	maxTokenWait               = 250 * clock.Millis(1)
	suspectBroadcastTimeout    = 200 * time.Millisecond
)

// newContainer returns a container with the constructors of all components.
func newContainer(settings *wire.EntrySettings, settingsFile string, logOutput io.Writer) (*dig.Container, error) {
	c := dig.New()
	constructors := []any{
		func() *wire.EntrySettings { return settings },
		func() settingsDir { return settingsDir(filepath.Dir(settingsFile)) },
		func() hclog.Logger { return newLogger(settings, logOutput) },
		func() clock.Clock { return clock.NewSystem() },
		metrics.NewRegistry,
		newTableServiceClient,
		newTransport,
		newFleet,
		newRateLimiter,
		newAccount,
		newPool,
		newActionTable,
		newClaimer,
		newLinkLimiter,
		newExecutor,
		newResolver,
		newCallerServer,
		newOperatorServer,
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

func newLogger(settings *wire.EntrySettings, output io.Writer) hclog.Logger {
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "entry",
		Level:      hclog.LevelFromString(settings.GetLogLevel()),
		Output:     output,
		JSONFormat: true,
	})
	return log.With("instance", settings.GetInstance())
}

func newTableServiceClient(settings *wire.EntrySettings) *tableservice.Client {
	return tableservice.NewClient(tableservice.ClientConfig{
		Address: settings.GetPlatform().GetAddress(),
		Timeout: settings.GetPlatform().GetTimeout().AsDuration(),
		Caller:  settings.GetInstance(),
		Source:  sourceAddress(settings),
	})
}

// sourceAddress returns the local address for outgoing connections: the IP address on
// which callers are served.
func sourceAddress(settings *wire.EntrySettings) netip.Addr {
	address, err := netip.ParseAddrPort(settings.GetCallerAddress())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}

func newTransport(settings *wire.EntrySettings, dir settingsDir, log hclog.Logger) (*peer.Transport, error) {
	tlsConfig, err := peer.LoadTLS(string(dir), settings.GetPeerTls())
	if err != nil {
		return nil, err
	}
	return peer.NewTransport(peer.TransportConfig{
		Address: settings.GetPeerAddress(),
		TLS:     tlsConfig,
		Log:     log.Named("peer"),
	})
}

// newIncarnation returns a name for this process: the name of the instance with a
// random suffix, so that no other process has the same name.
func newIncarnation(instance string) (string, error) {
	suffix := make([]byte, incarnationSuffixBytes)
	if _, err := rand.Read(suffix); err != nil {
		return "", err
	}
	return instance + "-" + hex.EncodeToString(suffix), nil
}

func newFleet(settings *wire.EntrySettings, c clock.Clock, table *tableservice.Client, transport *peer.Transport, log hclog.Logger) (*peer.Fleet, error) {
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
			AuthorityTerm:     toMillis(timing.GetAuthorityTerm()),
			PollInterval:      toMillis(timing.GetPollInterval()),
			StoreReadInterval: toMillis(timing.GetStoreReadInterval()),
			LoanTerm:          toMillis(timing.GetLoanTerm()),
			SuspicionTimeout:  toMillis(timing.GetSuspicionTimeout()),
		},
		Clock:   c,
		Table:   table,
		Network: transport,
		Log:     log.Named("fleet"),
	}), nil
}

func toMillis(duration *durationpb.Duration) clock.Millis {
	return clock.FromDuration(duration.AsDuration())
}

func newRateLimiter(settings *wire.EntrySettings, c clock.Clock, fleet *peer.Fleet, transport *peer.Transport, log hclog.Logger) *peer.RateLimiter {
	return peer.NewRateLimiter(peer.RateLimiterConfig{
		Fleet:    fleet,
		Clock:    c,
		Network:  transport,
		Log:      log.Named("loans"),
		LoanTerm: toMillis(settings.GetTiming().GetLoanTerm()),
		MaxWait:  maxTokenWait,
	})
}

func newAccount(settings *wire.EntrySettings) *memory.Account {
	return memory.NewAccount(memory.LimitsOf(int(settings.GetMemoryMb())))
}

func newPool(settings *wire.EntrySettings, account *memory.Account, c clock.Clock, fleet *peer.Fleet, transport *peer.Transport, log hclog.Logger) *backend.Pool {
	pool := backend.NewPool(backend.PoolConfig{
		Clock:            c,
		Log:              log.Named("backend"),
		Source:           sourceAddress(settings),
		ServerLimits:     func(server *wire.BackendServer) (int, int) { return serverShares(fleet, server) },
		RegionLimit:      func(region string) int { return regionShare(fleet, region) },
		Memory:           account,
		BroadcastSuspect: func(suspect *wire.Suspect) { broadcastSuspect(fleet, transport, suspect) },
		AssertInvariants: settings.GetAssertInvariants(),
	})
	fleet.OnChange(pool.RefreshLimits)
	fleet.SetLoadFunc(pool.ServiceLoads)
	return pool
}

// serverShares returns this instance's shares of a backend server's slots and
// connections.
func serverShares(fleet *peer.Fleet, server *wire.BackendServer) (slots, connections int) {
	rule := rules.Service(fleet.State().GetRules(), server.GetService())
	share := func(limit int32) authority.ShareFunc[int] {
		return func(state *wire.State) int {
			return authority.UnitShare(state, server, int(limit), fleet.Incarnation())
		}
	}
	return fleet.UnitAllowance(share(rule.GetSlots())), fleet.UnitAllowance(share(rule.GetConnections()))
}

// regionShare returns this instance's share of a region's capacity. The capacity is
// assigned to the region's seat holders like the units of a backend server.
func regionShare(fleet *peer.Fleet, region string) int {
	capacity := 0
	for _, rule := range fleet.State().GetRules().GetRegions() {
		if rule.GetName() == region {
			capacity = int(rule.GetCapacity())
		}
	}
	regionAsServer := &wire.BackendServer{Name: region, Region: region}
	return fleet.UnitAllowance(func(state *wire.State) int {
		return authority.UnitShare(state, regionAsServer, capacity, fleet.Incarnation())
	})
}

// broadcastSuspect tells every peer about a request that crashes backend servers. It
// returns once all have responded or after suspectBroadcastTimeout.
func broadcastSuspect(fleet *peer.Fleet, transport *peer.Transport, suspect *wire.Suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectBroadcastTimeout)
	defer cancel()
	peer.Broadcast(ctx, transport, fleet.Members(), &wire.PeerRequest{
		Body: &wire.PeerRequest_Suspect{Suspect: suspect},
	})
}

func newActionTable(fleet *peer.Fleet) *once.Table {
	return once.NewTable(once.TableConfig{
		Incarnation:      fleet.Incarnation(),
		MaxActions:       maxActions,
		MaxResponseBytes: maxRememberedResponseBytes,
	})
}

func newClaimer(fleet *peer.Fleet, table *tableservice.Client) *once.Claimer {
	return once.NewClaimer(once.ClaimerConfig{Table: table, Incarnation: fleet.Incarnation()})
}

func newLinkLimiter(c clock.Clock, fleet *peer.Fleet) *caller.LinkLimiter {
	return caller.NewLinkLimiter(caller.LinkLimiterConfig{
		Clock:  c,
		Region: fleet.Region(),
		BitsPerS: func(to string) float64 {
			return linkShare(fleet, to)
		},
	})
}

// linkShare returns this instance's share of the bandwidth between its own region and
// another one, in bits per second. The bandwidth is that of the slower end.
func linkShare(fleet *peer.Fleet, to string) float64 {
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

func newExecutor(p executorDeps) *caller.Executor {
	return caller.NewExecutor(caller.ExecutorConfig{
		Clock:       p.Clock,
		Fleet:       p.Fleet,
		RateLimiter: p.RateLimiter,
		Network:     p.Transport,
		Pool:        p.Pool,
		Actions:     p.Actions,
		Claimer:     p.Claimer,
		Keys:        p.Keys,
		LinkLimiter: p.LinkLimiter,
		Log:         p.Log.Named("caller"),
	})
}

func newResolver(c clock.Clock, fleet *peer.Fleet, pool *backend.Pool) *caller.Resolver {
	return caller.NewResolver(c, fleet, pool.ServiceLoads)
}

func newCallerServer(c clock.Clock, fleet *peer.Fleet, executor *caller.Executor, resolver *caller.Resolver, keys *caller.KeyIndex, objectives *objective.Recorder, registry metrics.Registry, log hclog.Logger, account *memory.Account) *caller.Server {
	return caller.NewServer(caller.ServerConfig{
		Clock:      c,
		Fleet:      fleet,
		Executor:   executor,
		Resolver:   resolver,
		Keys:       keys,
		Objectives: objectives,
		Metrics:    registry,
		Log:        log.Named("caller"),
		Memory:     account,
	})
}

func newOperatorServer(settings *wire.EntrySettings, fleet *peer.Fleet, pool *backend.Pool, objectives *objective.Recorder, registry metrics.Registry, log hclog.Logger, account *memory.Account) *operator.Server {
	return operator.NewServer(operator.ServerConfig{
		Fleet:      fleet,
		Pool:       pool,
		Objectives: objectives,
		Metrics:    registry,
		Log:        log.Named("operator"),
		Memory:     account,
		Token:      settings.GetOperatorToken(),
	})
}
