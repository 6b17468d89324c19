package fleet

import (
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
)

// TestReplacedInstancesAreRemoved replaces instances one after the other by ones with
// new names. It guards against members that are kept forever, and against an alive
// timeout that grows with their number.
func TestReplacedInstancesAreRemoved(t *testing.T) {
	const (
		size     = 7
		replaced = 2000
		step     = 30 * clock.Second
	)
	m := NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
	now := clock.Millis(0)
	for n := range replaced {
		now += step
		for i := range size {
			name := fmt.Sprint("i", n+i)
			m.Record(&wire.FleetInstance{Instance: name, Incarnation: name}, now)
		}
	}
	if n := len(m.Alive(now)); n != size {
		t.Errorf("%d instances count as alive, want %d", n, size)
	}
	const maxKnown = size + int(memberRetention/step) + 1
	if n := len(m.Known()); n > maxKnown {
		t.Errorf("%d instances are kept, want at most %d", n, maxKnown)
	}
	if span := m.aliveTimeout(); span > aliveTimeoutFor(maxKnown) {
		t.Errorf("a silent instance counts as alive for %d ms", span)
	}
}

func TestInMajority(t *testing.T) {
	cases := map[string]struct {
		ages     []clock.Millis
		stopping bool
		want     bool
	}{
		"alone from the start":     {want: true},
		"all are heard from":       {ages: []clock.Millis{100, 100}, want: true},
		"half is silent":           {ages: []clock.Millis{100, 9000, 9000}, want: true},
		"most are silent":          {ages: []clock.Millis{9000, 9000}, want: false},
		"stopped gracefully":       {ages: []clock.Millis{9000, 9000}, stopping: true, want: true},
		"silent beyond the window": {ages: []clock.Millis{70000, 70000}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := 100 * clock.Second
			m := NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
			for i, age := range c.ages {
				m.Record(&wire.FleetInstance{Instance: fmt.Sprint(i), Stopping: c.stopping}, now-age)
			}
			if got := m.InMajority(now); got != c.want {
				t.Errorf("InMajority is %v, want %v", got, c.want)
			}
			for later := now; later < now+70*clock.Second; later += 100 {
				if got, want := m.InMajority(later), m.countMajority(later).in; got != want {
					t.Fatalf("InMajority is %v after %d ms, want %v", got, later-now, want)
				}
			}
			m.Record(&wire.FleetInstance{Instance: "0"}, now+70*clock.Second)
			if !m.InMajority(now + 70*clock.Second) {
				t.Error("not in the majority with the one instance that runs")
			}
		})
	}
}

// TestStoppingIsNotReverted guards against a readiness check that began before the
// stop and marks the stopping instance as ready again.
func TestStoppingIsNotReverted(t *testing.T) {
	m := NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
	m.SetReady(true)
	m.SetStopping()
	m.SetReady(true)
	if self := m.Self(); self.GetReady() || !self.GetStopping() {
		t.Errorf("ready is %v and stopping is %v, want false and true", self.GetReady(), self.GetStopping())
	}
}

// TestSharesOutlastAuthorityTerm guards against giving away the share of a silent
// instance while that instance may still be serving.
func TestSharesOutlastAuthorityTerm(t *testing.T) {
	const term = 8 * clock.Second
	m := NewMembers(&wire.FleetInstance{Instance: "self"}, term)
	m.Record(&wire.FleetInstance{Instance: "other"}, 0)
	for at, want := range map[clock.Millis]int{term: 2, term + 2*clock.Second: 1} {
		if got := len(m.ShareHolders(at)); got != want {
			t.Errorf("%d instances share the limits after %d ms, want %d", got, at, want)
		}
	}
}

// TestRegisteredInstancesHoldShares checks that instances that are registered and unheard
// keep their share of the limits for a while, do not count as alive, and do not replace
// what is known of one that was heard.
func TestRegisteredInstancesHoldShares(t *testing.T) {
	const now = 100 * clock.Second
	m := NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
	m.Record(&wire.FleetInstance{Instance: "heard", Ready: true}, now-100)
	m.RecordRegistered([]*wire.FleetInstance{{Instance: "self"}, {Instance: "heard"}, {Instance: "unheard"}}, now)
	if holders := m.ShareHolders(now); len(holders) != 3 {
		t.Errorf("%v hold shares, want all three", holders)
	}
	if alive := m.Alive(now); len(alive) != 1 || !alive[0].GetReady() {
		t.Errorf("%v count as alive, want the one that was heard, as it was heard", alive)
	}
	if holders := m.ShareHolders(now + 5*clock.Second); len(holders) != 2 {
		t.Errorf("%v hold shares after 5 s, want the one that was heard and this one", holders)
	}
}
