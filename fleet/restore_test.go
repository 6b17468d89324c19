package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"pgregory.net/rapid"
)

// valueRow returns a row with a value that does not depend on its version, as one that is
// written again has.
func valueRow(key, value string, version int64) *wire.TableRow {
	return &wire.TableRow{Key: key, Value: []byte(value), Version: version}
}

// contents returns the keys and values that a replica holds.
func contents(r *Replica) map[string]string {
	out := make(map[string]string)
	for _, row := range r.Rows() {
		out[row.GetKey()] = string(row.GetValue())
	}
	return out
}

// TestRestoredStoreKeepsRules guards against a store that comes back from a copy taking back
// what was in force, and against versions that were given out again hiding what is new.
func TestRestoredStoreKeepsRules(t *testing.T) {
	before := []*wire.TableDelta{
		{Version: 5, Full: true, Rows: []*wire.TableRow{valueRow("config", "1", 3), valueRow("evacuate", "east", 5)}},
		{Since: 5, Version: 8, Rows: []*wire.TableRow{valueRow("config", "2", 6), valueRow("new", "n", 7), removedRow("evacuate", 8)}},
	}
	copyAtFive := &wire.TableDelta{Era: 1, Version: 5, Full: true, Rows: []*wire.TableRow{valueRow("config", "1", 3), valueRow("evacuate", "east", 5)}}
	cases := map[string]struct {
		after []*wire.TableDelta
		want  map[string]string
	}{
		"copy without the latest changes": {
			after: []*wire.TableDelta{copyAtFive},
			want:  map[string]string{"config": "2", "new": "n"},
		},
		"the copy read twice": {
			after: []*wire.TableDelta{copyAtFive, copyAtFive},
			want:  map[string]string{"config": "2", "new": "n"},
		},
		"written again under versions of before": {
			after: []*wire.TableDelta{copyAtFive, {Era: 1, Since: 5, Version: 7, Rows: []*wire.TableRow{valueRow("config", "3", 6), removedRow("new", 7)}}},
			want:  map[string]string{"config": "3"},
		},
		"evacuated anew": {
			after: []*wire.TableDelta{copyAtFive, {Era: 1, Since: 5, Version: 6, Rows: []*wire.TableRow{valueRow("evacuate", "east", 6)}}},
			want:  map[string]string{"config": "2", "new": "n", "evacuate": "east"},
		},
		"written before the first read of the era": {
			after: []*wire.TableDelta{{Era: 1, Version: 6, Full: true, Rows: []*wire.TableRow{valueRow("config", "3", 6), valueRow("evacuate", "east", 5)}}},
			want:  map[string]string{"config": "3", "new": "n"},
		},
		"late answer of the earlier era": {
			after: []*wire.TableDelta{copyAtFive, {Since: 8, Version: 9, Rows: []*wire.TableRow{valueRow("late", "l", 9)}}},
			want:  map[string]string{"config": "2", "new": "n"},
		},
		"feed of the later era without a full read": {
			after: []*wire.TableDelta{{Era: 1, Since: 8, Version: 9, Rows: []*wire.TableRow{valueRow("skipped", "s", 9)}}},
			want:  map[string]string{"config": "2", "new": "n"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewReplica("t", func([]string) {})
			for _, delta := range slices.Concat(before, c.after) {
				r.Apply(delta, clock.Second)
			}
			if got := contents(r); !maps.Equal(got, c.want) {
				t.Errorf("holds %v, want %v", got, c.want)
			}
		})
	}
}

// TestRestoredStoreNeedsFullTable guards against a reader that goes on from a version of the
// earlier era: what was written under lower versions of the new one would be skipped.
func TestRestoredStoreNeedsFullTable(t *testing.T) {
	r := NewReplica("t", func([]string) {})
	r.Apply(&wire.TableDelta{Version: 5, Full: true}, 0)
	if r.Apply(&wire.TableDelta{Era: 1, Since: 5, Version: 6, Rows: []*wire.TableRow{row("a", 6)}}, 0) {
		t.Error("changes of a later era were taken without the full table")
	}
}

