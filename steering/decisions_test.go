package steering

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// plainDecoder reads rows whose keys are servers' names.
type plainDecoder struct{}

func (plainDecoder) Config(rows []*wire.TableRow) (*routing.Config, values.Set[string], error) {
	var config *routing.Config
	for _, row := range rows {
		if string(row.GetValue()) == "broken" {
			return nil, values.NewSet[string](), errors.New("broken")
		}
		config = routing.New(routing.Spec{Version: row.GetVersion()})
	}
	return config, values.NewSet[string](), nil
}

func (plainDecoder) Servers(rows []*wire.TableRow) ([]placement.Server, []string) {
	var list []placement.Server
	for _, row := range rows {
		list = append(list, placement.Server{ID: row.GetKey(), Service: "s", Slots: 1, Draining: string(row.GetValue()) == "draining"})
	}
	return list, nil
}

type testControlState struct {
	*ControlState
	boot    *clock.Manual
	members *fleet.Members
}

func newTestControlState() testControlState {
	boot := &clock.Manual{}
	boot.Set(100 * clock.Second)
	members := fleet.NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
	k := NewControlState(ControlStateConfig{
		BootClock: boot, Clock: boot, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Decoder: plainDecoder{},
		Table: placement.NewBalancer(placement.BalancerConfig{}), Members: members, AuthorityTerm: func() clock.Millis { return 5 * clock.Second },
	})
	k.SetReplicas(fleet.NewReplica("rules", k.ReloadRules), fleet.NewReplica("servers", k.ReloadServers))
	k.MarkJoined()
	return testControlState{ControlState: k, boot: boot, members: members}
}

// applyTables has both tables confirmed now.
func (k testControlState) applyTables(version int64, config string, servers ...string) {
	now := k.boot.Now()
	k.Rules.Apply(&wire.TableDelta{Version: version, Full: true, Rows: []*wire.TableRow{{Key: "config", Value: []byte(config), Version: version}}}, now)
	delta := &wire.TableDelta{Version: version, Full: true}
	for _, id := range servers {
		delta.Rows = append(delta.Rows, &wire.TableRow{Key: id, Version: 1})
	}
	k.Servers.Apply(delta, now)
}

func TestMayAct(t *testing.T) {
	cases := map[string]struct {
		age clock.Millis
		// heard and silent are how many peers are heard and not.
		heard, silent int
		// peersLead is how much newer a peer's copies are.
		peersLead clock.Millis
		want      bool
	}{
		"fresh":                                  {age: 100, want: true},
		"fresh and alone":                        {age: 100, silent: 6, want: true},
		"cut off from all":                       {age: 6000, silent: 6, want: false},
		"the store is away for all":              {age: 60000, heard: 6, peersLead: 1000, want: true},
		"the store is away and most are silent":  {age: 6000, heard: 2, silent: 4, want: false},
		"in touch again, and others know more":   {age: 18000, heard: 6, peersLead: 17000, want: false},
		"a single instance without the platform": {age: 60000, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			k := newTestControlState()
			k.applyTables(2, "good")
			learned := k.boot.Now()
			k.boot.Advance(c.age)
			for i := range c.heard {
				k.members.Record(&wire.FleetInstance{Instance: fmt.Sprint("heard", i)}, k.boot.Now())
			}
			for i := range c.silent {
				k.members.Record(&wire.FleetInstance{Instance: fmt.Sprint("silent", i)}, k.boot.Now()-10*clock.Second)
			}
			k.Rules.RecordPeerAsOf(learned + c.peersLead)
			if got := k.HasAuthority(); got != c.want {
				t.Errorf("may act: %v, want %v", got, c.want)
			}
		})
	}
}

// TestBrokenConfigurationIsNotTaken keeps a good version when a later one cannot
// be read, and never goes back.
func TestBrokenConfigurationIsNotTaken(t *testing.T) {
	k := newTestControlState()
	k.applyTables(5, "good")
	k.applyTables(6, "broken")
	if got := k.Config().Version; got != 5 {
		t.Errorf("version %d in force, want 5", got)
	}
	k.applyTables(7, "good")
	k.applyTables(4, "good")
	if got := k.Config().Version; got != 7 {
		t.Errorf("version %d in force, want 7", got)
	}
}

