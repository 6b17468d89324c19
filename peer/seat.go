package peer

import (
	"context"
	"sort"
	"strings"

	"github.com/bulrushferry/bulrushferry/authority"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

// wantedSeats is a seat change that this instance has seen the need for.
type wantedSeats struct {
	members string
	since   clock.Millis
}

const (
	// stableFor is how long the members must stay the same before slots move.
	stableFor = 700 * clock.Millis(1)
	// proposerPatience is how much longer each further member waits.
	proposerPatience = 1500 * clock.Millis(1)
	changeKindSeats  = "seats"
	changeBySystem   = "bulrushferry"
)

// balanceOnce moves fleet slots from lost or leaving holders to live members
// and evens them out. The member with the lowest name proposes first.
func (f *Fleet) balanceOnce(ctx context.Context) {
	seats, ok := f.planSeats().Get()
	if !ok {
		return
	}
	base := f.State().GetRevision()
	result := f.commit(ctx, commitRequest{
		id:   newChangeID(),
		kind: changeKindSeats,
		who:  changeBySystem,
		build: func(state *wire.State) error {
			if state.GetRevision() != base+1 {
				return errSuperseded.New("the state has moved on")
			}
			state.Seats = seats
			return nil
		},
	})
	f.config.Log.Info("moving fleet slots", "stored", result.GetStored(), "error", result.GetError())
}

// planSeats returns the seats that the fleet should have, once this instance
// is the one to propose them.
func (f *Fleet) planSeats() values.Option[[]*wire.Seat] {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Clock.Now()
	if !f.view.StoreFresh(now) || !f.mayMoveSlots(now) {
		return values.None[[]*wire.Seat]()
	}
	live := f.seatMembers(now)
	slots := max(f.config.MinSlots, len(f.view.State().GetSeats()))
	plan := authority.BalanceSlots(f.view.State().GetSeats(), live, slots)
	if _, ok := plan.Get(); !ok {
		f.wanted = wantedSeats{}
		return plan
	}
	names := memberNames(live)
	if f.wanted.members != names {
		f.wanted = wantedSeats{members: names, since: now}
	}
	if now-f.wanted.since < f.patience(live) {
		return values.None[[]*wire.Seat]()
	}
	f.wanted = wantedSeats{}
	return plan
}

// patience is how long this member waits before it proposes a change, so that
// the members do not all propose at once.
func (f *Fleet) patience(live []*wire.Seat) clock.Millis {
	rank := 0
	for _, member := range live {
		if member.GetIncarnation() < f.config.Self.GetIncarnation() {
			rank++
		}
	}
	return stableFor + clock.Millis(rank)*proposerPatience
}

// mayMoveSlots reports whether the holders of more than half of the slots are
// heard or known to be gone, so that a small part of a divided fleet does not
// take slots from the rest. The caller holds the lock.
func (f *Fleet) mayMoveSlots(now clock.Millis) bool {
	seats := f.view.State().GetSeats()
	if len(seats) == 0 {
		return true
	}
	known := 0
	for _, seat := range seats {
		heard := f.view.HeardWithin(now, seat.GetIncarnation(), f.config.Timing.SuspicionTimeout)
		if heard || f.view.IsDead(seat.GetIncarnation()) {
			known++
		}
	}
	return 2*known > len(seats)
}

// seatMembers lists who should hold slots: this instance and the peers it
// hears, but for those that stop, and silent holders that another peer hears.
// The caller holds the lock.
func (f *Fleet) seatMembers(now clock.Millis) []*wire.Seat {
	var live []*wire.Seat
	peers := f.liveMembers(now)
	if !f.stopping {
		live = append(live, f.config.Self)
	}
	heard := values.NewSet(f.config.Self.GetIncarnation())
	for _, member := range peers {
		heard = heard.With(member.Seat.GetIncarnation())
		if !member.Stopping {
			live = append(live, member.Seat)
		}
	}
	for _, seat := range f.view.State().GetSeats() {
		holder := seat.GetIncarnation()
		if heard.Has(holder) || f.view.IsDead(holder) || holder == "" {
			continue
		}
		heard = heard.With(holder)
		if heardByAny(peers, holder) {
			live = append(live, seat)
		}
	}
	return live
}

// heardByAny reports whether some peer still hears a seat holder.
func heardByAny(peers []Member, incarnation string) bool {
	for _, member := range peers {
		if !member.Unheard.Has(incarnation) {
			return true
		}
	}
	return false
}

func memberNames(members []*wire.Seat) string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.GetIncarnation())
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}
