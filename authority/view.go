// Package authority decides whether an instance has authority to act on its copy
// of the fleet state, and which share of each fleet-wide limit it holds. Authority
// is a lease: reads of the table service or responses from a majority renew it.
//
// The fleet has numbered slots. A seat assigns a slot to a running process, which is
// identified by its incarnation. The slots that an instance holds are its votes in
// a majority and its share of the workspaces' rate limits.
//
// The package does no I/O: times and messages are passed in, so that tests run fast.
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
		// AuthorityTerm is how long a read of the table service or a peer's response
		// counts towards the instance's authority, from the time the request was sent.
		AuthorityTerm clock.Millis
	}

	// View is one instance's view of the fleet: its state, the peers that
	// responded, and the processes known to be dead. It is not safe for concurrent
	// use.
	View struct {
		config      Config
		state       *wire.State
		adoptedAt   clock.Millis
		storeReadAt values.Option[clock.Millis]
		confirmedAt values.Option[clock.Millis]
		contacts    map[string]peerContact
		dead        map[string]struct{}
		// quorumUntil is when the peers' responses stop covering a majority of the
		// slots.
		quorumUntil clock.Millis
	}

	// PeerResponse is a peer's response to a poll or a pushed state.
	PeerResponse struct {
		Incarnation string
		PeerAddress string
		Revision    int64
		// State is set if the peer's revision was higher than the poller's.
		State *wire.State
	}

	peerContact struct {
		// sentAt is when the latest request that the peer responded to was sent. A
		// response with a higher revision than this instance's does not count.
		sentAt clock.Millis
		// revision is the highest revision the peer is known to have.
		revision int64
	}
)

// NewView returns a view with an empty state and no known peers.
func NewView(config Config) *View {
	return &View{
		config: config,
		state:  &wire.State{},
		// The empty state needs no confirmation.
		confirmedAt: values.Some[clock.Millis](0),
		contacts:    make(map[string]peerContact),
		dead:        make(map[string]struct{}),
	}
}

// State returns the current state. Callers must not modify it.
func (v *View) State() *wire.State {
	return v.state
}

// OnStoreRead processes the result of a table service read that was sent at
// sentAt. It reports whether a higher revision was adopted.
func (v *View) OnStoreRead(sentAt, now clock.Millis, state *wire.State) bool {
	last, ok := v.storeReadAt.Get()
	if !ok || sentAt > last {
		v.storeReadAt = values.Some(sentAt)
	}
	return v.AdoptIfNewer(now, state)
}

// OnPeerResponse processes a peer's response to a request that was sent at
// sentAt. It reports whether a higher revision was adopted.
func (v *View) OnPeerResponse(sentAt, now clock.Millis, response PeerResponse) bool {
	v.markReplaced(sentAt, response)
	adopted := v.AdoptIfNewer(now, response.State)
	contact, known := v.contacts[response.Incarnation]
	contact.revision = max(contact.revision, response.Revision)
	// A peer with a higher revision must not extend this instance's authority.
	notAhead := response.Revision <= v.state.GetRevision()
	if notAhead && (!known || sentAt >= contact.sentAt) {
		contact.sentAt = sentAt
		known = true
	}
	if known {
		v.contacts[response.Incarnation] = contact
	}
	v.quorumUntil = v.quorumExpiry()
	v.updateConfirmation(now)
	return adopted
}

// AdoptIfNewer replaces the current state if the given one has a higher revision,
// and reports whether it did.
func (v *View) AdoptIfNewer(now clock.Millis, state *wire.State) bool {
	if state.GetRevision() <= v.state.GetRevision() {
		return false
	}
	v.state = state
	v.adoptedAt = now
	v.quorumUntil = v.quorumExpiry()
	v.confirmedAt = values.None[clock.Millis]()
	v.refreshDead()
	v.updateConfirmation(now)
	return true
}

// StoreFresh reports whether the table service was read within AuthorityTerm.
func (v *View) StoreFresh(now clock.Millis) bool {
	at, ok := v.storeReadAt.Get()
	return ok && now-at < v.config.AuthorityTerm
}

// HasAuthority reports whether the instance may act on its state. It may if,
// within AuthorityTerm, it read the table service or got responses from the
// holders of a majority of the fleet's slots. Slots that it holds itself count too.
func (v *View) HasAuthority(now clock.Millis) bool {
	if v.StoreFresh(now) {
		return true
	}
	return now < v.quorumUntil
}

// quorumExpiry returns the time at which authority based on peers' responses ends.
func (v *View) quorumExpiry() clock.Millis {
	seats := v.state.GetSeats()
	if len(seats) == 0 {
		return 0
	}
	expiries := make([]clock.Millis, len(seats))
	for i, seat := range seats {
		expiries[i] = v.contactExpiry(seat.GetIncarnation())
	}
	slices.Sort(expiries)
	// The entries from this index on are the smallest possible majority.
	return expiries[(len(expiries)-1)/2]
}

// contactExpiry returns the time until which an incarnation's last response counts
// towards authority. This instance always counts itself.
func (v *View) contactExpiry(incarnation string) clock.Millis {
	if incarnation == v.config.Incarnation {
		return math.MaxInt64
	}
	if peer, ok := v.contacts[incarnation]; ok {
		return peer.sentAt + v.config.AuthorityTerm
	}
	return 0
}

