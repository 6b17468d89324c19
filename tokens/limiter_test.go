package tokens

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

type (
	// fakeFleet is a Fleet of two instances in which all lease to the same owner.
	fakeFleet struct {
		owners  []Owner
		reports []fleet.LeaseReport
		number  int64
		lease   *wire.Lease
	}

	// ownerNetwork is a peer.Network that delivers all token exchanges to one bucket owner,
	// or fails them while disconnected is set.
	ownerNetwork struct {
		owner        *Limiter
		disconnected bool
		calls        int
	}
)

const testTerm = 300 * clock.Millis(1)

func (f *fakeFleet) Share() float64                           { return 0.5 }
func (f *fakeFleet) MayLease() bool                           { return true }
func (f *fakeFleet) Owners() []Owner                          { return f.owners }
func (f *fakeFleet) IsSilent(Owner) bool                      { return false }
func (f *fakeFleet) HasEnded(Owner) bool                      { return false }
func (f *fakeFleet) LeaseTerm() clock.Millis                  { return testTerm }
func (f *fakeFleet) LeaseReports() []fleet.LeaseReport        { return f.reports }
func (f *fakeFleet) SetLease(number int64, lease *wire.Lease) { f.number, f.lease = number, lease }
func (f *fakeFleet) leasesTo(process uint64, name string) []Owner {
	return []Owner{{Owner: quota.Owner{Process: process, Key: quota.Key(name)}, Instance: name, Address: name}}
}

func (n *ownerNetwork) Call(_ context.Context, _ string, request *wire.PeerRequest) (*wire.PeerResponse, error) {
	n.calls++
	if n.disconnected {
		return nil, io.ErrUnexpectedEOF
	}
	return &wire.PeerResponse{Body: &wire.PeerResponse_TokenGrant{TokenGrant: n.owner.HandleTokenAsk(request.GetTokenAsk())}}, nil
}

// newTestLimiters returns the limiter of an instance that owns no buckets, and a network to
// the one that owns them all. Each has a half of the limit of 100 requests per second.
func newTestLimiters(c clock.Clock) (limiter *Limiter, view *fakeFleet, network *ownerNetwork) {
	view, network = &fakeFleet{}, &ownerNetwork{}
	view.owners = view.leasesTo(1, "owner")
	config := Config{
		Clock: c, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Network: network, Self: "owner", SelfAddress: "owner", Process: 1,
		Limit: func(string) (quota.Limit, bool) { return quota.Limit{RatePerS: 100, Burst: 100}, true }, Fleet: &fakeFleet{owners: view.owners},
	}
	network.owner = NewLimiter(config)
	config.Self, config.SelfAddress, config.Process, config.Fleet = "other", "other", 2, view
	return NewLimiter(config), view, network
}

// lease has both instances lease their shares to the owner, the other one through heartbeats.
func lease(now clock.Millis, limiter *Limiter, view *fakeFleet, network *ownerNetwork) {
	limiter.Refresh()
	network.owner.config.Fleet.(*fakeFleet).reports = []fleet.LeaseReport{{Process: 2, Number: view.number, Hash: uint64(view.number), Lease: view.lease, StatedAt: now}}
	network.owner.Refresh()
}

// TestLimiterFetchesFromOwner checks that requests within the rate are admitted with tokens
// from the bucket's owner.
func TestLimiterFetchesFromOwner(t *testing.T) {
	manual := &clock.Manual{}
	manual.Set(clock.Second)
	limiter, view, network := newTestLimiters(manual)
	lease(manual.Now(), limiter, view, network)
	manual.Advance(250)
	for i := range 10 {
		if !limiter.Admit(context.Background(), "w") {
			t.Fatalf("request %d within the rate was refused", i)
		}
	}
}

// TestLimiterWithoutPeers checks that an instance that hears no peer admits requests at its own
// share of the rate, and no more, once the former owner's lease has ended.
func TestLimiterWithoutPeers(t *testing.T) {
	limiter, view, network := newTestLimiters(clock.NewSystem())
	lease(limiter.config.Clock.Now(), limiter, view, network)
	network.disconnected = true
	view.owners = view.leasesTo(2, "other")
	startedAt := time.Now()
	admitted := 0
	for time.Since(startedAt) < 800*time.Millisecond {
		limiter.Refresh()
		if limiter.Admit(context.Background(), "w") {
			admitted++
			if time.Since(startedAt) < testTerm.Duration() {
				t.Fatal("a request was admitted while the former owner may still use the share")
			}
		}
	}
	if admitted == 0 {
		t.Error("no request was admitted")
	}
	if most := int((time.Since(startedAt)-testTerm.Duration()).Seconds()*100/2 + 1); admitted > most {
		t.Errorf("%d requests admitted, want at most %d", admitted, most)
	}
}

