package fleet

import (
	"fmt"
	"maps"
	"testing"

	"github.com/bulrushferry/bulrushferry/wire"
	"pgregory.net/rapid"
)

func row(key string, version int64) *wire.TableRow {
	return &wire.TableRow{Key: key, Value: fmt.Append(nil, version), Version: version}
}

func removedRow(key string, version int64) *wire.TableRow {
	return &wire.TableRow{Key: key, Version: version, Removed: true}
}

func TestReplicaApply(t *testing.T) {
	cases := map[string]struct {
		deltas  []*wire.TableDelta
		ok      bool
		version int64
		keys    []string
	}{
		"changes before the full table": {
			deltas: []*wire.TableDelta{{Since: 1, Version: 2, Rows: []*wire.TableRow{row("a", 2)}}},
		},
		"full table": {
			deltas: []*wire.TableDelta{{Version: 2, Full: true, Rows: []*wire.TableRow{row("a", 2)}}},
			ok:     true, version: 2, keys: []string{"a"},
		},
		"gap between versions": {
			deltas: []*wire.TableDelta{
				{Version: 2, Full: true, Rows: []*wire.TableRow{row("a", 2)}},
				{Since: 3, Version: 4, Rows: []*wire.TableRow{removedRow("a", 4)}},
			},
			version: 2, keys: []string{"a"},
		},
		"later full table removes missing rows": {
			deltas: []*wire.TableDelta{
				{Version: 2, Full: true, Rows: []*wire.TableRow{row("a", 1), row("b", 2)}},
				{Version: 5, Full: true, Rows: []*wire.TableRow{row("b", 2)}},
			},
			ok: true, version: 5, keys: []string{"b"},
		},
		"older full table is ignored": {
			deltas: []*wire.TableDelta{
				{Version: 5, Full: true, Rows: []*wire.TableRow{row("a", 1)}},
				{Version: 2, Full: true, Rows: []*wire.TableRow{row("b", 2)}},
			},
			ok: true, version: 5, keys: []string{"a"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewReplica("t", func([]string) {})
			ok := false
			for _, delta := range c.deltas {
				ok = r.Apply(delta, 0)
			}
			if ok != c.ok || r.Version() != c.version {
				t.Errorf("Apply returned %v and version is %d, want %v and %d", ok, r.Version(), c.ok, c.version)
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

// TestDeltaAfterFullTable checks that a peer learns of a removal that happened on the way
// to a version that was taken in as a full table.
func TestDeltaAfterFullTable(t *testing.T) {
	r := NewReplica("t", func([]string) {})
	r.Apply(&wire.TableDelta{Version: 1, Full: true}, 0)
	r.Apply(&wire.TableDelta{Version: 3, Full: true}, 0)
	peer := NewReplica("t", func([]string) {})
	peer.Apply(&wire.TableDelta{Version: 2, Full: true, Rows: []*wire.TableRow{row("a", 2)}}, 0)
	peer.Apply(r.DeltaSince(&wire.TableDigest{Version: peer.Version()}, 0), 0)
	if rows := peer.Rows(); len(rows) > 0 || peer.Version() != 3 {
		t.Errorf("holds %v at version %d, want nothing at version 3", rows, peer.Version())
	}
}

// TestFullTableKeepsLog checks that peers that were up to date before a full table still get
// the changes only, and not the whole table.
func TestFullTableKeepsLog(t *testing.T) {
	r := NewReplica("t", func([]string) {})
	r.Apply(&wire.TableDelta{Version: 1, Full: true, Rows: []*wire.TableRow{row("a", 1), row("b", 1)}}, 0)
	r.Apply(&wire.TableDelta{Since: 1, Version: 2, Rows: []*wire.TableRow{row("c", 2)}}, 0)
	r.Apply(&wire.TableDelta{Version: 9, Full: true, Rows: []*wire.TableRow{row("a", 1), row("d", 8)}}, 0)
	for version, full := range map[int64]bool{1: false, 2: false, 3: true, 8: true, 9: false} {
		if delta := r.DeltaSince(&wire.TableDigest{Version: version}, 0); delta.GetFull() != full {
			t.Errorf("a peer at version %d gets the full table: %v, want %v", version, delta.GetFull(), full)
		}
	}
}

// TestReplicasAgree lets replicas learn the changes of a table from the platform and
// from each other in any order. A replica at a version must hold exactly the rows of
// that version.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []map[string]int64{{}}
		source := NewReplica("t", func([]string) {})
		source.Apply(&wire.TableDelta{Full: true, Version: 1}, 0)
		history = append(history, map[string]int64{})
		replicas := []*Replica{NewReplica("t", func([]string) {}), NewReplica("t", func([]string) {}), NewReplica("t", func([]string) {})}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "write") {
				version := int64(len(history))
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				rows := maps.Clone(history[version-1])
				change := row(key, version)
				if _, ok := rows[key]; ok && rapid.Bool().Draw(t, "remove") {
					change = removedRow(key, version)
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
			if delta := from.DeltaSince(&wire.TableDigest{Version: to.Version()}, 0); delta != nil {
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
