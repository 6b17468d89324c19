package tokens

import (
	"context"
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

type (
	// benchFleet is a Fleet of many instances that all lease to the same six owners.
	benchFleet struct {
		clock   *clock.Manual
		members *fleet.Members
		owners  []Owner
		share   float64
	}

	// benchNetwork delivers token exchanges to one owner and counts their bytes.
	benchNetwork struct {
		owner        *Limiter
		calls, bytes int
	}
)

const (
	benchWorkspaces = 75
	// benchAnswersPerS is the number of gossip answers that an instance gets each second.
	benchAnswersPerS = 6
	// benchRefreshesPerS is the number of refreshes each second.
	benchRefreshesPerS = 4
)

func (f *benchFleet) Share() float64                           { return f.share }
func (f *benchFleet) MayLease() bool                           { return true }
func (f *benchFleet) Owners() []Owner                          { return f.owners }
func (f *benchFleet) HasEnded(Owner) bool                      { return false }
func (f *benchFleet) IsSilent(Owner) bool                      { return false }
func (f *benchFleet) LeaseTerm() clock.Millis                  { return 2 * clock.Second }
func (f *benchFleet) LeaseReports() []fleet.LeaseReport        { return f.members.LeaseReports() }
func (f *benchFleet) SetLease(number int64, lease *wire.Lease) { f.members.SetLease(number, lease) }

func (n *benchNetwork) Call(_ context.Context, _ string, request *wire.PeerRequest) (*wire.PeerResponse, error) {
	response := &wire.PeerResponse{Body: &wire.PeerResponse_TokenGrant{TokenGrant: n.owner.HandleTokenAsk(request.GetTokenAsk())}}
	n.calls++
	n.bytes += proto.Size(request) + proto.Size(response)
	return response, nil
}

// newBenchFleet returns the limiter of an owner, or of another instance, in a fleet in which all
// instances lease to six owners, and the members that a peer with the same view reports from.
func newBenchFleet(size int, instance string, manual *clock.Manual) (limiter *Limiter, view *benchFleet, peer *fleet.Members) {
	entry := func(n int) *wire.FleetInstance {
		return &wire.FleetInstance{Instance: fmt.Sprint("i", n), Incarnation: fmt.Sprint("p", n), PeerAddress: fmt.Sprint("a", n), StartedMs: 1}
	}
	self := &wire.FleetInstance{Instance: instance, Incarnation: "p" + instance[1:], PeerAddress: "a" + instance[1:], StartedMs: 1}
	peer = fleet.NewMembers(entry(size), 5*clock.Second)
	view = &benchFleet{clock: manual, members: fleet.NewMembers(self, 5*clock.Second), share: 1 / float64(size)}
	var list []*wire.FleetInstance
	for n := range size {
		list = append(list, entry(n))
	}
	view.owners = PickOwners(list)
	owners := quotaOwners(view.owners)
	lease := leaseToWire(&quota.Lease{Owners: owners, Term: view.LeaseTerm()})
	for _, info := range list {
		// Each instance is recorded as its peer hears it, with its own lease.
		other := fleet.NewMembers(info, 5*clock.Second)
		other.SetLease(3, lease)
		answer := &wire.GossipAnswer{Sender: info}
		other.AddHeartbeats(answer, &wire.Gossip{}, manual.Now())
		for _, members := range []*fleet.Members{peer, view.members} {
			members.Record(info, manual.Now())
			members.RecordHeartbeats(answer, nil, manual.Now())
		}
	}
	limiter = NewLimiter(Config{
		Clock: manual, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Fleet: view, Self: instance, SelfAddress: self.GetPeerAddress(),
		Process: fleet.ProcessID(self.GetIncarnation()), Limit: func(string) (quota.Limit, bool) { return quota.Limit{RatePerS: 1e9, Burst: 1e9}, true },
	})
	limiter.Refresh()
	return limiter, view, peer
}

// BenchmarkIdleSecond measures what leases cost an instance in a second without requests: the
// refreshes of an owner with 75 workspaces in use, and the bytes that leases add to the gossip
// answers that it gets.
func BenchmarkIdleSecond(b *testing.B) {
	for _, size := range []int{7, 33, 105, 1000, 5000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			manual := &clock.Manual{}
			manual.Set(100 * clock.Second)
			_, view, _ := newBenchFleet(size, "i0", manual)
			owner, view, peer := newBenchFleet(size, view.owners[0].Instance, manual)
			for n := range benchWorkspaces {
				owner.takeOrWait(fmt.Sprint("w", n))
			}
			with, without := &wire.GossipAnswer{}, &wire.GossipAnswer{}
			peer.AddHeartbeats(with, &wire.Gossip{KnownLeases: view.members.KnownLeases()}, manual.Now())
			without.States, without.Ages = with.GetStates(), with.GetAges()
			request := &wire.Gossip{KnownLeases: view.members.KnownLeases()}
			for b.Loop() {
				for range benchRefreshesPerS {
					owner.Refresh()
				}
			}
			b.ReportMetric(float64(benchAnswersPerS*(proto.Size(with)-proto.Size(without)+proto.Size(request))), "B/s")
			owned := 0
			for n := range benchWorkspaces {
				if owner.ledger.Shares(quota.Key(fmt.Sprint("w", n))) == size {
					owned++
				}
			}
			if owned == 0 {
				b.Error("all shares of no workspace are leased to the owner")
			}
		})
	}
}

