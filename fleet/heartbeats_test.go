package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
)

// TestLeasesStayRenewed guards against leases that run out although their lessors live,
// because heartbeats spread too slowly for the term.
func TestLeasesStayRenewed(t *testing.T) {
	for _, count := range []int{2, 3, 4, 7, 33, 105, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := &clock.Manual{}
			c.Set(1000 * clock.Second)
			n, list := newMemoryFleet(count, c)
			lease := &wire.Lease{TermMs: 1500, Owners: []*wire.LeaseOwner{{Process: 1, Key: 1}}}
			for _, g := range list {
				g.config.Members.SetLease(1, lease)
			}
			runRounds(t, n, list, c, 8*clock.Second, func(clock.Millis) {})
			var ages []clock.Millis
			runRounds(t, n, list, c, 6*clock.Second, func(clock.Millis) {
				for _, g := range list[:min(count, 7)] {
					for _, report := range g.config.Members.LeaseReports() {
						ages = append(ages, c.Now()-report.StatedAt)
					}
				}
			})
			slices.Sort(ages)
			at := func(percent int) clock.Millis { return ages[len(ages)*percent/100-1] }
			term := list[0].config.Members.LeaseTerm()
			t.Logf("leases were stated %d ms ago at the median, 99 in 100 within %d ms, all within %d ms, the term is %d ms", at(50), at(99), at(100), term)
			if at(98) > term {
				t.Errorf("2 in 100 leases were stated over %d ms ago, the term is %d ms", at(98), term)
			}
		})
	}
}

// TestHeartbeatsWithoutStates checks that the hashes of entries are left out of an answer to a
// peer that knows the same ones, that the ages are then those of the right instances, and that
// an answer that does not fit the request changes nothing.
func TestHeartbeatsWithoutStates(t *testing.T) {
	const now = 100 * clock.Second
	members := func(self string, others map[string]clock.Millis) *Members {
		m := NewMembers(&wire.FleetInstance{Instance: self, Incarnation: self}, 5*clock.Second)
		for other, age := range others {
			m.Record(&wire.FleetInstance{Instance: other, Incarnation: other}, now-age)
		}
		return m
	}
	asking := members("a", map[string]clock.Millis{"b": 3000, "c": 3000})
	answering := members("b", map[string]clock.Millis{"a": 100, "c": 700})
	states := asking.States(now)
	answer := &wire.GossipAnswer{}
	answering.AddHeartbeats(answer, &wire.Gossip{StatesDigest: digestStates(states)}, now)
	if len(answer.GetStates()) > 0 || len(answer.GetAges()) != 3 {
		t.Fatalf("got %d hashes and %d ages, want none and 3", len(answer.GetStates()), len(answer.GetAges()))
	}
	asking.RecordHeartbeats(answer, states[:2], now)
	if alive := asking.Alive(now); len(alive) > 0 {
		t.Errorf("%v count as alive by an answer that does not fit", alive)
	}
	asking.RecordHeartbeats(answer, states, now)
	if asking.others["c"].heardAt != now-700 || asking.others["b"].heardAt != now {
		t.Errorf("b was heard at %d and c at %d ms, want %d and %d", asking.others["b"].heardAt, asking.others["c"].heardAt, now, now-700)
	}
	answer = &wire.GossipAnswer{}
	members("b", map[string]clock.Millis{"a": 100, "d": 700}).AddHeartbeats(answer, &wire.Gossip{StatesDigest: digestStates(states)}, now)
	if len(answer.GetStates()) != 3 {
		t.Errorf("got %d hashes in answer to other entries, want 3", len(answer.GetStates()))
	}
}
