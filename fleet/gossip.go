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
		// OnPeerRestart is called with the address of a peer that has restarted,
		// because connections to its former process are dead.
		OnPeerRestart func(address string)
		// Observations is what this instance and its peers learn from backend servers; it may
		// be nil.
		Observations Observations
	}

	// Observations is what an instance learns from backend servers before the platform does.
	Observations interface {
		// Get returns what is known here.
		Get() *wire.Observations
		// Record adds what a peer knows. The peer stated the ages at most the transit
		// time ago.
		Record(peer string, received *wire.Observations, transit clock.Millis)
	}

	// Gossip exchanges table updates and heartbeats with peers. In each round
	// it asks a few peers for what they know and this instance does not.
	Gossip struct {
		config GossipConfig
		// fetching is set while an exchange that may transfer full tables runs,
		// so that only one peer at a time sends them.
		fetching atomic.Bool

		mu sync.Mutex
		// unresponsive holds, by address, whether the last call to a peer failed.
		unresponsive map[string]bool
	}
)

const (
	gossipInterval = 500 * time.Millisecond
	gossipTimeout  = time.Second
	// sameRegionFanout and otherRegionFanout are how many peers that are alive are
	// asked in each round, in this instance's region and in other regions.
	sameRegionFanout  = 2
	otherRegionFanout = 1
	// isolatedFanout is how many silent peers are asked in each round while no
	// peer counts as alive.
	isolatedFanout = 6
)

// NewGossip returns a Gossip that is idle until Run is called.
func NewGossip(config GossipConfig) *Gossip {
	return &Gossip{config: config, unresponsive: make(map[string]bool)}
}

// Run exchanges updates in rounds until the context ends.
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

// round asks a few peers that are alive and one silent peer, or several silent
// peers if none is alive.
func (g *Gossip) round(ctx context.Context) {
	alive := g.config.Members.Alive(g.config.Clock.Now())
	silent := g.silentPeers(alive)
	asked := silent[:min(len(silent), 1)]
	if len(alive) == 0 {
		asked = silent[:min(len(silent), isolatedFanout)]
	}
	for _, member := range append(asked, g.pickPeers(alive)...) {
		go g.Exchange(ctx, member.GetPeerAddress())
	}
}

// pickPeers draws the peers of a round from this instance's neighbors only, so that
// it keeps few connections. An instance that is almost alone in its region asks more of the
// others: leases and heartbeats of small fleets would spread too slowly.
func (g *Gossip) pickPeers(alive []*wire.FleetInstance) []*wire.FleetInstance {
	sameRegion, otherRegions := g.neighbors(alive)
	picked := sample(sameRegion, sameRegionFanout)
	return append(picked, sample(otherRegions, otherRegionFanout+sameRegionFanout-len(picked))...)
}

// neighbors returns this instance's neighbors in its own region and in the others.
func (g *Gossip) neighbors(alive []*wire.FleetInstance) (sameRegion, otherRegions []*wire.FleetInstance) {
	self := g.config.Members.Self()
	for _, member := range alive {
		if member.GetRegion() == self.GetRegion() {
			sameRegion = append(sameRegion, member)
		} else {
			otherRegions = append(otherRegions, member)
		}
	}
	return neighbors(self, sameRegion), neighbors(self, otherRegions)
}

// NotifyNeighbors starts an exchange with each neighbor in this instance's region
// at once, so that an update does not wait for the next round. A neighbor that
// fetches the update does the same.
func (g *Gossip) NotifyNeighbors() {
	sameRegion, _ := g.neighbors(g.config.Members.Alive(g.config.Clock.Now()))
	for _, member := range sameRegion {
		go g.Exchange(context.Background(), member.GetPeerAddress())
	}
}

// Notify exchanges updates with the peers at some addresses at once.
func (g *Gossip) Notify(addresses []string) {
	for _, address := range addresses {
		go g.Exchange(context.Background(), address)
	}
}

