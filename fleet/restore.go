package fleet

import (
	"bytes"
	"maps"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/cespare/xxhash/v2"
)

type (
	// carriedRow is a row, or the removal of one, that is kept although the store's present
	// era does not have it. The store came back from a copy that was made before.
	carriedRow struct {
		row *wire.TableRow
		// since is when the present era was first seen.
		since clock.Millis
	}

	// replacedRow identifies a row that was changed or removed.
	replacedRow struct {
		key       string
		version   int64
		valueHash uint64
		at        clock.Millis
	}
)

const (
	// replacedRetention is how long a replaced row is recognized in a restored copy of the
	// store. Backups are expected to be seconds old, well within this time.
	replacedRetention = 60 * clock.Second
	// maxReplaced bounds the replaced rows that are remembered.
	maxReplaced = 4096
)

// Era returns how often the store came back from a copy, as far as this copy of the table
// shows.
func (r *Replica) Era() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// Carried returns how many rows and removals are kept from an earlier era.
func (r *Replica) Carried() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.carried)
}

// DropCarried drops the rows that have been kept from an earlier era for longer than maxAge
// without having been written again.
func (r *Replica) DropCarried(now, maxAge clock.Millis) {
	var dropped []string
	r.mu.Lock()
	for key, kept := range r.carried {
		if now-kept.since < maxAge || kept.row.GetRemoved() {
			continue
		}
		delete(r.rows, key)
		r.carried[key] = carriedRow{row: &wire.TableRow{Key: key, Version: kept.row.GetVersion(), Removed: true}, since: kept.since}
		dropped = append(dropped, key)
	}
	r.mu.Unlock()
	if len(dropped) > 0 {
		slices.Sort(dropped)
		r.onChange(dropped)
	}
}

// rebase replaces this copy by the full table of a later era, which has returned from a copy
// of an earlier state. It keeps what is known to have changed after that state: a row
// that this instance knows to have been replaced is not taken back, and a row that is missing
// stays, until the present era has another one. It returns the keys of the rows that have
// changed. The caller must hold the lock.
func (r *Replica) rebase(delta *wire.TableDelta, at clock.Millis) []string {
	restored := make(map[string]*wire.TableRow, len(delta.GetRows()))
	for _, row := range delta.GetRows() {
		restored[row.GetKey()] = row
	}
	rows := make(map[string]*wire.TableRow, len(restored))
	carried := make(map[string]carriedRow)
	keep := func(key string, row *wire.TableRow) {
		kept := &wire.TableRow{Key: key, Value: row.GetValue(), Version: delta.GetVersion(), Removed: row == nil}
		carried[key] = carriedRow{row: kept, since: at}
		if row != nil {
			rows[key] = kept
		}
	}
	changed := make(map[string]struct{})
	for key, row := range restored {
		old := r.rows[key]
		switch {
		case row.GetCarried():
			changed[key] = struct{}{}
		case r.wasReplaced(row):
			keep(key, old)
		default:
			rows[key] = row
			if old == nil || !bytes.Equal(old.GetValue(), row.GetValue()) {
				changed[key] = struct{}{}
			}
		}
	}
	for key, old := range r.rows {
		if _, ok := restored[key]; !ok {
			keep(key, old)
		}
	}
	r.era, r.version, r.asOf = delta.GetEra(), delta.GetVersion(), max(r.asOf, at)
	r.rows, r.carried = rows, carried
	r.log, r.gaps, r.logFloor = nil, nil, delta.GetVersion()
	for _, row := range delta.GetRows() {
		if row.GetCarried() {
			r.mergeRows([]*wire.TableRow{row}, at)
		}
	}
	return slices.Sorted(maps.Keys(changed))
}

// supersedesCarried reports whether a row may replace what was kept from an earlier era under
// its key: nothing was, or the row was written in the present era after this copy was rebased.
// A row that a peer has kept is taken in as such. The caller must hold the lock.
func (r *Replica) supersedesCarried(row *wire.TableRow, at clock.Millis) bool {
	kept, ok := r.carried[row.GetKey()]
	if ok && row.GetVersion() <= kept.row.GetVersion() {
		return false
	}
	if row.GetCarried() && r.rows[row.GetKey()].GetVersion() >= row.GetVersion() {
		return false
	}
	delete(r.carried, row.GetKey())
	if row.GetCarried() {
		r.carried[row.GetKey()] = carriedRow{row: row, since: at - clock.Millis(max(row.GetCarriedAgeMs(), 0))}
	}
	return true
}

// isCarried reports whether what is known under a key was kept from an earlier era. The
// caller must hold the lock.
func (r *Replica) isCarried(key string) bool {
	_, ok := r.carried[key]
	return ok
}

// carriedRows returns what was kept from an earlier era, to be sent to a peer. The caller
// must hold the lock.
func (r *Replica) carriedRows(now clock.Millis) []*wire.TableRow {
	var out []*wire.TableRow
	for _, kept := range r.carried {
		out = append(out, &wire.TableRow{
			Key: kept.row.GetKey(), Value: kept.row.GetValue(), Version: kept.row.GetVersion(), Removed: kept.row.GetRemoved(),
			Carried: true, CarriedAgeMs: int64(max(now-kept.since, 0)),
		})
	}
	return out
}

// carriedHash returns a hash of what was kept from an earlier era, or zero if nothing was.
// The caller must hold the lock.
func (r *Replica) carriedHash() uint64 {
	sum := uint64(0)
	for key, kept := range r.carried {
		sum += xxhash.Sum64String(key) ^ (xxhash.Sum64(kept.row.GetValue()) << 1)
	}
	return sum
}

// recordReplaced remembers a row that is about to be changed or removed. The caller must hold
// the lock.
func (r *Replica) recordReplaced(old *wire.TableRow, at clock.Millis) {
	if old == nil {
		return
	}
	if len(r.replaced) >= maxReplaced {
		r.replaced = slices.Clone(r.replaced[maxReplaced/4:])
	}
	r.replaced = append(r.replaced, replacedRow{key: old.GetKey(), version: old.GetVersion(), valueHash: xxhash.Sum64(old.GetValue()), at: at})
}

// forgetReplaced forgets the rows that were replaced longer than replacedRetention ago. The
// caller must hold the lock.
func (r *Replica) forgetReplaced(now clock.Millis) {
	expired := 0
	for expired < len(r.replaced) && now-r.replaced[expired].at > replacedRetention {
		expired++
	}
	r.replaced = r.replaced[expired:]
}

// wasReplaced reports whether a row of a restored copy is one that was replaced since. The
// caller must hold the lock.
func (r *Replica) wasReplaced(row *wire.TableRow) bool {
	return slices.ContainsFunc(r.replaced, func(old replacedRow) bool {
		return old.key == row.GetKey() && old.version == row.GetVersion() && old.valueHash == xxhash.Sum64(row.GetValue())
	})
}
