// Package authority decides whether an instance may act on what it knows, and
// which part of every fleet-wide limit it holds. It does no input or output:
// times and messages come in as arguments, so that tests can run it quickly.
package authority

import (
	"math"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// Config configures a View.
	Config struct {
		// Incarnation identifies the running process.
		Incarnation string
		PeerAddress string
		// AuthorityTerm is how long a fresh read or a round of polls lets an instance act.
		AuthorityTerm clock.Millis
	}

	// View is what one instance knows of the fleet. It is not safe for
	// concurrent use.
	View struct {
		config      Config
		state       *wire.State
		learnedAt   clock.Millis
		storeReadAt values.Option[clock.Millis]
		confirmedAt values.Option[clock.Millis]
		heard       map[string]heardPeer
		gone        map[string]struct{}
		// polledUntil is when the holders of more than half of the slots will
		// no longer have been heard within the term.
		polledUntil clock.Millis
	}

	// PeerResponse is what a peer said to a poll.
	PeerResponse struct {
		Incarnation string
		PeerAddress string
		Revision    int64
		// State is set when the peer's revision was higher than the poller's.
		State *wire.State
	}

	heardPeer struct {
		sentAt   clock.Millis
		revision int64
	}
)

// NewView returns the view of an instance that knows nothing yet.
func NewView(config Config) *View {
	return &View{
		config: config,
		state:  &wire.State{},
		// The empty state needs no confirmation.
		confirmedAt: values.Some[clock.Millis](0),
		heard:       make(map[string]heardPeer),
		gone:        make(map[string]struct{}),
	}
}

// State returns the state in force. It must not be changed.
func (v *View) State() *wire.State {
	return v.state
}

// OnStoreRead takes in a read of the table service that was sent at sentAt.
// It reports whether a higher revision came into force.
func (v *View) OnStoreRead(sentAt, now clock.Millis, state *wire.State) bool {
	last, ok := v.storeReadAt.Get()
	if !ok || sentAt > last {
		v.storeReadAt = values.Some(sentAt)
	}
	return v.AdoptIfNewer(now, state)
}

// OnPeerResponse takes in a peer's answer to a poll that was sent at sentAt.
// It reports whether a higher revision came into force.
func (v *View) OnPeerResponse(sentAt, now clock.Millis, answer PeerResponse) bool {
	v.markReplaced(sentAt, answer)
	advanced := v.AdoptIfNewer(now, answer.State)
	last, known := v.heard[answer.Incarnation]
	last.revision = max(last.revision, answer.Revision)
	// A peer that knows more than this instance gives it no authority.
	informed := answer.Revision <= v.state.GetRevision()
	if informed && (!known || sentAt >= last.sentAt) {
		last.sentAt = sentAt
		known = true
	}
	if known {
		v.heard[answer.Incarnation] = last
	}
	v.polledUntil = v.heardByMajorityUntil()
	v.confirm(now)
	return advanced
}

// AdoptIfNewer puts a state in force if its revision is higher than the present one.
func (v *View) AdoptIfNewer(now clock.Millis, state *wire.State) bool {
	if state.GetRevision() <= v.state.GetRevision() {
		return false
	}
	v.state = state
	v.learnedAt = now
	v.polledUntil = v.heardByMajorityUntil()
	v.confirmedAt = values.None[clock.Millis]()
	v.forgetReplaced()
	v.confirm(now)
	return true
}

// StoreFresh reports whether the table service was read within the term.
func (v *View) StoreFresh(now clock.Millis) bool {
	at, ok := v.storeReadAt.Get()
	return ok && now-at < v.config.AuthorityTerm
}

// HasAuthority reports whether the instance may act on its state: it read the
// table service within the term, or heard the holders of more than half of
// the fleet's slots within the term.
func (v *View) HasAuthority(now clock.Millis) bool {
	if v.StoreFresh(now) {
		return true
	}
	return now < v.polledUntil
}

// heardByMajorityUntil returns the time at which authority by polls ends.
func (v *View) heardByMajorityUntil() clock.Millis {
	seats := v.state.GetSeats()
	if len(seats) == 0 {
		return 0
	}
	ends := make([]clock.Millis, len(seats))
	for i, seat := range seats {
		ends[i] = v.heardUntil(seat.GetIncarnation())
	}
	slices.Sort(ends)
	// The holders from this place on are the fewest that are more than half.
	return ends[(len(ends)-1)/2]
}

