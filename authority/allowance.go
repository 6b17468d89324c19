package authority

import (
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// ShareFunc computes an instance's part of one limit under a state.
	ShareFunc[T int | float64] func(state *wire.State) T

	// StateHistory keeps the states whose holders may still act, so that a part
	// gained in a newer state is used only once its former holder has stopped.
	StateHistory struct {
		past []pastState
	}

	pastState struct {
		state     *wire.State
		expiresAt values.Option[clock.Millis]
	}
)

// Add records that a state came into force. Where seats have changed more
// than once since the last state, this instance may have lost a part in between
// and got it back, so it holds nothing until that has been settled.
func (h *StateHistory) Add(state *wire.State) {
	if len(h.past) > 0 {
		last := h.past[len(h.past)-1].state
		if state.GetEarlierSeatsRevision() > last.GetRevision() {
			h.past = append(h.past, pastState{state: &wire.State{Revision: last.GetRevision()}})
		}
	}
	h.past = append(h.past, pastState{state: state})
}

// RecordSeatChange notes in a state whether its seats differ from those of the state
// before it.
func RecordSeatChange(next, before *wire.State) {
	next.PriorSeats = before.GetSeats()
	next.SeatsRevision = before.GetSeatsRevision()
	next.EarlierSeatsRevision = before.GetEarlierSeatsRevision()
	if sameSeats(next.GetSeats(), before.GetSeats()) {
		return
	}
	next.EarlierSeatsRevision = before.GetSeatsRevision()
	next.SeatsRevision = next.GetRevision()
}

func sameSeats(a, b []*wire.Seat) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Seat) bool {
		return x.GetIncarnation() == y.GetIncarnation()
	})
}

// ExpireBefore sets the time after which the states before the given revision
// no longer bind: no instance has authority on them any more and every request
// and loan that began under them has ended.
func (h *StateHistory) ExpireBefore(revision int64, expiresAt clock.Millis) {
	for i := range h.past {
		past := &h.past[i]
		if _, set := past.expiresAt.Get(); !set && past.state.GetRevision() < revision {
			past.expiresAt = values.Some(expiresAt)
		}
	}
}

// Prune forgets the states that no longer bind. It reports whether any was
// forgotten. The last state is always kept.
func (h *StateHistory) Prune(now clock.Millis) bool {
	kept := h.past[:0]
	for i, past := range h.past {
		at, set := past.expiresAt.Get()
		if i == len(h.past)-1 || !set || now < at {
			kept = append(kept, past)
		}
	}
	pruned := len(kept) < len(h.past)
	h.past = kept
	return pruned
}

// MinShare returns the least part that any state which still binds gives.
func MinShare[T int | float64](h *StateHistory, part ShareFunc[T]) T {
	var least T
	for i, past := range h.past {
		if p := part(past.state); i == 0 || p < least {
			least = p
		}
	}
	return least
}
