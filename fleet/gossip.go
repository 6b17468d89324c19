package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
		// OnPeerRestart is told the address of a peer that has started again, for
		// connections to its former process lead nowhere.
		OnPeerRestart func(address string)
		// CrashingRequests lists the fingerprints of requests that crash backend servers.
		CrashingRequests func() []uint64
		// Quarantine takes in a peer's word on such a request.
		Quarantine func(fingerprint uint64)
	}

	// Gossip exchanges news and heartbeats with peers: each round asks a few of
	// them for what they know and this instance does not.
	Gossip struct {
		config GossipConfig
		// fetching is held by the one call that may bring whole tables.
		fetching atomic.Bool

		mu           sync.Mutex
		unresponsive map[string]bool
	}
)

const (
	gossipInterval = 500 * time.Millisecond
	gossipTimeout  = time.Second
	// sameRegionFanOut and farFanOut are how many running peers of the own region and
	// of others are asked a round.
	sameRegionFanOut  = 2
	otherRegionFanOut = 1
	// isolatedFanOut is how many silent peers are asked while none is running.
	isolatedFanOut = 6
)

// NewGossip returns a gossip that has not begun.
func NewGossip(config GossipConfig) *Gossip {
	return &Gossip{config: config, unresponsive: make(map[string]bool)}
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
	silent := g.silentPeers(alive)
	asked := silent[:min(len(silent), 1)]
	if len(alive) == 0 {
		asked = silent[:min(len(silent), isolatedFanOut)]
	}
	for _, member := range append(asked, g.pickPeers(alive)...) {
		go g.Exchange(ctx, member.GetPeerAddress())
	}
}

// pickPeers draws the peers of a round from this instance's neighbors, so that it
// keeps few connections.
func (g *Gossip) pickPeers(alive []*wire.FleetInstance) []*wire.FleetInstance {
	near, far := g.neighbors(alive)
	return append(sample(near, sameRegionFanOut), sample(far, otherRegionFanOut)...)
}

// neighbors returns this instance's neighbors in its region and in the others.
func (g *Gossip) neighbors(alive []*wire.FleetInstance) (near, far []*wire.FleetInstance) {
	self := g.config.Members.Self()
	for _, member := range alive {
		if member.GetRegion() == self.GetRegion() {
			near = append(near, member)
		} else {
			far = append(far, member)
		}
	}
	return neighbors(self, near), neighbors(self, far)
}

// NotifyNeighbors tells the neighbors in the own region at once that there is news. They
// do the same.
func (g *Gossip) NotifyNeighbors() {
	near, _ := g.neighbors(g.config.Members.Alive(g.config.Clock.Now()))
	for _, member := range near {
		go g.Exchange(context.Background(), member.GetPeerAddress())
	}
}

