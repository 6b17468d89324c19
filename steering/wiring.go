package steering

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"math"

	"github.com/bulrushferry/bulrushferry/admission"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/gateway"
	"github.com/bulrushferry/bulrushferry/lookup"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/retry"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/bulrushferry/bulrushferry/tokens"
	"github.com/bulrushferry/bulrushferry/usage"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
)

const (
	incarnationBytes  = 6
	millicoresPerCore = 1000
)

// newContainer returns a dependency injection container with the constructors of all
// components.
func newContainer(adapter Adapter, logOutput io.Writer) (*dig.Container, error) {
	c := dig.New()
	constructors := []any{
		func() Adapter { return adapter },
		func() Settings { return adapter.Settings },
		newLiveSettings,
		metrics.NewRegistry,
		func() clock.Clock { return clock.NewSystem() },
		func(registry metrics.Registry) hclog.Logger {
			return newLogger(adapter.Settings.Instance, newQueuedWriter(logOutput, registry))
		},
		newMembers,
		placement.NewCrashTracker,
		newBalancer,
		newControlState,
		newMembership,
		newRegistry,
		newTransport,
		newGossip,
		newRateLimiter,
		newMemory,
		newPool,
		newRetryBudget,
		func() *admission.Controller { return admission.NewController(nil) },
		newRequestHandler,
		newGateway,
		newLookupServer,
		newUsageMonitor,
		func() *socket.Meter { return &socket.Meter{} },
	}
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func newMembers(s Settings) (*fleet.Members, error) {
	raw := make([]byte, incarnationBytes)
	if _, err := rand.Read(raw); err != nil {
		return nil, err
	}
	return fleet.NewMembers(&wire.FleetInstance{
		Incarnation:   s.Instance + "-" + hex.EncodeToString(raw),
		Instance:      s.Instance,
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		PeerAddress:   s.PeerAddress,
		CallerAddress: s.CallerAddress,
		LinkMbitPerS:  int32(s.LinkMbitPerS),

		CpuMillicores:  int32(s.processor() * millicoresPerCore),
		MemoryMb:       int32(min(s.MemoryMB, math.MaxInt32)),
		MaxDescriptors: int32(s.MaxFDs),
	}, s.Bounds.Authority), nil
}

func newBalancer(s Settings, crashes *placement.CrashTracker) *placement.Balancer {
	return placement.NewBalancer(placement.BalancerConfig{
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Regions:       regionNames(s.Regions),
		AssumeWarm:    !s.FirstStart,
		ColdOverage:   s.Bounds.ColdOverage,
		ColdSlack:     s.Bounds.ColdSlack,
		MaxShift:      s.Bounds.MaxShift,
		Crashes:       crashes,
	})
}

// regionNames returns the sorted names of all regions. Regions maps failure domains to
// their regions.
func regionNames(regions map[string]string) []string {
	names := values.NewSet[string]()
	for _, region := range regions {
		names = names.With(region)
	}
	return names.Sorted()
}

func newControlState(adapter Adapter, l *liveSettings, c clock.Clock, log hclog.Logger, registry metrics.Registry, balancer *placement.Balancer, members *fleet.Members) *ControlState {
	state := NewControlState(ControlStateConfig{
		BootClock:     clock.BootTime{},
		Clock:         c,
		Log:           log.Named("knowledge"),
		Metrics:       registry,
		Decoder:       adapter.Decoder,
		Balancer:      balancer,
		Members:       members,
		AuthorityTerm: func() clock.Millis { return l.get().Bounds.Authority },
	})
	state.SetReplicas(fleet.NewReplica(adapter.RulesTable, state.ReloadRules), fleet.NewReplica(adapter.ServersTable, state.ReloadServers))
	return state
}

func newMembership(members *fleet.Members, state *ControlState, balancer *placement.Balancer) *membership {
	return &membership{
		bootClock: clock.BootTime{}, members: members, controlState: state, balancer: balancer, startedAt: clock.BootTime{}.Now(),
	}
}

func newTransport(s Settings, log hclog.Logger) (*peer.Transport, error) {
	tls, err := peer.NewSelfSignedTLS(s.PeerAddress)
	if err != nil {
		return nil, err
	}
	return peer.NewTransport(peer.TransportConfig{Address: s.PeerAddress, TLS: tls, Log: log.Named("peer"), CloseIdle: true})
}

func newGossip(state *ControlState, entries *registry, members *fleet.Members, network *peer.Transport, c clock.Clock, crashes *placement.CrashTracker, balancer *placement.Balancer, levels *admission.Controller, log hclog.Logger, registry metrics.Registry) *fleet.Gossip {
	g := fleet.NewGossip(fleet.GossipConfig{
		Clock:         clock.BootTime{},
		Log:           log.Named("gossip"),
		Network:       network,
		Members:       members,
		Tables:        []*fleet.Replica{state.Rules, state.Servers, entries.entries},
		OnPeerRestart: network.Disconnect,
		Observations:  &observations{clock: c, crashes: crashes, balancer: balancer, levels: levels, config: state.Config, log: log, registry: registry},
	})
	state.OnRulesChange(g.NotifyNeighbors)
	return g
}

func newRateLimiter(s Settings, m *membership, network *peer.Transport, log hclog.Logger, registry metrics.Registry) *tokens.Limiter {
	return tokens.NewLimiter(tokens.Config{
		Clock:       clock.BootTime{},
		Log:         log.Named("rates"),
		Metrics:     registry,
		Network:     network,
		Fleet:       m,
		Self:        s.Instance,
		SelfAddress: s.PeerAddress,
		Process:     fleet.ProcessID(m.members.Self().GetIncarnation()),
		Limit:       m.workspaceLimit,
	})
}

func newPool(adapter Adapter, c clock.Clock, registry metrics.Registry, balancer *placement.Balancer, account *memory.Account, l *liveSettings) *origin.Pool {
	return origin.NewPool(origin.PoolConfig{
		Clock:          c,
		Headers:        adapter.Headers,
		Metrics:        registry,
		MaxConnections: balancer.MaxConnections,
		OnConnect:      balancer.SetRoundTrip,
		MaxOpen:        func() int { return l.capacity().servers },
		Memory:         account,
	})
}

func newMemory(s Settings) *memory.Account {
	return memory.NewAccount(memory.LimitsOf(s.MemoryMB))
}

func newRetryBudget(l *liveSettings, m *membership) *retry.Budget {
	limits := func() retry.Limits {
		bounds := l.get().Bounds
		return retry.Limits{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack}
	}
	return retry.NewBudget(retry.BudgetConfig{Limits: limits, InstanceCount: m.shareHolderCount})
}

func newRequestHandler(adapter Adapter, c clock.Clock, log hclog.Logger, registry metrics.Registry, state *ControlState, balancer *placement.Balancer, pool *origin.Pool, budget *retry.Budget, limiter *tokens.Limiter, crashes *placement.CrashTracker, admissions *admission.Controller) *Handler {
	h := NewHandler(HandlerConfig{
		Clock:        c,
		Log:          log.Named("request"),
		Metrics:      registry,
		Headers:      adapter.Headers,
		ControlState: state,
		Balancer:     balancer,
		Pool:         pool,
		RetryBudget:  budget,
		RateLimiter:  limiter,
		Crashes:      crashes,
		Admission:    admissions,
	})
	state.OnServersChange(h.offerNewRoom)
	return h
}

func newGateway(h *Handler, state *ControlState, log hclog.Logger, account *memory.Account, l *liveSettings, registry metrics.Registry) *gateway.Server {
	return gateway.NewServer(gateway.ServerConfig{
		Handler:        h,
		Log:            log.Named("gateway"),
		Limits:         state.Limits,
		Memory:         account,
		MaxConnections: func() int { return l.capacity().callers },
		Metrics:        registry,
	})
}

func newLookupServer(members *fleet.Members, state *ControlState, log hclog.Logger, registry metrics.Registry) *lookup.Server {
	return lookup.NewServer(lookup.ServerConfig{
		Clock:        clock.BootTime{},
		Log:          log.Named("lookup"),
		Metrics:      registry,
		Members:      members,
		HasAuthority: state.HasAuthority,
		Joined:       state.Joined,
	})
}

func newUsageMonitor(l *liveSettings, members *fleet.Members, meter *socket.Meter, pool *origin.Pool, log hclog.Logger, registry metrics.Registry) *usage.Monitor {
	return usage.NewMonitor(usage.Config{
		Clock:             clock.BootTime{},
		Log:               log.Named("limits"),
		Metrics:           registry,
		Limits:            func() usage.Limits { return usageLimits(l.get()) },
		SetNearLimit:      members.SetNearLimit,
		Meter:             meter,
		ServerConnections: pool.Open,
	})
}

func usageLimits(s Settings) usage.Limits {
	return usage.Limits{MemoryMB: s.MemoryMB, MaxFDs: s.MaxFDs, Cores: s.processor(), LinkMbitPerS: s.LinkMbitPerS}
}
