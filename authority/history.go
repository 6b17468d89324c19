package authority

import (
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// ShareFunc computes an instance's share of one limit under a state.
	ShareFunc[T int | float64] func(state *wire.State) T

	// StateHistory keeps the current state and the earlier ones under which some
	// instance may still act. A share gained in a newer state is thereby used only
	// after its previous holder has stopped using it.
	StateHistory struct {
		entries []historyEntry
	}

	historyEntry struct {
		state *wire.State
		// expiresAt is absent while it is not known when the state stops having effect.
		expiresAt values.Option[clock.Millis]
	}
)

// Add appends a newly adopted state. If the seats changed more than once since the
// last state, this instance may have lost a share and regained it in between. An
// empty state is then inserted, so that the instance holds no share until that
// entry has expired.
func (h *StateHistory) Add(state *wire.State) {
	if len(h.entries) > 0 {
		last := h.entries[len(h.entries)-1].state
		if state.GetEarlierSeatsRevision() > last.GetRevision() {
			h.entries = append(h.entries, historyEntry{state: &wire.State{Revision: last.GetRevision()}})
		}
	}
	h.entries = append(h.entries, historyEntry{state: state})
}

// RecordSeatChange sets the prior seats and the seat revisions of a state from the
// state before it.
func RecordSeatChange(next, previous *wire.State) {
	next.PriorSeats = previous.GetSeats()
	next.SeatsRevision = previous.GetSeatsRevision()
	next.EarlierSeatsRevision = previous.GetEarlierSeatsRevision()
	if sameHolders(next.GetSeats(), previous.GetSeats()) {
		return
	}
	next.EarlierSeatsRevision = previous.GetSeatsRevision()
	next.SeatsRevision = next.GetRevision()
}

func sameHolders(a, b []*wire.Seat) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Seat) bool {
		return x.GetIncarnation() == y.GetIncarnation()
	})
}

// ExpireBefore sets the expiry of all states below the given revision that have
// none yet. By then no instance may have authority on them, and every request and
// loan that began under them must have ended.
func (h *StateHistory) ExpireBefore(revision int64, expiresAt clock.Millis) {
	for i := range h.entries {
		entry := &h.entries[i]
		if _, set := entry.expiresAt.Get(); !set && entry.state.GetRevision() < revision {
			entry.expiresAt = values.Some(expiresAt)
		}
	}
}

// Prune removes the expired states and reports whether there were any. The last
// state is always kept.
func (h *StateHistory) Prune(now clock.Millis) bool {
	kept := h.entries[:0]
	for i, entry := range h.entries {
		at, set := entry.expiresAt.Get()
		if i == len(h.entries)-1 || !set || now < at {
			kept = append(kept, entry)
		}
	}
	pruned := len(kept) < len(h.entries)
	h.entries = kept
	return pruned
}

// MinShare returns the smallest share under any state that has not been pruned.
func MinShare[T int | float64](h *StateHistory, share ShareFunc[T]) T {
	var least T
	for i, entry := range h.entries {
		if s := share(entry.state); i == 0 || s < least {
			least = s
		}
	}
	return least
}