func (g *Gossip) silentPeers(alive []*wire.FleetInstance) []*wire.FleetInstance {
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

// Exchange exchanges news with the peer at an address and reports whether it
// answered. While this instance lacks a table, one peer at a time is asked for it.
func (g *Gossip) Exchange(ctx context.Context, address string) bool {
	fetches := false
	if g.lacksTable() {
		fetches = g.fetching.CompareAndSwap(false, true)
		if fetches {
			defer g.fetching.Store(false)
		}
	}
	return g.exchange(ctx, address, fetches)
}

// fetch asks a peer that is ahead, unless another one is being asked.
func (g *Gossip) fetch(ctx context.Context, address string) {
	if !g.fetching.CompareAndSwap(false, true) {
		return
	}
	defer g.fetching.Store(false)
	g.exchange(ctx, address, true)
}

// exchange exchanges news with a peer, and asks again for entries of instances that
// the answer shows to be unknown. Tables that this instance lacks are asked for
// only where whole is set.
func (g *Gossip) exchange(ctx context.Context, address string, includeMissing bool) bool {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	unknown, ok := g.call(ctx, address, &wire.Gossip{Sender: g.config.Members.Self(), Tables: g.digests(includeMissing)})
	if ok && len(unknown) > 0 {
		_, ok = g.call(ctx, address, &wire.Gossip{Sender: g.config.Members.Self(), Unknown: unknown})
	}
	return ok
}

// call sends one message and takes in the answer. It returns the states of
// instances whose entries are not known.
func (g *Gossip) call(ctx context.Context, address string, message *wire.Gossip) (unknown []uint64, ok bool) {
	askedAt := g.config.Clock.Now()
	response, err := g.config.Network.Call(ctx, address, &wire.PeerRequest{Body: &wire.PeerRequest_Gossip{Gossip: message}})
	g.logReachability(address, err)
	if err != nil {
		return nil, false
	}
	return g.applyAnswer(response.GetGossip(), askedAt), true
}

// lacksTable reports whether nothing is known yet of a table.
func (g *Gossip) lacksTable() bool {
	for _, table := range g.config.Tables {
		if _, known := table.AsOf(); !known {
			return true
		}
	}
	return false
}

// logReachability logs a peer that stops or begins to answer.
func (g *Gossip) logReachability(address string, err error) {
	g.mu.Lock()
	was := g.unresponsive[address]
	g.unresponsive[address] = err != nil
	g.mu.Unlock()
	switch {
	case err != nil && !was:
		g.config.Log.Warn("peer does not answer", "peer", address, "error", err.Error())
	case err == nil && was:
		g.config.Log.Info("peer answers again", "peer", address)
	}
}

// digests says how new this instance's tables are, with those that it lacks if
// whole is set.
func (g *Gossip) digests(includeMissing bool) []*wire.TableDigest {
	now := g.config.Clock.Now()
	out := make([]*wire.TableDigest, 0, len(g.config.Tables))
	for _, table := range g.config.Tables {
		asOf, known := table.AsOf()
		if known {
			out = append(out, &wire.TableDigest{Table: table.Name(), Version: table.Version(), AgeMs: int64(now - asOf)})
		} else if includeMissing {
			out = append(out, &wire.TableDigest{Table: table.Name(), AgeMs: int64(now)})
		}
	}
	return out
}

// applyAnswer takes in an answer. It returns the states of instances whose entries are
// not known.
func (g *Gossip) applyAnswer(answer *wire.GossipAnswer, askedAt clock.Millis) []uint64 {
	g.config.Members.Record(answer.GetSender(), askedAt)
	for _, info := range answer.GetMembers() {
		if g.config.Members.RecordReport(info, askedAt) {
			g.config.OnPeerRestart(info.GetPeerAddress())
		}
	}
	unknown, restarted := g.config.Members.RecordHeartbeats(answer.GetStates(), answer.GetAges(), askedAt)
	for _, address := range restarted {
		g.config.OnPeerRestart(address)
	}
	g.recordPeerAges(answer.GetTables(), askedAt)
	news, err := decodeNews(answer.GetNews())
	if err != nil {
		g.config.Log.Warn("a peer's news cannot be read", "peer", answer.GetSender().GetInstance(), "error", err.Error())
	}
	for _, delta := range news.GetTables() {
		if table := g.findTable(delta.GetTable()); table != nil {
			table.Apply(delta, askedAt-clock.Millis(delta.GetAgeMs()))
		}
	}
	for _, fingerprint := range answer.GetCrashing() {
		g.config.Quarantine(fingerprint)
	}
	return unknown
}

// recordPeerAges takes in how new a peer's tables are.
func (g *Gossip) recordPeerAges(digests []*wire.TableDigest, at clock.Millis) {
	for _, digest := range digests {
		if table := g.findTable(digest.GetTable()); table != nil {
			table.RecordPeerAsOf(at - clock.Millis(digest.GetAgeMs()))
		}
	}
}

func (g *Gossip) findTable(name string) *Replica {
	for _, table := range g.config.Tables {
		if table.Name() == name {
			return table
		}
	}
	return nil
}

// Handle answers a peer's gossip. A peer that knows more is asked in turn.
func (g *Gossip) Handle(ctx context.Context, request *wire.Gossip) *wire.GossipAnswer {
	now := g.config.Clock.Now()
	if g.config.Members.Record(request.GetSender(), now) {
		g.config.OnPeerRestart(request.GetSender().GetPeerAddress())
	}
	g.recordPeerAges(request.GetTables(), now)
	answer := &wire.GossipAnswer{Sender: g.config.Members.Self(), Members: g.config.Members.Entries(request.GetUnknown(), now), Tables: g.digests(true)}
	if len(request.GetUnknown()) == 0 {
		answer.States, answer.Ages = g.config.Members.Heartbeats(now)
	}
	ahead := false
	news := &wire.GossipNews{}
	for _, digest := range request.GetTables() {
		table := g.findTable(digest.GetTable())
		if table == nil {
			continue
		}
		if delta := table.DeltaSince(digest.GetVersion(), now); delta != nil {
			news.Tables = append(news.Tables, delta)
		}
		ahead = ahead || digest.GetVersion() > table.Version()
	}
	if ahead {
		go g.fetch(context.WithoutCancel(ctx), request.GetSender().GetPeerAddress())
	}
	answer.News = encodeNews(news)
	answer.Crashing = g.config.CrashingRequests()
	return answer
}
