package fleet

import (
	"fmt"
	"maps"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"pgregory.net/rapid"
)

func row(key string, version int64) *wire.TableRow {
	return &wire.TableRow{Key: key, Value: fmt.Append(nil, version), Version: version}
}

func gone(key string, version int64) *wire.TableRow {
	return &wire.TableRow{Key: key, Version: version, Removed: true}
}

func TestReplicaApply(t *testing.T) {
	cases := map[string]struct {
		deltas  []*wire.TableDelta
		fits    bool
		version int64
		keys    []string
	}{
		"changes before the whole table": {
			deltas: []*wire.TableDelta{{Since: 1, Version: 2, Rows: []*wire.TableRow{row("a", 2)}}},
		},
		"whole table": {
			deltas: []*wire.TableDelta{{Version: 2, Full: true, Rows: []*wire.TableRow{row("a", 2)}}},
			fits:   true, version: 2, keys: []string{"a"},
		},
		"a gap": {
			deltas: []*wire.TableDelta{
				{Version: 2, Full: true, Rows: []*wire.TableRow{row("a", 2)}},
				{Since: 3, Version: 4, Rows: []*wire.TableRow{gone("a", 4)}},
			},
			version: 2, keys: []string{"a"},
		},
		"rows that a later whole table lacks are gone": {
			deltas: []*wire.TableDelta{
				{Version: 2, Full: true, Rows: []*wire.TableRow{row("a", 1), row("b", 2)}},
				{Version: 5, Full: true, Rows: []*wire.TableRow{row("b", 2)}},
			},
			fits: true, version: 5, keys: []string{"b"},
		},
		"an older whole table changes nothing": {
			deltas: []*wire.TableDelta{
				{Version: 5, Full: true, Rows: []*wire.TableRow{row("a", 1)}},
				{Version: 2, Full: true, Rows: []*wire.TableRow{row("b", 2)}},
			},
			fits: true, version: 5, keys: []string{"a"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewReplica("t", func() {})
			fits := false
			for _, delta := range c.deltas {
				fits = r.Apply(delta, 0)
			}
			if fits != c.fits || r.Version() != c.version {
				t.Errorf("fits %v at version %d, want %v at %d", fits, r.Version(), c.fits, c.version)
			}
			var keys []string
			for _, row := range r.Rows() {
				keys = append(keys, row.GetKey())
			}
			if fmt.Sprint(keys) != fmt.Sprint(c.keys) {
				t.Errorf("holds %v, want %v", keys, c.keys)
			}
		})
	}
}

// TestReplicasAgree has replicas learn a table's changes from the platform and
// from each other in any order: whoever is at a version holds exactly its rows.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []map[string]int64{{}}
		source := NewReplica("t", func() {})
		source.Apply(&wire.TableDelta{Full: true, Version: 1}, 0)
		history = append(history, map[string]int64{})
		replicas := []*Replica{NewReplica("t", func() {}), NewReplica("t", func() {}), NewReplica("t", func() {})}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "write") {
				version := int64(len(history))
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				rows := maps.Clone(history[version-1])
				change := row(key, version)
				if _, ok := rows[key]; ok && rapid.Bool().Draw(t, "remove") {
					change = gone(key, version)
					delete(rows, key)
				} else {
					rows[key] = version
				}
				history = append(history, rows)
				source.Apply(&wire.TableDelta{Since: version - 1, Version: version, Rows: []*wire.TableRow{change}}, 0)
			}
			all := append([]*Replica{source}, replicas...)
			from := rapid.SampledFrom(all).Draw(t, "from")
			to := rapid.SampledFrom(replicas).Draw(t, "to")
			if delta := from.DeltaSince(to.Version(), 0); delta != nil {
				to.Apply(delta, 0)
			}
			for _, r := range all {
				got := make(map[string]int64)
				for _, row := range r.Rows() {
					got[row.GetKey()] = row.GetVersion()
				}
				if !maps.Equal(got, history[r.Version()]) {
					t.Fatalf("at version %d holds %v, want %v", r.Version(), got, history[r.Version()])
				}
			}
		}
	})
}

func TestMajority(t *testing.T) {
	cases := map[string]struct {
		ages     []clock.Millis
		stopping bool
		want     bool
	}{
		"alone from the start": {want: true},
		"all are heard":        {ages: []clock.Millis{100, 100}, want: true},
		"half is silent":       {ages: []clock.Millis{100, 9000, 9000}, want: true},
		"most are silent":      {ages: []clock.Millis{9000, 9000}, want: false},
		"stopped by plan":      {ages: []clock.Millis{9000, 9000}, stopping: true, want: true},
		"silent for long":      {ages: []clock.Millis{70000, 70000}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := 100 * clock.Second
			m := NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
			for i, age := range c.ages {
				m.Record(&wire.FleetInstance{Instance: fmt.Sprint(i), Stopping: c.stopping}, now-age)
			}
			if got := m.InMajority(now); got != c.want {
				t.Errorf("in majority: %v, want %v", got, c.want)
			}
		})
	}
}

// TestStoppingStays has the state of a stopping instance renewed by a check that
// began before: it must not count as running again.
func TestStoppingStays(t *testing.T) {
	m := NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
	m.SetReady(true)
	m.SetStopping()
	m.SetReady(true)
	if self := m.Self(); self.GetReady() || !self.GetStopping() {
		t.Errorf("ready %v, stopping %v", self.GetReady(), self.GetStopping())
	}
}

// TestSharesOutlastTheTerm checks that a silent instance keeps its part of the
// limits for as long as it may still be serving.
func TestSharesOutlastTheTerm(t *testing.T) {
	const term = 8 * clock.Second
	m := NewMembers(&wire.FleetInstance{Instance: "self"}, term)
	m.Record(&wire.FleetInstance{Instance: "other"}, 0)
	for at, want := range map[clock.Millis]int{term: 2, term + 2*clock.Second: 1} {
		if got := len(m.ShareHolders(at)); got != want {
			t.Errorf("%d instances share the limits after %d ms, want %d", got, at, want)
		}
	}
}
