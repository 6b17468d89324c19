package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
)

type (
	// GossipConfig configures a Gossip.
	GossipConfig struct {
		Clock   clock.Clock
		Log     hclog.Logger
		Network peer.Network
		Members *Members
		Tables  []*Replica
		// Restarted is told the address of a peer that has started again, for
		// connections to its former process lead nowhere.
		Restarted func(address string)
		// Crashing lists the fingerprints of requests that crash backend servers.
		Crashing func() []uint64
		// Quarantine takes in a peer's word on such a request.
		Quarantine func(fingerprint uint64)
	}

	// Gossip exchanges news and heartbeats with peers: each round asks a few of
	// them for what they know and this instance does not.
	Gossip struct {
		config  GossipConfig
		mu      sync.Mutex
		trouble map[string]bool
	}
)

const (
	gossipInterval = 500 * time.Millisecond
	gossipTimeout  = time.Second
	// nearFanOut and farFanOut are how many running peers of the own region and
	// of others are asked a round.
	nearFanOut = 2
	farFanOut  = 1
	// lonelyFanOut is how many silent peers are asked while none is running.
	lonelyFanOut = 6
)

// NewGossip returns a gossip that has not begun.
func NewGossip(config GossipConfig) *Gossip {
	return &Gossip{config: config, trouble: make(map[string]bool)}
}

// Run exchanges news until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		g.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round asks a few running peers, and one that has been silent.
func (g *Gossip) round(ctx context.Context) {
	alive := g.config.Members.Alive(g.config.Clock.Now())
	silent := g.silent(alive)
	asked := silent[:min(len(silent), 1)]
	if len(alive) == 0 {
		asked = silent[:min(len(silent), lonelyFanOut)]
	}
	for _, member := range append(asked, g.pick(alive)...) {
		go g.Ask(ctx, member.GetPeerAddress())
	}
}

// pick draws the running peers of a round.
func (g *Gossip) pick(alive []*wire.FleetInstance) []*wire.FleetInstance {
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	region := g.config.Members.Self().GetRegion()
	near, far := nearFanOut, farFanOut
	var out []*wire.FleetInstance
	for _, member := range alive {
		left := &far
		if member.GetRegion() == region {
			left = &near
		}
		if *left > 0 {
			*left--
			out = append(out, member)
		}
	}
	return out
}

// Spread tells all running peers of the own region at once that there is news.
func (g *Gossip) Spread() {
	region := g.config.Members.Self().GetRegion()
	for _, member := range g.config.Members.Alive(g.config.Clock.Now()) {
		if member.GetRegion() == region {
			go g.Ask(context.Background(), member.GetPeerAddress())
		}
	}
}

func (g *Gossip) silent(alive []*wire.FleetInstance) []*wire.FleetInstance {
	running := make(map[string]struct{}, len(alive))
	for _, member := range alive {
		running[member.GetInstance()] = struct{}{}
	}
	var out []*wire.FleetInstance
	for _, member := range g.config.Members.Known() {
		if _, ok := running[member.GetInstance()]; !ok {
			out = append(out, member)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Ask exchanges news with the peer at an address and reports whether it answered.
func (g *Gossip) Ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	askedAt := g.config.Clock.Now()
	response, err := g.config.Network.Call(ctx, address, &wire.PeerRequest{
		Body: &wire.PeerRequest_Gossip{Gossip: &wire.Gossip{Sender: g.config.Members.Self(), Tables: g.digests()}},
	})
	g.note(address, err)
	if err != nil {
		return false
	}
	g.takeIn(response.GetGossip(), askedAt)
	return true
}

// note logs a peer that stops or begins to answer.
func (g *Gossip) note(address string, err error) {
	g.mu.Lock()
	was := g.trouble[address]
	g.trouble[address] = err != nil
	g.mu.Unlock()
	switch {
	case err != nil && !was:
		g.config.Log.Warn("peer does not answer", "peer", address, "error", err.Error())
	case err == nil && was:
		g.config.Log.Info("peer answers again", "peer", address)
	}
}

// digests says how new this instance's tables are.
func (g *Gossip) digests() []*wire.TableDigest {
	now := g.config.Clock.Now()
	out := make([]*wire.TableDigest, 0, len(g.config.Tables))
	for _, table := range g.config.Tables {
		asOf, known := table.AsOf()
		if known {
			out = append(out, &wire.TableDigest{Table: table.Name(), Version: table.Version(), AgeMs: int64(now - asOf)})
		} else {
			out = append(out, &wire.TableDigest{Table: table.Name(), AgeMs: int64(now)})
		}
	}
	return out
}

func (g *Gossip) takeIn(answer *wire.GossipAnswer, askedAt clock.Millis) {
	g.config.Members.Heard(answer.GetSender(), askedAt)
	for _, info := range answer.GetMembers() {
		if g.config.Members.HeardOf(info, askedAt) {
			g.config.Restarted(info.GetPeerAddress())
		}
	}
	g.noteAges(answer.GetTables(), askedAt)
	news, err := unpack(answer.GetNews())
	if err != nil {
		g.config.Log.Warn("a peer's news cannot be read", "peer", answer.GetSender().GetInstance(), "error", err.Error())
	}
	for _, delta := range news.GetTables() {
		if table := g.table(delta.GetTable()); table != nil {
			table.Apply(delta, askedAt-clock.Millis(delta.GetAgeMs()))
		}
	}
	for _, fingerprint := range answer.GetCrashing() {
		g.config.Quarantine(fingerprint)
	}
}

// noteAges takes in how new a peer's tables are.
func (g *Gossip) noteAges(digests []*wire.TableDigest, at clock.Millis) {
	for _, digest := range digests {
		if table := g.table(digest.GetTable()); table != nil {
			table.NotePeer(at - clock.Millis(digest.GetAgeMs()))
		}
	}
}

func (g *Gossip) table(name string) *Replica {
	for _, table := range g.config.Tables {
		if table.Name() == name {
			return table
		}
	}
	return nil
}

// Handle answers a peer's gossip. A peer that knows more is asked in turn.
func (g *Gossip) Handle(ctx context.Context, asked *wire.Gossip) *wire.GossipAnswer {
	now := g.config.Clock.Now()
	if g.config.Members.Heard(asked.GetSender(), now) {
		g.config.Restarted(asked.GetSender().GetPeerAddress())
	}
	g.noteAges(asked.GetTables(), now)
	answer := &wire.GossipAnswer{Sender: g.config.Members.Self(), Members: g.config.Members.Report(now), Tables: g.digests()}
	ahead := false
	news := &wire.GossipNews{}
	for _, digest := range asked.GetTables() {
		table := g.table(digest.GetTable())
		if table == nil {
			continue
		}
		if delta := table.Since(digest.GetVersion(), now); delta != nil {
			news.Tables = append(news.Tables, delta)
		}
		ahead = ahead || digest.GetVersion() > table.Version()
	}
	if ahead {
		go g.Ask(context.WithoutCancel(ctx), asked.GetSender().GetPeerAddress())
	}
	answer.News = pack(news)
	answer.Crashing = g.config.Crashing()
	return answer
}
