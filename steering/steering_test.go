package steering

import (
	"errors"
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// plainDecoder decodes rows whose keys are the IDs of backend servers, and
// configurations that are valid unless their value is "broken".
type plainDecoder struct{}

func (plainDecoder) Config(rows []*wire.TableRow) (Rules, error) {
	rules := Rules{}
	for _, row := range rows {
		if string(row.GetValue()) == "broken" {
			return Rules{}, errors.New("broken")
		}
		rules.Config = routing.New(routing.Spec{Version: row.GetVersion()})
	}
	return rules, nil
}

func (plainDecoder) Server(row *wire.TableRow) (placement.Server, string) {
	return placement.Server{ID: row.GetKey(), Service: "s", Slots: 1, Draining: string(row.GetValue()) == "draining"}, ""
}

// testControlState is a ControlState with a clock that tests control.
type testControlState struct {
	*ControlState
	manualClock *clock.Manual
	members     *fleet.Members
}

func newTestControlState() testControlState {
	manual := &clock.Manual{}
	manual.Set(100 * clock.Second)
	members := fleet.NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
	state := NewControlState(ControlStateConfig{
		BootClock: manual, Clock: manual, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Decoder: plainDecoder{},
		Balancer: placement.NewBalancer(placement.BalancerConfig{}), Members: members, AuthorityTerm: func() clock.Millis { return 5 * clock.Second },
	})
	state.SetReplicas(fleet.NewReplica("rules", state.ReloadRules), fleet.NewReplica("servers", state.ReloadServers))
	state.MarkJoined()
	return testControlState{ControlState: state, manualClock: manual, members: members}
}

// applyTables replaces the content of both replicas, as confirmed by the platform now.
func (state testControlState) applyTables(version int64, config string, servers ...string) {
	now := state.manualClock.Now()
	state.Rules.Apply(&wire.TableDelta{Version: version, Full: true, Rows: []*wire.TableRow{{Key: "config", Value: []byte(config), Version: version}}}, now)
	delta := &wire.TableDelta{Version: version, Full: true}
	for _, id := range servers {
		delta.Rows = append(delta.Rows, &wire.TableRow{Key: id, Version: 1})
	}
	state.Servers.Apply(delta, now)
}

// TestHasAuthority checks when an instance may serve: it must refuse requests once it is
// cut off from the platform and from most of its peers, or its replicas are much older
// than a peer's, and must go on serving while only the platform is unavailable.
func TestHasAuthority(t *testing.T) {
	cases := map[string]struct {
		age clock.Millis
		// heard and silent are the numbers of peers that are and are not in contact.
		heard, silent int
		// peersLead is how much newer a peer's copy of the rules is.
		peersLead clock.Millis
		want      bool
	}{
		"fresh":                            {age: 100, want: true},
		"fresh and alone":                  {age: 100, silent: 6, want: true},
		"cut off from all":                 {age: 6000, silent: 6, want: false},
		"the store is unavailable for all": {age: 60000, heard: 6, peersLead: 1000, want: true},
		"the store is unavailable and most peers are silent": {age: 6000, heard: 2, silent: 4, want: false},
		"in contact again, and peers have newer copies":      {age: 18000, heard: 6, peersLead: 17000, want: false},
		"a single instance without the platform":             {age: 60000, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			state := newTestControlState()
			state.applyTables(2, "good")
			confirmedAt := state.manualClock.Now()
			state.manualClock.Advance(c.age)
			for i := range c.heard {
				state.members.Record(&wire.FleetInstance{Instance: fmt.Sprint("heard", i)}, state.manualClock.Now())
			}
			for i := range c.silent {
				state.members.Record(&wire.FleetInstance{Instance: fmt.Sprint("silent", i)}, state.manualClock.Now()-10*clock.Second)
			}
			state.Rules.RecordPeerAsOf(confirmedAt + c.peersLead)
			if got := state.HasAuthority(); got != c.want {
				t.Errorf("HasAuthority() = %v, want %v", got, c.want)
			}
		})
	}
}