func (v *View) heardUntil(incarnation string) clock.Millis {
	if incarnation == v.config.Incarnation {
		return math.MaxInt64
	}
	if peer, ok := v.heard[incarnation]; ok {
		return peer.sentAt + v.config.AuthorityTerm
	}
	return 0
}

// SlotsHeard counts the slots whose holders were heard within the term.
func (v *View) SlotsHeard(now clock.Millis) int {
	return count(v.state.GetSeats(), func(incarnation string) bool {
		return v.HeardWithin(now, incarnation, v.config.AuthorityTerm)
	})
}

// HeardWithin reports whether an incarnation answered a poll sent within a span.
func (v *View) HeardWithin(now clock.Millis, incarnation string, span clock.Millis) bool {
	if incarnation == v.config.Incarnation {
		return true
	}
	peer, ok := v.heard[incarnation]
	return ok && now-peer.sentAt < span
}

// IsDead reports whether an incarnation is known to have been replaced.
func (v *View) IsDead(incarnation string) bool {
	_, ok := v.gone[incarnation]
	return ok
}

// ConfirmedAt returns when this instance learned that the holders of more than
// half of the prior slots know the present revision. From then on no instance
// gains authority on a lower revision.
func (v *View) ConfirmedAt() (clock.Millis, bool) {
	return v.confirmedAt.Get()
}

// UnconfirmedInstances names the prior seat holders not known to have the present
// revision.
func (v *View) UnconfirmedInstances() []string {
	missing := values.NewSet[string]()
	for _, seat := range v.state.GetPriorSeats() {
		if seat.GetIncarnation() != "" && !v.knows(seat.GetIncarnation()) {
			missing = missing.With(seat.GetInstance())
		}
	}
	return missing.Sorted()
}

// DeclareDead records an operator's word that a process no longer runs.
func (v *View) DeclareDead(now clock.Millis, instance string) {
	for _, seats := range [][]*wire.Seat{v.state.GetSeats(), v.state.GetPriorSeats()} {
		for _, seat := range seats {
			if seat.GetInstance() == instance && seat.GetIncarnation() != v.config.Incarnation {
				v.gone[seat.GetIncarnation()] = struct{}{}
			}
		}
	}
	v.confirm(now)
}

func (v *View) confirm(now clock.Millis) {
	if _, ok := v.confirmedAt.Get(); ok {
		return
	}
	prior := v.state.GetPriorSeats()
	if len(prior) == 0 || majority(count(prior, v.knows), len(prior)) {
		v.confirmedAt = values.Some(now)
	}
}

// knows reports whether an incarnation has the present revision or can never
// again answer a poll.
func (v *View) knows(incarnation string) bool {
	if incarnation == "" || incarnation == v.config.Incarnation || v.IsDead(incarnation) {
		return true
	}
	return v.heard[incarnation].revision >= v.state.GetRevision()
}

// markReplaced records that a seat's address is now served by another process.
// A seat is given only to a process that serves its address, so whoever answers
// there to a poll sent after the seat was learned has come after its holder.
func (v *View) markReplaced(sentAt clock.Millis, answer PeerResponse) {
	if sentAt < v.learnedAt {
		return
	}
	for _, seats := range [][]*wire.Seat{v.state.GetSeats(), v.state.GetPriorSeats()} {
		for _, seat := range seats {
			sameAddress := seat.GetPeerAddress() == answer.PeerAddress
			if sameAddress && seat.GetIncarnation() != answer.Incarnation {
				v.gone[seat.GetIncarnation()] = struct{}{}
			}
		}
	}
}

// forgetReplaced marks earlier processes at this instance's own address as
// gone, and forgets those that are in no seat any more.
func (v *View) forgetReplaced() {
	known := values.NewSet[string]()
	for _, seats := range [][]*wire.Seat{v.state.GetSeats(), v.state.GetPriorSeats()} {
		for _, seat := range seats {
			known = known.With(seat.GetIncarnation())
			own := seat.GetPeerAddress() == v.config.PeerAddress
			if own && seat.GetIncarnation() != v.config.Incarnation {
				v.gone[seat.GetIncarnation()] = struct{}{}
			}
		}
	}
	for incarnation := range v.gone {
		if !known.Has(incarnation) {
			delete(v.gone, incarnation)
		}
	}
}

func majority(part, whole int) bool {
	return 2*part > whole
}

func count(seats []*wire.Seat, holds func(incarnation string) bool) int {
	n := 0
	for _, seat := range seats {
		if holds(seat.GetIncarnation()) {
			n++
		}
	}
	return n
}
