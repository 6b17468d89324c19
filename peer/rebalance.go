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

// pendingRebalance records since when the eligible holders have stayed the same.
// This instance proposes a seat change once that is long enough.
type pendingRebalance struct {
	incarnations string
	since        clock.Millis
}

const (
	// membershipStableTime is how long the eligible holders must stay the same
	// before slots are moved.
	membershipStableTime = 700 * clock.Millis(1)
	// proposerStagger is how much longer each member waits than the one before
	// it in the order of incarnations.
	proposerStagger = 1500 * clock.Millis(1)
	changeKindSeats = "seats"
	systemAuthor    = "bulrushferry"
)

// rebalanceSlots moves fleet slots from lost or stopping holders to live members
// and balances them evenly. The member with the lowest incarnation proposes first.
func (f *Fleet) rebalanceSlots(ctx context.Context) {
	seats, ok := f.planSeats().Get()
	if !ok {
		return
	}
	base := f.State().GetRevision()
	result := f.commit(ctx, commitRequest{
		id:     newChangeID(),
		kind:   changeKindSeats,
		author: systemAuthor,
		apply: func(state *wire.State) error {
			if state.GetRevision() != base+1 {
				return errSuperseded.New("the state has moved on")
			}
			state.Seats = seats
			return nil
		},
	})
	f.config.Log.Info("proposed a rebalancing of fleet slots", "stored", result.GetStored(), "error", result.GetError())
}

// planSeats returns the seats to propose. It returns nothing if no slot has to be
// moved or added, or if this instance may not propose a change now.
func (f *Fleet) planSeats() values.Option[[]*wire.Seat] {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Clock.Now()
	if !f.view.StoreFresh(now) || !f.majorityAccountedFor(now) {
		return values.None[[]*wire.Seat]()
	}
	live := f.eligibleHolders(now)
	slots := max(f.config.MinSlots, len(f.view.State().GetSeats()))
	plan := authority.BalanceSlots(f.view.State().GetSeats(), live, slots)
	if _, ok := plan.Get(); !ok {
		f.pending = pendingRebalance{}
		return plan
	}
	names := joinIncarnations(live)
	if f.pending.incarnations != names {
		f.pending = pendingRebalance{incarnations: names, since: now}
	}
	if now-f.pending.since < f.proposalDelay(live) {
		return values.None[[]*wire.Seat]()
	}
	f.pending = pendingRebalance{}
	return plan
}

// proposalDelay returns how long this instance waits before it proposes a change.
// The delays differ so that the members do not all propose at once.
func (f *Fleet) proposalDelay(live []*wire.Seat) clock.Millis {
	rank := 0
	for _, member := range live {
		if member.GetIncarnation() < f.config.Self.GetIncarnation() {
			rank++
		}
	}
	return membershipStableTime + clock.Millis(rank)*proposerStagger
}

// majorityAccountedFor reports whether the holders of a majority of the slots have
// responded within the suspicion timeout or are known to be dead. It prevents the
// minority side of a network partition from taking slots from the majority. The
// caller must hold the lock.
func (f *Fleet) majorityAccountedFor(now clock.Millis) bool {
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

// eligibleHolders returns the processes that should hold slots: this instance and
// its live peers, except those that are stopping, and the current holders that
// respond to a peer though not to this instance. The caller must hold the lock.
func (f *Fleet) eligibleHolders(now clock.Millis) []*wire.Seat {
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
		if heardByAnyPeer(peers, holder) {
			live = append(live, seat)
		}
	}
	return live
}

// heardByAnyPeer reports whether a seat holder still responds to at least one peer.
func heardByAnyPeer(peers []Member, incarnation string) bool {
	for _, member := range peers {
		if !member.Unheard.Has(incarnation) {
			return true
		}
	}
	return false
}

// joinIncarnations returns the sorted incarnations as one string to compare.
func joinIncarnations(members []*wire.Seat) string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.GetIncarnation())
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}