// TestLapsedServers checks what becomes of servers whose entries go: at once
// in calm times, after a while when the platform was away.
func TestLapsedServers(t *testing.T) {
	k := newTestControlState()
	k.applyTables(2, "good", "a", "b")
	k.boot.Advance(500)
	k.applyTables(3, "good", "a")
	if k.InUse("b") {
		t.Fatal("a server whose entry went is in use")
	}
	k.boot.Advance(10 * clock.Second)
	k.applyTables(4, "good")
	if !k.InUse("a") {
		t.Fatal("a server whose entry lapsed in an outage is out of use at once")
	}
	k.boot.Advance(recoveryGrace)
	k.ReloadServers()
	if k.InUse("a") {
		t.Fatal("a server whose entry has not come back is still in use")
	}
}

// TestRetryBudget spends retries as fast as requests earn them: they stay below
// the fleet's ratio and slack.
func TestRetryBudget(t *testing.T) {
	const members, requests = 5, 2000
	spent := 0
	budgets := make([]*RetryBudget, members)
	for i := range budgets {
		budgets[i] = NewRetryBudget(RetryBudgetConfig{Bounds: func() Bounds { return Bounds{RetryRatio: 0.2, RetrySlack: 60} }, InstanceCount: func() int { return members }})
	}
	for i := range requests {
		b := budgets[i%members]
		b.Deposit("s")
		for b.TryWithdraw("s") {
			spent++
		}
	}
	if most := requests*0.2 + 60; float64(spent) > most {
		t.Errorf("%d retries, most %.0f", spent, most)
	}
	if spent < requests/20 {
		t.Errorf("only %d retries", spent)
	}
}

// bucketOwnerNetwork carries token exchanges to one keeper, or nowhere.
type bucketOwnerNetwork struct {
	keeper *RateLimiter
	cut    bool
}

func (n *bucketOwnerNetwork) Call(_ context.Context, _ string, request *wire.PeerRequest) (*wire.PeerResponse, error) {
	if n.cut {
		return nil, io.ErrUnexpectedEOF
	}
	return &wire.PeerResponse{Body: &wire.PeerResponse_TokenGrant{TokenGrant: n.keeper.HandleTokenAsk(request.GetTokenAsk())}}, nil
}

// newTestRateLimiters returns the rates of a keeper and of an instance that asks it.
func newTestRateLimiters() (asker *RateLimiter, network *bucketOwnerNetwork) {
	limit := func(string) (quota.Limit, bool) { return quota.Limit{RatePerS: 100, Burst: 100}, true }
	keeper := func(string) *wire.FleetInstance { return &wire.FleetInstance{Instance: "keeper"} }
	network = &bucketOwnerNetwork{}
	config := RateLimiterConfig{
		Clock: clock.NewSystem(), Log: hclog.NewNullLogger(), Network: network, BucketOwner: keeper, Self: "keeper",
		Limit: limit, InstanceCount: func() int { return 4 },
	}
	network.keeper = NewRateLimiter(config)
	config.Self = "asker"
	return NewRateLimiter(config), network
}

func TestRatesFetchFromTheKeeper(t *testing.T) {
	asker, _ := newTestRateLimiters()
	for i := range 10 {
		if !asker.Admit(context.Background(), "w") {
			t.Fatalf("request %d inside the rate was refused", i)
		}
	}
}

// TestRatesWithoutTheKeeper uses the even part of the rate while the keeper does
// not answer, and no more.
func TestRatesWithoutTheKeeper(t *testing.T) {
	asker, network := newTestRateLimiters()
	network.cut = true
	admitted := 0
	began := time.Now()
	for time.Since(began) < 400*time.Millisecond {
		if asker.Admit(context.Background(), "w") {
			admitted++
		}
	}
	if admitted == 0 {
		t.Error("nothing was admitted")
	}
	if most := int(time.Since(began).Seconds()*100/4 + 100/4*0.25 + 2); admitted > most {
		t.Errorf("%d admitted, most %d", admitted, most)
	}
}

// TestUrgentRequestsWaitLonger checks that the rank of a route, or of a workspace
// before it, decides who is turned away first under load.
func TestUrgentRequestsWaitLonger(t *testing.T) {
	route := &routing.Route{Priority: 2}
	workspace := &routing.Workspace{Priority: values.Some(0)}
	wait := func(w *routing.Workspace) clock.Millis {
		return placement.LatencyBudget{Objective: 1000, Timeout: 5000, Priority: route.PriorityFor(w)}.Limit()
	}
	if urgent, other := wait(workspace), wait(nil); urgent <= other {
		t.Errorf("an urgent workspace's requests wait %d ms, others %d ms", urgent, other)
	}
	if least := (placement.LatencyBudget{Objective: 1000, Timeout: 5000, Priority: 1000}).Limit(); least < 500 {
		t.Errorf("the least urgent requests wait only %d of 1,000 ms", least)
	}
}
