package peer

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/authority"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/tableservice"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
)

type (
	// cutNetwork carries calls between fleets in this process. Links can be cut
	// one way or both ways, and calls or answers are lost at random.
	cutNetwork struct {
		mu      sync.Mutex
		random  *rand.Rand
		servers map[string]*Server
		cut     map[[2]string]bool
		noStore map[string]bool
		storeUp bool
	}

	// cutEnd is one fleet's end of the network and its path to the table.
	cutEnd struct {
		network *cutNetwork
		address string
		table   *tableservice.MemoryTable
	}

	// acceptance is a change that an operator was told is accepted.
	acceptance struct {
		revision int64
		at       time.Time
	}
)

const (
	cutNodes   = 5
	cutTerm    = 300 * clock.Millis(1)
	lossInCuts = 20
)

var (
	cutTime = flag.Duration("cut_time", 12*time.Second, "length of the run with cut links")
	cutSeed = flag.Uint64("cut_seed", 1, "seed of the run with cut links")
)

func (n *cutNetwork) drop(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}] || n.random.IntN(lossInCuts) == 0
}

// Call implements Network.
func (e *cutEnd) Call(ctx context.Context, address string, request *wire.PeerRequest) (*wire.PeerResponse, error) {
	server := e.network.servers[address]
	if server == nil || e.network.drop(e.address, address) {
		<-ctx.Done()
		return nil, ErrUnreachable.New("cut")
	}
	response := server.Handle(ctx, request)
	if e.network.drop(address, e.address) {
		<-ctx.Done()
		return nil, ErrNoAnswer.New("cut")
	}
	return response, nil
}

func (e *cutEnd) reachable() bool {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	return e.network.storeUp && !e.network.noStore[e.address]
}

// Read implements tableservice.Table.
func (e *cutEnd) Read(ctx context.Context, prefix string) ([]*wire.Row, error) {
	if !e.reachable() {
		return nil, tableservice.ErrUnavailable.New("cut")
	}
	return e.table.Read(ctx, prefix)
}

// Commit implements tableservice.Table. Some answers are lost after the write.
func (e *cutEnd) Commit(ctx context.Context, tx *wire.Transaction) (bool, error) {
	if !e.reachable() {
		return false, tableservice.ErrUnavailable.New("cut")
	}
	committed, err := e.table.Commit(ctx, tx)
	if e.network.drop("table", e.address) {
		return false, tableservice.ErrUnknownResult.New("lost")
	}
	return committed, err
}

// change cuts or heals something at random.
func (n *cutNetwork) change(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := addresses[n.random.IntN(len(addresses))]
	b := addresses[n.random.IntN(len(addresses))]
	switch n.random.IntN(9) {
	case 0:
		n.cut[[2]string{a, b}] = true
	case 1:
		n.cut[[2]string{a, b}] = true
		n.cut[[2]string{b, a}] = true
	case 2:
		n.noStore[a] = true
	case 3:
		n.storeUp = !n.storeUp
	case 4:
		n.isolate(a, addresses)
		n.noStore[a] = true
	case 5:
		// One instance alone reaches the table service, the rest each other.
		n.isolate(a, addresses)
		for _, other := range addresses {
			n.noStore[other] = other != a
		}
	default:
		clear(n.cut)
		clear(n.noStore)
		n.storeUp = true
	}
}

func (n *cutNetwork) isolate(address string, addresses []string) {
	for _, other := range addresses {
		n.cut[[2]string{address, other}] = true
		n.cut[[2]string{other, address}] = true
	}
}

// TestCutsNeverLetOldStatesAct cuts links between instances and to the table
// service at random while operators change the state. An instance with
// authority has every change that was accepted a term ago, revisions never
// fall, and the parts of all that have authority add up to no more than one.
func TestCutsNeverLetOldStatesAct(t *testing.T) {
	network := &cutNetwork{
		random:  rand.New(rand.NewPCG(*cutSeed, 0)),
		servers: make(map[string]*Server), cut: make(map[[2]string]bool), noStore: make(map[string]bool), storeUp: true,
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fleets, addresses := startCutFleets(ctx, network)
	var mu sync.Mutex
	var accepted []acceptance
	for i := range 2 {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				result := fleets[(n+i)%cutNodes].Change(ctx, &wire.ChangeRequest{
					Id:                    fmt.Sprint("change-", i, "-", n),
					ExpectedRulesRevision: fleets[(n+i)%cutNodes].State().GetRulesRevision(),
					Change:                &wire.ChangeRequest_RulesText{RulesText: fmt.Sprintf("region r%d link_mbit_per_s=1 # asked by Ana: x\n", n)},
				})
				if result.GetAccepted() {
					mu.Lock()
					accepted = append(accepted, acceptance{result.GetRevision(), time.Now()})
					mu.Unlock()
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	highest := make([]int64, cutNodes)
	withAuthority, checks := 0, 0
	for end := time.Now().Add(*cutTime); time.Now().Before(end); {
		network.change(addresses)
		for range 120 {
			time.Sleep(5 * time.Millisecond)
			due := lastDue(&mu, &accepted)
			held := 0.0
			for i, f := range fleets {
				checks++
				revision, has := f.State().GetRevision(), f.HasAuthority()
				if has {
					withAuthority++
					held += f.RateAllowance(func(s *wire.State) float64 { return authority.SlotShare(s, f.Incarnation()) })
				}
				if now := f.State().GetRevision(); has && now < due {
					t.Fatalf("instance %d acts on revision %d, %d was accepted a term ago", i, now, due)
				}
				if revision < highest[i] {
					t.Fatalf("instance %d fell from revision %d to %d", i, highest[i], revision)
				}
				highest[i] = revision
			}
			if held > 1.0001 {
				t.Fatalf("instances with authority hold %.2f of the slots", held)
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d changes accepted, authority in %d of %d checks, revisions %v", len(accepted), withAuthority, checks, highest)
	if len(accepted) == 0 {
		t.Error("no change was accepted")
	}
}

// lastDue returns the highest revision that was accepted more than a term ago.
func lastDue(mu *sync.Mutex, accepted *[]acceptance) int64 {
	mu.Lock()
	defer mu.Unlock()
	var due int64
	for _, a := range *accepted {
		if time.Since(a.at) > cutTerm.Duration() {
			due = max(due, a.revision)
		}
	}
	return due
}

func startCutFleets(ctx context.Context, network *cutNetwork) (fleets []*Fleet, addresses []string) {
	table := tableservice.NewMemoryTable()
	for i := range cutNodes {
		addresses = append(addresses, fmt.Sprint("node-", i))
	}
	system := clock.NewSystem()
	for i, address := range addresses {
		end := &cutEnd{network: network, address: address, table: table}
		f := NewFleet(FleetConfig{
			Self:      &wire.Seat{Incarnation: fmt.Sprint("inc-", i), Instance: address, Region: "r", PeerAddress: address},
			SeedPeers: addresses, MinSlots: 2 * cutNodes, Clock: system, Table: end, Network: end, Log: hclog.NewNullLogger(),
			Timing: Timing{
				AuthorityTerm: cutTerm, PollInterval: 30, StoreReadInterval: 40, LoanTerm: 100, SuspicionTimeout: 250,
			},
		})
		loans := NewRateLimiter(RateLimiterConfig{Fleet: f, Clock: system, Network: end, Log: hclog.NewNullLogger(), Term: 100, MaxWait: 10})
		network.servers[address] = NewServer(f, loans, nil)
		fleets = append(fleets, f)
	}
	for _, f := range fleets {
		go f.Run(ctx)
	}
	return fleets, addresses
}
