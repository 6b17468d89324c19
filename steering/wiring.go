package steering

import (
	"crypto/rand"
	"encoding/hex"
	"io"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/gateway"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
)

const (
	incarnationBytes = 6
)

// container returns the constructors of all the parts.
func container(adapter Adapter, logOutput io.Writer) (*dig.Container, error) {
	c := dig.New()
	constructors := []any{
		func() Adapter { return adapter },
		func() Settings { return adapter.Settings },
		newLive,
		metrics.NewRegistry,
		func() clock.Clock { return clock.NewSystem() },
		func(registry metrics.Registry) hclog.Logger {
			return newLog(adapter.Settings.Instance, newQueuedWriter(logOutput, registry))
		},
		newMembers,
		placement.NewCrashes,
		newTable,
		newKnowledge,
		newMembership,
		newTransport,
		newGossip,
		newRates,
		newPool,
		newBudget,
		newRequestHandler,
		newCallers,
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
	}, s.Bounds.Authority), nil
}

func newTable(s Settings, crashes *placement.Crashes) *placement.Table {
	return placement.NewTable(placement.TableConfig{
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Regions:       regionNames(s.Regions),
		Used:          !s.FirstStart,
		ColdOverage:   s.Bounds.ColdOverage,
		ColdSlack:     s.Bounds.ColdSlack,
		MaxShift:      s.Bounds.MaxShift,
		Crashes:       crashes,
	})
}

// regionNames lists the regions of the failure domains.
func regionNames(regions map[string]string) []string {
	names := values.NewSet[string]()
	for _, region := range regions {
		names = names.With(region)
	}
	return names.Sorted()
}

func newKnowledge(adapter Adapter, l *live, c clock.Clock, log hclog.Logger, registry metrics.Registry, table *placement.Table, members *fleet.Members) *Knowledge {
	k := NewKnowledge(KnowledgeConfig{
		Boot:    clock.Boot{},
		Clock:   c,
		Log:     log.Named("knowledge"),
		Metrics: registry,
		Decoder: adapter.Decoder,
		Table:   table,
		Members: members,
		Term:    func() clock.Millis { return l.get().Bounds.Authority },
	})
	k.Attach(fleet.NewReplica(adapter.RulesTable, k.RulesChanged), fleet.NewReplica(adapter.ServersTable, k.ServersChanged))
	return k
}

func newMembership(members *fleet.Members, k *Knowledge, table *placement.Table) *membership {
	return &membership{boot: clock.Boot{}, members: members, knowledge: k, table: table}
}

func newTransport(s Settings, log hclog.Logger) (*peer.Transport, error) {
	tls, err := peer.NewInstanceTLS(s.PeerAddress)
	if err != nil {
		return nil, err
	}
	return peer.NewTransport(peer.TransportConfig{Address: s.PeerAddress, TLS: tls, Log: log.Named("peer"), CloseIdle: true})
}

func newGossip(k *Knowledge, members *fleet.Members, network *peer.Transport, c clock.Clock, crashes *placement.Crashes, log hclog.Logger) *fleet.Gossip {
	g := fleet.NewGossip(fleet.GossipConfig{
		Clock:         clock.Boot{},
		Log:           log.Named("gossip"),
		Network:       network,
		Members:       members,
		Tables:        []*fleet.Replica{k.Rules, k.Servers},
		OnPeerRestart: network.Disconnect,
		CrashingRequests: func() []uint64 {
			var out []uint64
			for _, f := range crashes.Held() {
				out = append(out, uint64(f))
			}
			return out
		},
		Quarantine: func(f uint64) { crashes.Hold(c.Now(), placement.Fingerprint(f)) },
	})
	k.OnNews(g.NotifyNeighbors)
	return g
}

func newRates(s Settings, m *membership, c clock.Clock, network *peer.Transport, log hclog.Logger) *Rates {
	return NewRates(RatesConfig{
		Clock:   c,
		Log:     log.Named("rates"),
		Network: network,
		Keeper:  m.keeper,
		Self:    s.Instance,
		Limit:   m.limit,
		Members: m.count,
	})
}

func newPool(adapter Adapter, c clock.Clock, registry metrics.Registry, table *placement.Table) *origin.Pool {
	return origin.NewPool(origin.PoolConfig{
		Clock:          c,
		Dialect:        adapter.Dialect,
		Metrics:        registry,
		MaxConnections: table.Connections,
		Dialled:        table.SetDistance,
	})
}

func newBudget(l *live, m *membership) *Budget {
	return NewBudget(BudgetConfig{Bounds: func() Bounds { return l.get().Bounds }, Members: m.count})
}

func newRequestHandler(adapter Adapter, c clock.Clock, log hclog.Logger, registry metrics.Registry, k *Knowledge, table *placement.Table, pool *origin.Pool, budget *Budget, rates *Rates, crashes *placement.Crashes) *Handler {
	return NewHandler(HandlerConfig{
		Clock:     c,
		Log:       log.Named("request"),
		Metrics:   registry,
		Dialect:   adapter.Dialect,
		Knowledge: k,
		Table:     table,
		Pool:      pool,
		Budget:    budget,
		Rates:     rates,
		Crashes:   crashes,
	})
}

func newCallers(h *Handler, k *Knowledge, log hclog.Logger) *gateway.Server {
	return gateway.NewServer(gateway.ServerConfig{Handler: h, Log: log.Named("gateway"), Limits: k.Limits})
}
