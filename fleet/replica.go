// Package fleet replicates what the entry instances of a deployment share: the
// tables stored by the platform and the list of running instances. Updates come from
// the platform's feed and by gossip from peers, each with its age.
package fleet

import (
	"maps"
	"slices"
	"sort"
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
)

// Replica is this instance's copy of one table of the platform. Its version never
// decreases within an era of the store. It is safe for concurrent use.
type Replica struct {
	name string
	// onChange gets the keys of the rows that have changed, each once.
	onChange func(keys []string)

	mu   sync.Mutex
	rows map[string]*wire.TableRow
	// log holds the latest changes in the order of their versions, up to
	// maxLogRows. Peers at logFloor or a later version get their changes
	// from it.
	log      []*wire.TableRow
	logFloor int64
	// gaps are the ranges of versions that were skipped by a full table. A peer inside
	// one may hold rows that came and went there, which the log does not show.
	gaps []versionGap
	// era counts how often the store came back from a copy. Versions count within it.
	era     int64
	version int64
	asOf    clock.Millis
	known   bool
	// carried holds what was kept from an earlier era, by key.
	carried map[string]carriedRow
	// replaced are the rows that were changed or removed lately, oldest first.
	replaced []replacedRow
	// peersAsOf is the time as of which the platform confirmed the most recent
	// copy of a peer.
	peersAsOf clock.Millis
}

// versionGap is a range of versions, without its two ends.
type versionGap struct{ after, before int64 }

// maxLogRows bounds the changes kept for peers that lag slightly behind.
const maxLogRows = 512

// NewReplica returns an empty copy of a table. It calls onChange after each change, with
// the keys of the rows that have changed, without holding a lock. Calls for changes in a
// row may come in any order.
func NewReplica(name string, onChange func(keys []string)) *Replica {
	return &Replica{name: name, rows: make(map[string]*wire.TableRow), carried: make(map[string]carriedRow), onChange: onChange}
}

// Name returns the table's name.
func (r *Replica) Name() string {
	return r.name
}

// Version returns the version up to which the table is known, or zero if nothing is
// known.
func (r *Replica) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// AsOf returns the time as of which the platform confirmed the table, and whether the
// table is known at all.
func (r *Replica) AsOf() (clock.Millis, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf, r.known
}

// RecordPeerAsOf records the time as of which the platform confirmed a peer's copy.
func (r *Replica) RecordPeerAsOf(asOf clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peersAsOf = max(r.peersAsOf, asOf)
}

// Lag returns how much older this copy is than the most recent copy of a peer.
func (r *Replica) Lag() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.peersAsOf-r.asOf)
}

// Apply applies changes that were confirmed as of the given time and ignores those of
// an older version. It returns false if changes before them are missing here, so that
// the full table is needed.
func (r *Replica) Apply(delta *wire.TableDelta, at clock.Millis) bool {
	changed, keys, ok := r.apply(delta, at)
	if changed {
		r.onChange(keys)
	}
	return ok
}

func (r *Replica) apply(delta *wire.TableDelta, at clock.Millis) (changed bool, keys []string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !delta.GetFull() && (!r.known || delta.GetEra() > r.era || delta.GetSince() > r.version) {
		return false, nil, false
	}
	if delta.GetEra() < r.era || (delta.GetEra() == r.era && delta.GetVersion() < r.version) {
		return false, nil, true
	}
	r.forgetReplaced(at)
	if r.known && delta.GetEra() > r.era {
		keys = r.rebase(delta, at)
		return len(keys) > 0, keys, true
	}
	r.era = delta.GetEra()
	first := !r.known
	if first {
		r.logFloor = delta.GetVersion()
	} else if delta.GetFull() && delta.GetVersion() > r.version {
		r.gaps = append(r.gaps, versionGap{after: r.version, before: delta.GetVersion()})
	}
	rows := delta.GetRows()
	if delta.GetFull() {
		rows = append(r.removalsFor(delta), rows...)
	}
	keys = r.mergeRows(rows, at)
	r.version = delta.GetVersion()
	r.asOf = max(r.asOf, at)
	r.known = true
	return first || len(keys) > 0, keys, true
}

// removalsFor returns a removal for each older row that a full table does not contain.
func (r *Replica) removalsFor(delta *wire.TableDelta) []*wire.TableRow {
	present := make(map[string]struct{}, len(delta.GetRows()))
	for _, row := range delta.GetRows() {
		present[row.GetKey()] = struct{}{}
	}
	var removals []*wire.TableRow
	for key, row := range r.rows {
		if _, ok := present[key]; !ok && row.GetVersion() < delta.GetVersion() && !r.isCarried(key) {
			removals = append(removals, &wire.TableRow{Key: key, Version: delta.GetVersion(), Removed: true})
		}
	}
	return removals
}