// SlotsHeard counts the slots whose holders responded within AuthorityTerm.
func (v *View) SlotsHeard(now clock.Millis) int {
	return countSeats(v.state.GetSeats(), func(incarnation string) bool {
		return v.HeardWithin(now, incarnation, v.config.AuthorityTerm)
	})
}

// HeardWithin reports whether an incarnation responded to a request that was sent
// less than span ago, with no higher revision than this instance had by then. This
// instance always counts as heard.
func (v *View) HeardWithin(now clock.Millis, incarnation string, span clock.Millis) bool {
	if incarnation == v.config.Incarnation {
		return true
	}
	peer, ok := v.contacts[incarnation]
	return ok && now-peer.sentAt < span
}

// IsDead reports whether an incarnation is known to have been replaced by another
// process or was declared dead by an operator.
func (v *View) IsDead(incarnation string) bool {
	_, ok := v.dead[incarnation]
	return ok
}

// ConfirmedAt returns when this instance learned that the holders of a majority
// of the prior slots have the current revision, if it did. From then on no
// instance gains authority on a lower revision.
func (v *View) ConfirmedAt() (clock.Millis, bool) {
	return v.confirmedAt.Get()
}

// UnconfirmedInstances returns the sorted names of the instances that hold prior
// seats and are not known to have the current revision.
func (v *View) UnconfirmedInstances() []string {
	missing := values.NewSet[string]()
	for _, seat := range v.state.GetPriorSeats() {
		if seat.GetIncarnation() != "" && !v.hasCurrentRevision(seat.GetIncarnation()) {
			missing = missing.With(seat.GetInstance())
		}
	}
	return missing.Sorted()
}

// DeclareDead marks the processes that hold seats under an instance's name as
// dead, on an operator's statement that they no longer run. It never marks this
// process.
func (v *View) DeclareDead(now clock.Millis, instance string) {
	for _, seats := range [][]*wire.Seat{v.state.GetSeats(), v.state.GetPriorSeats()} {
		for _, seat := range seats {
			if seat.GetInstance() == instance && seat.GetIncarnation() != v.config.Incarnation {
				v.dead[seat.GetIncarnation()] = struct{}{}
			}
		}
	}
	v.updateConfirmation(now)
}

// updateConfirmation sets confirmedAt once a majority of the prior slots is held by
// incarnations that have the current revision.
func (v *View) updateConfirmation(now clock.Millis) {
	if _, ok := v.confirmedAt.Get(); ok {
		return
	}
	prior := v.state.GetPriorSeats()
	if len(prior) == 0 || isMajority(countSeats(prior, v.hasCurrentRevision), len(prior)) {
		v.confirmedAt = values.Some(now)
	}
}

// hasCurrentRevision reports whether an incarnation has the current revision. It is
// also true of an unheld slot and of a dead holder, which can never again respond
// to a poll and so gives nobody authority on a lower revision.
func (v *View) hasCurrentRevision(incarnation string) bool {
	if incarnation == "" || incarnation == v.config.Incarnation || v.IsDead(incarnation) {
		return true
	}
	return v.contacts[incarnation].revision >= v.state.GetRevision()
}

// markReplaced marks seat holders as dead whose address is now served by another
// process. A seat is assigned only to a process that serves its address, so a
// different process that responds there to a request sent after the seat was
// learned must have started after the holder.
func (v *View) markReplaced(sentAt clock.Millis, response PeerResponse) {
	if sentAt < v.adoptedAt {
		return
	}
	for _, seats := range [][]*wire.Seat{v.state.GetSeats(), v.state.GetPriorSeats()} {
		for _, seat := range seats {
			sameAddress := seat.GetPeerAddress() == response.PeerAddress
			if sameAddress && seat.GetIncarnation() != response.Incarnation {
				v.dead[seat.GetIncarnation()] = struct{}{}
			}
		}
	}
}

// refreshDead marks earlier processes at this instance's own address as dead, and
// removes dead incarnations that no longer hold any seat.
func (v *View) refreshDead() {
	holders := values.NewSet[string]()
	for _, seats := range [][]*wire.Seat{v.state.GetSeats(), v.state.GetPriorSeats()} {
		for _, seat := range seats {
			holders = holders.With(seat.GetIncarnation())
			own := seat.GetPeerAddress() == v.config.PeerAddress
			if own && seat.GetIncarnation() != v.config.Incarnation {
				v.dead[seat.GetIncarnation()] = struct{}{}
			}
		}
	}
	for incarnation := range v.dead {
		if !holders.Has(incarnation) {
			delete(v.dead, incarnation)
		}
	}
}

func isMajority(part, whole int) bool {
	return 2*part > whole
}

// countSeats counts the seats whose holder satisfies a predicate.
func countSeats(seats []*wire.Seat, matches func(incarnation string) bool) int {
	n := 0
	for _, seat := range seats {
		if matches(seat.GetIncarnation()) {
			n++
		}
	}
	return n
}