// BenchmarkAdmittedRequest measures an admitted request of an instance that does not own the
// bucket, at 500 requests a second, with the owner's work and the bytes of the exchanges.
func BenchmarkAdmittedRequest(b *testing.B) {
	for _, size := range []int{7, 33, 105, 1000, 5000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			manual := &clock.Manual{}
			manual.Set(100 * clock.Second)
			asking, view, _ := newBenchFleet(size, fmt.Sprint("i", size-1), manual)
			workspace := ""
			for n := 0; workspace == ""; n++ {
				if owner := chooseOwner(view.owners, quota.Key(fmt.Sprint("w", n))); owner.Instance != asking.config.Self {
					workspace = fmt.Sprint("w", n)
					limiter, _, _ := newBenchFleet(size, owner.Instance, manual)
					asking.config.Network = &benchNetwork{owner: limiter}
				}
			}
			manual.Advance(10)
			network := asking.config.Network.(*benchNetwork)
			requests, refused := 0, 0
			for b.Loop() {
				if requests++; requests%2 == 0 {
					manual.Advance(4)
				}
				admitted, waiting := asking.takeOrWait(workspace)
				if waiting != nil {
					asking.fetch(workspace)
					admitted = asking.takeAtLast(workspace, waiting)
				}
				if !admitted {
					refused++
				}
				if requests%200 == 0 {
					for address, workspaces := range asking.dueExchanges() {
						asking.exchange(address, workspaces)
					}
				}
			}
			b.ReportMetric(float64(network.bytes)/float64(requests), "B/request")
			b.ReportMetric(float64(refused)/float64(requests), "refused")
		})
	}
}

// BenchmarkNewWorkspace is the first request of a workspace that was idle, by the number of
// different leases, while leases change all the time.
func BenchmarkNewWorkspace(b *testing.B) {
	for _, leases := range []int{3, 105} {
		b.Run(fmt.Sprint(leases), func(b *testing.B) {
			ledger := quota.NewLedger(1)
			for n := range leases {
				addLease(ledger, n)
			}
			history := newHistory(0, holding{})
			for n := range clock.Millis(1000) {
				history.add(n, holding{leases: ledger.Holdings(), share: 0.01})
			}
			for b.Loop() {
				history.bucket(modelKey, quota.Limit{RatePerS: 100, Burst: 100})
			}
		})
	}
}

// addLease records the lease of one lessor, unlike those of the others.
func addLease(ledger *quota.Ledger, n int) {
	lease := &quota.Lease{Term: clock.Second}
	for owner := range uint64(6) {
		lease.Owners = append(lease.Owners, quota.Owner{Process: owner + 1, Key: uint64(n)<<8 | owner})
	}
	ledger.Record(0, uint64(n+1), 1, lease, lease.Hash(), clock.Second)
}