// silentPeers returns the known peers that are not alive, in random order.
func (g *Gossip) silentPeers(alive []*wire.FleetInstance) []*wire.FleetInstance {
	aliveNames := make(map[string]struct{}, len(alive))
	for _, member := range alive {
		aliveNames[member.GetInstance()] = struct{}{}
	}
	var out []*wire.FleetInstance
	for _, member := range g.config.Members.Known() {
		if _, ok := aliveNames[member.GetInstance()]; !ok {
			out = append(out, member)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Exchange exchanges updates with the peer at an address and reports whether it
// answered. While this instance has no copy of a table, one exchange at a time
// requests it.
func (g *Gossip) Exchange(ctx context.Context, address string) bool {
	includeMissing := false
	if g.lacksTable() {
		includeMissing = g.fetching.CompareAndSwap(false, true)
		if includeMissing {
			defer g.fetching.Store(false)
		}
	}
	return g.exchange(ctx, address, includeMissing)
}

// fetch requests tables from a peer with newer ones, unless another exchange already
// does so.
func (g *Gossip) fetch(ctx context.Context, address string) {
	if !g.fetching.CompareAndSwap(false, true) {
		return
	}
	defer g.fetching.Store(false)
	g.exchange(ctx, address, true)
}

// exchange exchanges updates with a peer, and then requests the membership entries
// that the answer refers to and that are not known here. It requests tables that
// this instance lacks only if includeMissing is set.
func (g *Gossip) exchange(ctx context.Context, address string, includeMissing bool) bool {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	states := g.config.Members.States(g.config.Clock.Now())
	unknown, ok := g.call(ctx, address, states, &wire.Gossip{
		Sender: g.config.Members.Self(), Tables: g.digests(includeMissing), Observations: g.observations(),
		KnownLeases: g.config.Members.KnownLeases(), StatesDigest: digestStates(states),
	})
	if ok && len(unknown) > 0 {
		_, ok = g.call(ctx, address, nil, &wire.Gossip{Sender: g.config.Members.Self(), Unknown: unknown})
	}
	return ok
}

// call sends one message and applies the answer, given the state hashes that the message stands
// for. It returns the hashes of the entries that are not known here.
func (g *Gossip) call(ctx context.Context, address string, states []uint64, message *wire.Gossip) (unknown []uint64, ok bool) {
	askedAt := g.config.Clock.Now()
	response, err := g.config.Network.Call(ctx, address, &wire.PeerRequest{Body: &wire.PeerRequest_Gossip{Gossip: message}})
	g.logReachability(address, err)
	if err != nil {
		return nil, false
	}
	return g.applyAnswer(response.GetGossip(), states, askedAt), true
}

// lacksTable reports whether this instance has no copy yet of at least one table.
func (g *Gossip) lacksTable() bool {
	for _, table := range g.config.Tables {
		if _, known := table.AsOf(); !known {
			return true
		}
	}
	return false
}

// logReachability logs when a peer stops answering and when it answers again.
func (g *Gossip) logReachability(address string, err error) {
	g.mu.Lock()
	wasUnresponsive := g.unresponsive[address]
	g.unresponsive[address] = err != nil
	g.mu.Unlock()
	switch {
	case err != nil && !wasUnresponsive:
		g.config.Log.Warn("peer does not answer", "peer", address, "error", err.Error())
	case err == nil && wasUnresponsive:
		g.config.Log.Info("peer answers again", "peer", address)
	}
}

// digests returns the version and age of each table known here and, if
// includeMissing is set, a digest of version zero for each of the others.
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

// applyAnswer applies a peer's answer. It returns the hashes of the entries that are
// not known here.
func (g *Gossip) applyAnswer(answer *wire.GossipAnswer, states []uint64, askedAt clock.Millis) []uint64 {
	g.config.Members.Record(answer.GetSender(), askedAt)
	g.config.Members.RecordOwnPredecessor(answer.GetPredecessor())
	for _, info := range answer.GetMembers() {
		if g.config.Members.RecordReport(info, askedAt) {
			g.config.OnPeerRestart(info.GetPeerAddress())
		}
	}
	unknown, restarted := g.config.Members.RecordHeartbeats(answer, states, askedAt)
	for _, address := range restarted {
		g.config.OnPeerRestart(address)
	}
	g.recordPeerAges(answer.GetTables(), askedAt)
	updates, err := decodeUpdates(answer.GetNews())
	if err != nil {
		g.config.Log.Warn("failed to decode updates from a peer", "peer", answer.GetSender().GetInstance(), "error", err.Error())
	}
	for _, delta := range updates.GetTables() {
		if table := g.findTable(delta.GetTable()); table != nil {
			table.Apply(delta, askedAt-clock.Millis(max(delta.GetAgeMs(), 0)))
		}
	}
	g.recordObservations(answer.GetSender(), answer.GetObservations(), g.config.Clock.Now()-askedAt)
	return unknown
}

// observations returns what this instance has learned from backend servers.
func (g *Gossip) observations() *wire.Observations {
	if g.config.Observations == nil {
		return nil
	}
	return g.config.Observations.Get()
}

// recordObservations records what a peer has learned from backend servers.
func (g *Gossip) recordObservations(sender *wire.FleetInstance, received *wire.Observations, transit clock.Millis) {
	if g.config.Observations != nil && received != nil {
		g.config.Observations.Record(sender.GetInstance(), received, transit)
	}
}

// recordPeerAges records how recent a peer's tables are.
func (g *Gossip) recordPeerAges(digests []*wire.TableDigest, at clock.Millis) {
	for _, digest := range digests {
		if table := g.findTable(digest.GetTable()); table != nil {
			table.RecordPeerAsOf(at - clock.Millis(max(digest.GetAgeMs(), 0)))
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

// Handle answers a peer's gossip. A peer that has a newer version of a table is
// asked for it in turn.
func (g *Gossip) Handle(ctx context.Context, request *wire.Gossip) *wire.GossipAnswer {
	now := g.config.Clock.Now()
	if g.config.Members.Record(request.GetSender(), now) {
		g.config.OnPeerRestart(request.GetSender().GetPeerAddress())
	}
	g.recordPeerAges(request.GetTables(), now)
	g.recordObservations(request.GetSender(), request.GetObservations(), 0)
	answer := &wire.GossipAnswer{Sender: g.config.Members.Self(), Members: g.config.Members.Entries(request.GetUnknown(), now), Tables: g.digests(true)}
	answer.Predecessor = g.config.Members.Predecessor(request.GetSender().GetInstance(), now)
	if len(request.GetUnknown()) == 0 {
		g.config.Members.AddHeartbeats(answer, request, now)
	}
	peerIsNewer := false
	updates := &wire.GossipNews{}
	for _, digest := range request.GetTables() {
		table := g.findTable(digest.GetTable())
		if table == nil {
			continue
		}
		if delta := table.DeltaSince(digest.GetVersion(), now); delta != nil {
			updates.Tables = append(updates.Tables, delta)
		}
		peerIsNewer = peerIsNewer || digest.GetVersion() > table.Version()
	}
	if peerIsNewer {
		go g.fetch(context.WithoutCancel(ctx), request.GetSender().GetPeerAddress())
	}
	answer.News = encodeUpdates(updates)
	answer.Observations = g.observations()
	return answer
}
