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
	// faultyNetwork carries calls between fleets in this process. Links can be cut
	// in one or both directions, and requests and responses are lost at random.
	faultyNetwork struct {
		mu           sync.Mutex
		random       *rand.Rand
		servers      map[string]*Server
		blockedLinks map[[2]string]bool
		storeBlocked map[string]bool
		storeUp      bool
	}

	// faultyEndpoint is one instance's end of the network and its path to the
	// table service.
	faultyEndpoint struct {
		network *faultyNetwork
		address string
		table   *tableservice.MemoryTable
	}

	// acceptedChange is a change that was reported to an operator as accepted.
	acceptedChange struct {
		revision int64
		at       time.Time
	}
)

const (
	partitionInstances = 5
	partitionTerm      = 300 * clock.Millis(1)
	// lossInverse is the inverse of the probability that a message is lost.
	lossInverse = 20
)

var (
	partitionTime = flag.Duration("cut_time", 12*time.Second, "length of the test with cut links")
	partitionSeed = flag.Uint64("cut_seed", 1, "seed of the test with cut links")
)

func (n *faultyNetwork) drop(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blockedLinks[[2]string{from, to}] || n.random.IntN(lossInverse) == 0
}

// Call implements Network.
func (e *faultyEndpoint) Call(ctx context.Context, address string, request *wire.PeerRequest) (*wire.PeerResponse, error) {
	server := e.network.servers[address]
	if server == nil || e.network.drop(e.address, address) {
		<-ctx.Done()
		return nil, ErrUnreachable.New("link is cut")
	}
	response := server.Handle(ctx, request)
	if e.network.drop(address, e.address) {
		<-ctx.Done()
		return nil, ErrNoResponse.New("response was lost")
	}
	return response, nil
}

func (e *faultyEndpoint) storeReachable() bool {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	return e.network.storeUp && !e.network.storeBlocked[e.address]
}

// Read implements tableservice.Table.
func (e *faultyEndpoint) Read(ctx context.Context, prefix string) ([]*wire.Row, error) {
	if !e.storeReachable() {
		return nil, tableservice.ErrUnavailable.New("path is cut")
	}
	return e.table.Read(ctx, prefix)
}

// Commit implements tableservice.Table. Some responses are lost after the write.
func (e *faultyEndpoint) Commit(ctx context.Context, tx *wire.Transaction) (bool, error) {
	if !e.storeReachable() {
		return false, tableservice.ErrUnavailable.New("path is cut")
	}
	committed, err := e.table.Commit(ctx, tx)
	if e.network.drop("table", e.address) {
		return false, tableservice.ErrUnknownResult.New("response was lost")
	}
	return committed, err
}

// injectFault cuts a link or the path to the table service at random, or repairs
// all of them.
func (n *faultyNetwork) injectFault(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := addresses[n.random.IntN(len(addresses))]
	b := addresses[n.random.IntN(len(addresses))]
	switch n.random.IntN(9) {
	case 0:
		n.blockedLinks[[2]string{a, b}] = true
	case 1:
		n.blockedLinks[[2]string{a, b}] = true
		n.blockedLinks[[2]string{b, a}] = true
	case 2:
		n.storeBlocked[a] = true
	case 3:
		n.storeUp = !n.storeUp
	case 4:
		n.isolate(a, addresses)
		n.storeBlocked[a] = true
	case 5:
		// Only one instance reaches the table service; the others reach only
		// each other.
		n.isolate(a, addresses)
		for _, other := range addresses {
			n.storeBlocked[other] = other != a
		}
	default:
		clear(n.blockedLinks)
		clear(n.storeBlocked)
		n.storeUp = true
	}
}

func (n *faultyNetwork) isolate(address string, addresses []string) {
	for _, other := range addresses {
		n.blockedLinks[[2]string{address, other}] = true
		n.blockedLinks[[2]string{other, address}] = true
	}
}