// mergeRows applies changed rows in the order of their versions and returns the keys of
// those that have changed, each once.
func (r *Replica) mergeRows(rows []*wire.TableRow, at clock.Millis) []string {
	rows = append([]*wire.TableRow(nil), rows...)
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].GetVersion() < rows[j].GetVersion() })
	changed := make(map[string]struct{}, len(rows))
	for _, row := range rows {
		if !r.supersedesCarried(row, at) {
			continue
		}
		old, ok := r.rows[row.GetKey()]
		if ok && old.GetVersion() >= row.GetVersion() {
			continue
		}
		if !ok && row.GetRemoved() {
			r.logUnknownRemoval(row)
			continue
		}
		r.recordReplaced(old, at)
		if row.GetRemoved() {
			delete(r.rows, row.GetKey())
		} else {
			r.rows[row.GetKey()] = row
		}
		r.log = append(r.log, row)
		changed[row.GetKey()] = struct{}{}
	}
	r.trimLog()
	return slices.Sorted(maps.Keys(changed))
}

// logUnknownRemoval keeps the removal of a row that this replica never had for its peers: the row
// may have come and gone between two reads of the feed, and a peer may have read it in between.
func (r *Replica) logUnknownRemoval(row *wire.TableRow) {
	if row.GetVersion() > r.version {
		r.log = append(r.log, row)
	}
}

func (r *Replica) trimLog() {
	extra := len(r.log) - maxLogRows
	if extra <= 0 {
		return
	}
	r.logFloor = max(r.logFloor, r.log[extra-1].GetVersion())
	r.log = append([]*wire.TableRow(nil), r.log[extra:]...)
	r.gaps = slices.DeleteFunc(r.gaps, func(gap versionGap) bool { return gap.before <= r.logFloor })
}

// covers reports whether the log holds all changes after a version. The caller must hold
// the lock.
func (r *Replica) covers(version int64) bool {
	if version == 0 || version < r.logFloor {
		return false
	}
	return !slices.ContainsFunc(r.gaps, func(gap versionGap) bool { return gap.after < version && version < gap.before })
}

// DeltaSince returns the changes after a peer's version, as its digest states it, or the
// full table if the log does not cover them. It returns nil if this copy is unknown or older
// than the peer's. Rows that were kept from an earlier era go along while the peer has others.
func (r *Replica) DeltaSince(peer *wire.TableDigest, now clock.Millis) *wire.TableDelta {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := peer.GetVersion()
	if !r.known || peer.GetEra() > r.era || (peer.GetEra() == r.era && version > r.version) {
		return nil
	}
	delta := &wire.TableDelta{Table: r.name, Since: version, Version: r.version, AgeMs: int64(now - r.asOf), Era: r.era}
	if peer.GetEra() < r.era || !r.covers(version) {
		delta.Full = true
		for key, row := range r.rows {
			if !r.isCarried(key) {
				delta.Rows = append(delta.Rows, row)
			}
		}
	} else {
		for _, row := range r.log {
			if row.GetVersion() > version && !r.isCarried(row.GetKey()) {
				delta.Rows = append(delta.Rows, row)
			}
		}
	}
	if delta.GetFull() || peer.GetCarried() != r.carriedHash() {
		delta.Rows = append(delta.Rows, r.carriedRows(now)...)
	}
	return delta
}

// IsOlderThan reports whether a peer's copy is of a later era or version.
func (r *Replica) IsOlderThan(peer *wire.TableDigest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return peer.GetEra() > r.era || (peer.GetEra() == r.era && peer.GetVersion() > r.version)
}

// Digest returns the version and age of this copy, and whether the table is known at all.
func (r *Replica) Digest(now clock.Millis) (*wire.TableDigest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known {
		return &wire.TableDigest{Table: r.name, AgeMs: int64(now)}, false
	}
	return &wire.TableDigest{Table: r.name, Version: r.version, AgeMs: int64(now - r.asOf), Era: r.era, Carried: r.carriedHash()}, true
}

// Row returns the row with a key, or nil if there is none.
func (r *Replica) Row(key string) *wire.TableRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key]
}

// Rows returns the table's rows in the order of their keys.
func (r *Replica) Rows() []*wire.TableRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]*wire.TableRow, 0, len(r.rows))
	for _, row := range r.rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].GetKey() < rows[j].GetKey() })
	return rows
}