// TestPeersKeepRulesOfRestoredStore guards against an instance that knows only the copy, as
// one that has just started, staying without what the others have kept.
func TestPeersKeepRulesOfRestoredStore(t *testing.T) {
	informed, fresh := NewReplica("t", func([]string) {}), NewReplica("t", func([]string) {})
	informed.Apply(&wire.TableDelta{Version: 5, Full: true, Rows: []*wire.TableRow{valueRow("old", "o", 4)}}, 0)
	informed.Apply(&wire.TableDelta{Since: 5, Version: 7, Rows: []*wire.TableRow{valueRow("evacuate", "east", 6), removedRow("old", 7)}}, 0)
	restored := &wire.TableDelta{Era: 1, Version: 5, Full: true, Rows: []*wire.TableRow{valueRow("old", "o", 4)}}
	informed.Apply(restored, clock.Second)
	fresh.Apply(restored, clock.Second)
	digest, _ := fresh.Digest(clock.Second)
	fresh.Apply(informed.DeltaSince(digest, clock.Second), clock.Second)
	if got := contents(fresh); !maps.Equal(got, map[string]string{"evacuate": "east"}) {
		t.Errorf("the fresh replica holds %v", got)
	}
	digest, _ = fresh.Digest(clock.Second)
	if delta := informed.DeltaSince(digest, clock.Second); len(delta.GetRows()) > 0 {
		t.Errorf("the kept rows are sent to a peer that has them: %v", delta.GetRows())
	}
}

// TestCarriedServersExpire guards against a backend server that left around the restore
// staying in use: it does not register again.
func TestCarriedServersExpire(t *testing.T) {
	var changed []string
	r := NewReplica("t", func(keys []string) { changed = keys })
	r.Apply(&wire.TableDelta{Version: 5, Full: true, Rows: []*wire.TableRow{row("back", 4), row("gone", 5)}}, 0)
	copied := &wire.TableDelta{Era: 1, Version: 2, Full: true}
	r.Apply(copied, clock.Second)
	r.Apply(&wire.TableDelta{Era: 1, Since: 2, Version: 3, Rows: []*wire.TableRow{row("back", 3)}}, 2*clock.Second)
	r.DropCarried(2*clock.Second, 2*clock.Second)
	if r.Row("gone") == nil {
		t.Error("a server was dropped before it could register again")
	}
	r.DropCarried(3*clock.Second, 2*clock.Second)
	if r.Row("gone") != nil || r.Row("back") == nil || fmt.Sprint(changed) != "[gone]" {
		t.Errorf("holds %v, changed %v", contents(r), changed)
	}
}

// TestRestoredReplicasAgree applies random writes, restores and exchanges between peers, and
// then the operator's new word on each key: all replicas must agree with the store.
func TestRestoredReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{}
		replicas := []*Replica{NewReplica("t", func([]string) {}), NewReplica("t", func([]string) {}), NewReplica("t", func([]string) {})}
		now := clock.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += 10
			r := replicas[rapid.IntRange(0, 2).Draw(t, "replica")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				store.write(rapid.StringMatching("[abc]").Draw(t, "key"), rapid.Bool().Draw(t, "removed"))
			case 2:
				store.restore(rapid.IntRange(0, len(store.history)).Draw(t, "copy"))
			case 3:
				store.follow(r, now)
			default:
				from := replicas[rapid.IntRange(0, 2).Draw(t, "from")]
				digest, _ := r.Digest(now)
				if delta := from.DeltaSince(digest, now); delta != nil {
					r.Apply(delta, now)
				}
			}
		}
		for _, key := range []string{"a", "b", "c"} {
			store.write(key, false)
		}
		for _, r := range replicas {
			store.follow(r, now)
			if got, want := contents(r), store.contents(); !maps.Equal(got, want) {
				t.Fatalf("a replica holds %v, the store %v", got, want)
			}
		}
	})
}

// modelStore is a table of a store that can come back from a copy of an earlier state.
type modelStore struct {
	era     int64
	writes  int
	history []*wire.TableRow
}

func (s *modelStore) write(key string, removed bool) {
	s.writes++
	s.history = append(s.history, &wire.TableRow{Key: key, Value: fmt.Append(nil, s.writes), Version: int64(len(s.history) + 1), Removed: removed})
}

// restore takes back all but the first writes.
func (s *modelStore) restore(kept int) {
	s.era++
	s.history = s.history[:kept:kept]
}

func (s *modelStore) rows() map[string]*wire.TableRow {
	rows := make(map[string]*wire.TableRow)
	for _, row := range s.history {
		rows[row.GetKey()] = row
		if row.GetRemoved() {
			delete(rows, row.GetKey())
		}
	}
	return rows
}

func (s *modelStore) contents() map[string]string {
	out := make(map[string]string)
	for key, row := range s.rows() {
		out[key] = string(row.GetValue())
	}
	return out
}

// follow brings a replica up to date as the platform's adapter does: from the feed, or with
// the whole table in a later era.
func (s *modelStore) follow(r *Replica, now clock.Millis) {
	delta := &wire.TableDelta{Era: s.era, Since: r.Version(), Version: int64(len(s.history))}
	if _, known := r.AsOf(); known && r.Era() == s.era {
		delta.Rows = s.history[min(r.Version(), delta.GetVersion()):]
	} else {
		delta.Full, delta.Since = true, 0
		delta.Rows = slices.Collect(maps.Values(s.rows()))
	}
	r.Apply(delta, now)
}