// TestBrokenConfigurationIsIgnored checks that the active configuration stays in force when
// a later one cannot be decoded, and that an older version never replaces a newer one.
func TestBrokenConfigurationIsIgnored(t *testing.T) {
	state := newTestControlState()
	state.applyTables(5, "good")
	state.applyTables(6, "broken")
	if got := state.Config().Version; got != 5 {
		t.Errorf("version %d in force, want 5", got)
	}
	state.applyTables(7, "good")
	state.applyTables(4, "good")
	if got := state.Config().Version; got != 7 {
		t.Errorf("version %d in force, want 7", got)
	}
}

// TestExpiredServers checks that a server whose entry disappears is dropped immediately
// in normal operation, and only after the grace period if the platform was unavailable:
// servers could not renew their entries then.
func TestExpiredServers(t *testing.T) {
	state := newTestControlState()
	state.applyTables(2, "good", "a", "b")
	state.manualClock.Advance(500)
	state.applyTables(3, "good", "a")
	if state.InUse("b") {
		t.Fatal("a server without an entry is still in use")
	}
	state.manualClock.Advance(10 * clock.Second)
	state.applyTables(4, "good")
	if !state.InUse("a") {
		t.Fatal("a server whose entry expired during an outage was dropped immediately")
	}
	state.manualClock.Advance(recoveryGrace)
	state.dropExpired()
	if state.InUse("a") {
		t.Fatal("a server that has not registered again is still in use after the grace period")
	}
}

// TestServerChangedTwice checks that an instance which learns two changes of a server from
// a peer at once goes on, and that nothing of the server is left when it leaves.
func TestServerChangedTwice(t *testing.T) {
	state := newTestControlState()
	state.applyTables(1, "")
	peer := newTestControlState()
	peer.applyTables(1, "")
	learn := func(values ...string) {
		for _, value := range values {
			version := state.Servers.Version() + 1
			row := &wire.TableRow{Key: "a", Value: []byte(value), Version: version, Removed: value == "removed"}
			state.Servers.Apply(&wire.TableDelta{Since: version - 1, Version: version, Rows: []*wire.TableRow{row}}, 0)
		}
		peer.Servers.Apply(state.Servers.DeltaSince(&wire.TableDigest{Version: peer.Servers.Version()}, 0), 0)
	}
	learn("new")
	learn("draining", "draining")
	learn("removed")
	learn("new", "ready")
	learn("removed")
	query := placement.Query{Service: "s", RegionAllowed: func(string) bool { return true }, TimeLeft: clock.Second, LatencyLimit: clock.Second}
	if _, refusal := peer.config.Balancer.Choose(peer.manualClock.Now(), query); refusal == nil || refusal.Exclusions.Counted != 0 {
		t.Error("the server that left is still among those of its service")
	}
}

// TestUrgentRequestsWaitLonger checks that more urgent requests may wait longer for a free
// slot, so that less urgent ones are refused first under load, and that the priority of a
// workspace takes precedence over that of a route.
func TestUrgentRequestsWaitLonger(t *testing.T) {
	route := &routing.Route{Priority: 2}
	workspace := &routing.Workspace{Priority: values.Some(0)}
	wait := func(w *routing.Workspace) clock.Millis {
		return placement.LatencyBudget{Objective: 1000, Timeout: 5000, Priority: route.PriorityFor(w)}.Limit()
	}
	if urgent, other := wait(workspace), wait(nil); urgent <= other {
		t.Errorf("requests of an urgent workspace may wait %d ms, others %d ms", urgent, other)
	}
	if least := (placement.LatencyBudget{Objective: 1000, Timeout: 5000, Priority: 1000}).Limit(); least < 500 {
		t.Errorf("the least urgent requests may wait %d ms, want at least 500 ms of 1,000 ms", least)
	}
}
