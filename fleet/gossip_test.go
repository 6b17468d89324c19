package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
)

// memoryNetwork connects the Gossips of one process. Those that are down do not
// answer.
type memoryNetwork struct {
	peers map[string]*Gossip
	down  map[string]bool
	// calls and bytes count what was sent.
	calls int
	bytes int
}

func (n *memoryNetwork) Call(ctx context.Context, address string, request *wire.PeerRequest) (*wire.PeerResponse, error) {
	if n.down[address] || n.peers[address] == nil {
		return nil, peer.ErrUnreachable.New("peer %s is down", address)
	}
	answer := n.peers[address].Handle(ctx, request.GetGossip())
	n.calls++
	n.bytes += proto.Size(request) + proto.Size(answer)
	return &wire.PeerResponse{Body: &wire.PeerResponse_Gossip{Gossip: answer}}, nil
}

// newMemoryFleet returns the given number of instances in three regions, each of
// which knows only a few of the others at first.
func newMemoryFleet(count int, c clock.Clock) (*memoryNetwork, []*Gossip) {
	n := &memoryNetwork{peers: make(map[string]*Gossip), down: make(map[string]bool)}
	var infos []*wire.FleetInstance
	var list []*Gossip
	for i := range count {
		info := &wire.FleetInstance{
			Incarnation: fmt.Sprint("p-", i), Instance: fmt.Sprint("i-", i), Region: fmt.Sprint("r-", i%3),
			PeerAddress: fmt.Sprint("a-", i), Ready: true,
		}
		infos = append(infos, info)
		g := NewGossip(GossipConfig{
			Clock: c, Log: hclog.NewNullLogger(), Network: n, Members: NewMembers(info, 5*clock.Second),
			OnPeerRestart: func(string) {},
		})
		n.peers[info.GetPeerAddress()] = g
		list = append(list, g)
		if i > 0 {
			g.config.Members.Record(infos[rand.IntN(i)], c.Now())
		}
		for range 3 {
			g.config.Members.Record(infos[rand.IntN(len(infos))], c.Now())
		}
	}
	return n, list
}

// runRounds runs the rounds of every instance that is up for a time span, each
// instance at its own phase, and calls check after each step.
func runRounds(t *testing.T, n *memoryNetwork, list []*Gossip, c *clock.Manual, span clock.Millis, check func(at clock.Millis)) {
	t.Helper()
	const step = 50 * clock.Millis(1)
	phases := int(clock.Millis(gossipInterval.Milliseconds()) / step)
	for at := clock.Millis(0); at < span; at += step {
		for i, g := range list {
			if i%phases != int(at/step)%phases || n.down[g.config.Members.Self().GetPeerAddress()] {
				continue
			}
			for _, member := range g.pickPeers(g.config.Members.Alive(c.Now())) {
				g.Exchange(t.Context(), member.GetPeerAddress())
			}
		}
		c.Advance(step)
		check(at)
	}
}

// TestGossipDropsOnlyDeadInstances guards against a running instance that does not count
// as alive because its heartbeats spread too slowly in a large fleet, and against a dead
// one that goes on counting as alive.
func TestGossipDropsOnlyDeadInstances(t *testing.T) {
	for name, count := range map[string]int{"7 instances": 7, "37 instances": 37, "300 instances": 300} {
		t.Run(name, func(t *testing.T) {
			c := &clock.Manual{}
			c.Set(1000 * clock.Second)
			n, list := newMemoryFleet(count, c)
			runRounds(t, n, list, c, 4*clock.Second, func(clock.Millis) {})
			n.calls, n.bytes = 0, 0
			const span = 3 * clock.Second
			missing := 0
			runRounds(t, n, list, c, span, func(clock.Millis) {
				for _, g := range list {
					missing += count - 1 - len(g.config.Members.Alive(c.Now()))
				}
			})
			if missing > 0 {
				t.Errorf("running instances did not count as alive %d times", missing)
			}
			t.Logf("%.1f calls and %.0f bytes per second and instance", float64(n.calls)/span.Seconds()/float64(count), float64(n.bytes)/span.Seconds()/float64(count))
			dead := list[count/2].config.Members.Self()
			n.down[dead.GetPeerAddress()] = true
			runRounds(t, n, list, c, aliveTimeoutFor(count)+clock.Second, func(clock.Millis) {})
			for i, g := range list {
				if i != count/2 && len(g.config.Members.Alive(c.Now())) != count-2 {
					t.Errorf("instance %d counts %d others as alive, want %d", i, len(g.config.Members.Alive(c.Now())), count-2)
				}
			}
		})
	}
}

// TestReadinessSpreadsThroughPeers makes a ready instance not ready, ready and not
// ready again. A peer that hears of it only through another peer must see each
// change, also when the instance returns to an earlier entry.
func TestReadinessSpreadsThroughPeers(t *testing.T) {
	c := &clock.Manual{}
	c.Set(1000 * clock.Second)
	n, list := newMemoryFleet(3, c)
	first, last := list[0].config.Members, list[2].config.Members
	for _, ready := range []bool{false, true, false} {
		c.Advance(100)
		first.SetReady(ready)
		list[1].Exchange(t.Context(), "a-0")
		list[2].Exchange(t.Context(), "a-1")
		for _, info := range last.Known() {
			if info.GetInstance() == "i-0" && info.GetReady() != ready {
				t.Fatalf("ready is %v, want %v", info.GetReady(), ready)
			}
		}
	}
	if n.calls == 0 {
		t.Fatal("no call was made")
	}
}