// TestPartitionsNeverGiveStaleAuthority cuts links between instances and to the
// table service at random while operators change the state. It guards against
// three failures: an instance with authority that lacks a change which was
// accepted more than an authority term ago, a revision that decreases, and
// instances with authority whose shares of the slots add up to more than one.
func TestPartitionsNeverGiveStaleAuthority(t *testing.T) {
	network := &faultyNetwork{
		random:  rand.New(rand.NewPCG(*partitionSeed, 0)),
		servers: make(map[string]*Server), blockedLinks: make(map[[2]string]bool), storeBlocked: make(map[string]bool), storeUp: true,
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fleets, addresses := startPartitionFleets(ctx, network)
	var mu sync.Mutex
	var accepted []acceptedChange
	for i := range 2 {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				result := fleets[(n+i)%partitionInstances].Change(ctx, &wire.ChangeRequest{
					Id:                    fmt.Sprint("change-", i, "-", n),
					ExpectedRulesRevision: fleets[(n+i)%partitionInstances].State().GetRulesRevision(),
					Change:                &wire.ChangeRequest_RulesText{RulesText: fmt.Sprintf("region r%d link_mbit_per_s=1 # asked by Ana: x\n", n)},
				})
				if result.GetAccepted() {
					mu.Lock()
					accepted = append(accepted, acceptedChange{result.GetRevision(), time.Now()})
					mu.Unlock()
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	lastRevisions := make([]int64, partitionInstances)
	withAuthority, checks := 0, 0
	for end := time.Now().Add(*partitionTime); time.Now().Before(end); {
		network.injectFault(addresses)
		for range 120 {
			time.Sleep(5 * time.Millisecond)
			due := highestDueRevision(&mu, &accepted)
			held := 0.0
			for i, f := range fleets {
				checks++
				revision, has := f.State().GetRevision(), f.HasAuthority()
				if has {
					withAuthority++
					held += f.RateAllowance(func(s *wire.State) float64 { return authority.SlotShare(s, f.Incarnation()) })
				}
				if now := f.State().GetRevision(); has && now < due {
					t.Fatalf("instance %d has authority on revision %d although %d was accepted more than a term ago", i, now, due)
				}
				if revision < lastRevisions[i] {
					t.Fatalf("revision of instance %d decreased from %d to %d", i, lastRevisions[i], revision)
				}
				lastRevisions[i] = revision
			}
			if held > 1.0001 {
				t.Fatalf("instances with authority hold %.2f of the slots in total", held)
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d changes accepted, authority in %d of %d checks, last revisions %v", len(accepted), withAuthority, checks, lastRevisions)
	if len(accepted) == 0 {
		t.Error("no change was accepted")
	}
}

// highestDueRevision returns the highest revision that was accepted more than an
// authority term ago.
func highestDueRevision(mu *sync.Mutex, accepted *[]acceptedChange) int64 {
	mu.Lock()
	defer mu.Unlock()
	var due int64
	for _, a := range *accepted {
		if time.Since(a.at) > partitionTerm.Duration() {
			due = max(due, a.revision)
		}
	}
	return due
}

func startPartitionFleets(ctx context.Context, network *faultyNetwork) (fleets []*Fleet, addresses []string) {
	table := tableservice.NewMemoryTable()
	for i := range partitionInstances {
		addresses = append(addresses, fmt.Sprint("node-", i))
	}
	system := clock.NewSystem()
	for i, address := range addresses {
		endpoint := &faultyEndpoint{network: network, address: address, table: table}
		f := NewFleet(FleetConfig{
			Self:      &wire.Seat{Incarnation: fmt.Sprint("inc-", i), Instance: address, Region: "r", PeerAddress: address},
			SeedPeers: addresses, MinSlots: 2 * partitionInstances, Clock: system, Table: endpoint, Network: endpoint, Log: hclog.NewNullLogger(),
			Timing: Timing{
				AuthorityTerm: partitionTerm, PollInterval: 30, StoreReadInterval: 40, LoanTerm: 100, SuspicionTimeout: 250,
			},
		})
		limiter := NewRateLimiter(RateLimiterConfig{Fleet: f, Clock: system, Network: endpoint, Log: hclog.NewNullLogger(), LoanTerm: 100, MaxWait: 10})
		network.servers[address] = NewServer(f, limiter, nil)
		fleets = append(fleets, f)
	}
	for _, f := range fleets {
		go f.Run(ctx)
	}
	return fleets, addresses
}