// TestRefund checks that the tokens of requests that were not run can be used again, at
// the bucket's owner and elsewhere, and that they never exceed the burst.
func TestRefund(t *testing.T) {
	manual := &clock.Manual{}
	manual.Set(clock.Second)
	other, view, network := newTestLimiters(manual)
	for range 10 {
		lease(manual.Now(), other, view, network)
		manual.Advance(200)
	}
	for name, limiter := range map[string]*Limiter{"owner": network.owner, "other": other} {
		t.Run(name, func(t *testing.T) {
			admitted := 0
			for range 500 {
				if limiter.Admit(context.Background(), "w") {
					admitted++
					limiter.Refund("w")
				}
			}
			if admitted < 490 {
				t.Errorf("%d of 500 requests were admitted that each gave their token back", admitted)
			}
		})
	}
	spent := 0
	for network.owner.Admit(context.Background(), "w") {
		spent++
	}
	if spent > 101 {
		t.Errorf("%d requests at once after the refunds, the burst is 100", spent)
	}
}

// TestNoIdleMessages checks that no message is sent for workspaces without requests, and that
// the tokens of one whose requests have ceased are returned within a few messages.
func TestNoIdleMessages(t *testing.T) {
	manual := &clock.Manual{}
	manual.Set(clock.Second)
	limiter, view, network := newTestLimiters(manual)
	lease(manual.Now(), limiter, view, network)
	manual.Advance(250)
	for range 5 {
		limiter.Admit(context.Background(), "w")
	}
	calls := 0
	for n := range 100 {
		lease(manual.Now(), limiter, view, network)
		for address, workspaces := range limiter.dueExchanges() {
			limiter.exchange(address, workspaces)
			calls++
			if n > 50 {
				t.Fatalf("a message about %v after %d rounds without requests", workspaces, n)
			}
		}
		manual.Advance(400)
	}
	if calls > 6 {
		t.Errorf("%d messages after the requests have ceased, want at most 6", calls)
	}
	if len(limiter.workspaces)+len(network.owner.workspaces) > 0 {
		t.Errorf("%d and %d idle workspaces are kept", len(limiter.workspaces), len(network.owner.workspaces))
	}
}

// TestUnusableLeases checks that leases with impossible content change nothing, whether they
// come by gossip or directly, and are counted.
func TestUnusableLeases(t *testing.T) {
	owner := &wire.LeaseOwner{Process: 1, Key: quota.Key("owner")}
	cases := map[string]*wire.Lease{
		"no term":               {Owners: []*wire.LeaseOwner{owner}},
		"a negative term":       {Owners: []*wire.LeaseOwner{owner}, TermMs: -1},
		"an endless term":       {Owners: []*wire.LeaseOwner{owner}, TermMs: 1 << 40},
		"the same owner twice":  {Owners: []*wire.LeaseOwner{owner, owner}, TermMs: 500},
		"two of one instance":   {Owners: []*wire.LeaseOwner{owner, {Process: 9, Key: owner.GetKey()}}, TermMs: 500},
		"an owner without name": {Owners: []*wire.LeaseOwner{{Key: 4}}, TermMs: 500},
		"an odd former owner":   {Owners: []*wire.LeaseOwner{owner}, Former: []*wire.LeaseOwner{{Key: 4}}, TermMs: 500},
		"too many owners":       {Owners: make([]*wire.LeaseOwner, 65), TermMs: 500},
		"nothing":               nil,
	}
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			manual := &clock.Manual{}
			manual.Set(clock.Second)
			_, _, network := newTestLimiters(manual)
			limiter := network.owner
			limiter.Refresh()
			grant := limiter.HandleTokenAsk(&wire.TokenAsk{Sender: 7, Instance: "odd", LeaseNumber: 1, Lease: message, EchoProcess: 1, EchoMs: int64(manual.Now())})
			limiter.config.Fleet.(*fakeFleet).reports = []fleet.LeaseReport{{Process: 8, Number: 1, Hash: 3, Lease: message, StatedAt: manual.Now()}}
			limiter.Refresh()
			if grant.GetLeaseNumber() != 0 || limiter.ledger.Shares(quota.Key("w")) != 1 {
				t.Errorf("lease %d is known, %d shares are leased, want the owner's only", grant.GetLeaseNumber(), limiter.ledger.Shares(quota.Key("w")))
			}
			if rejected := metrics.GetOrRegisterCounter("quota.leases_rejected", limiter.config.Metrics).Count(); message != nil && rejected != 2 {
				t.Errorf("%d leases were counted as rejected, want 2", rejected)
			}
		})
	}
}

// TestSharesNeverExceedTheLimit checks that an owner that is told of more shares than its view
// of the fleet allows uses the whole limit at most.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	manual := &clock.Manual{}
	manual.Set(clock.Second)
	_, view, network := newTestLimiters(manual)
	network.owner.Refresh()
	message := &wire.Lease{Owners: ownersToWire(quotaOwners(view.owners)), TermMs: 5000}
	for process := range uint64(10) {
		network.owner.HandleTokenAsk(&wire.TokenAsk{Sender: 10 + process, LeaseNumber: 1, Lease: message, EchoProcess: 1, EchoMs: int64(manual.Now())})
	}
	manual.Advance(1000)
	grant := network.owner.HandleTokenAsk(&wire.TokenAsk{Sender: 2, Wants: []*wire.TokenWant{{Workspace: "w", Tokens: 1000, Waiting: 1000}}})
	if got := grant.GetParts()[0].GetTokens(); got > 100 || got < 95 {
		t.Errorf("%.1f tokens were granted after 1 s, want the limit of 100", got)
	}
}
