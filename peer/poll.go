package peer

import (
	"context"

	"github.com/bulrushferry/bulrushferry/authority"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

// pollAll polls every known peer address to which no poll is running.
func (f *Fleet) pollAll(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range f.knownAddresses() {
		f.startPoll(ctx, address)
	}
}

// startPoll polls an address in the background, unless a poll of it is running
// or it is this instance's own. The caller must hold the lock.
func (f *Fleet) startPoll(ctx context.Context, address string) {
	if f.polling[address] || address == f.config.Self.GetPeerAddress() {
		return
	}
	f.polling[address] = true
	go func() {
		f.poll(ctx, address)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.polling, address)
	}()
}

func (f *Fleet) poll(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, (f.config.Timing.AuthorityTerm / 2).Duration())
	defer cancel()
	sentAt := f.config.Clock.Now()
	response, err := f.config.Network.Call(ctx, address, &wire.PeerRequest{
		Body: &wire.PeerRequest_Poll{Poll: &wire.Poll{
			Incarnation: f.config.Self.GetIncarnation(),
			Instance:    f.config.Self.GetInstance(),
			Revision:    f.State().GetRevision(),
			PeerAddress: f.config.Self.GetPeerAddress(),
		}},
	})
	if err != nil {
		f.config.Log.Debug("failed to poll a peer", "address", address, "error", err)
		return
	}
	f.recordPollResponse(sentAt, address, response.GetPoll())
}

// recordPollResponse updates the member that responded and the view of the fleet.
func (f *Fleet) recordPollResponse(sentAt clock.Millis, address string, response *wire.PollAnswer) {
	f.mu.Lock()
	now := f.config.Clock.Now()
	f.members[response.GetIncarnation()] = Member{
		Seat: &wire.Seat{
			Incarnation:   response.GetIncarnation(),
			Instance:      response.GetInstance(),
			Region:        response.GetRegion(),
			PeerAddress:   address,
			CallerAddress: response.GetCallerAddress(),
		},
		HeardAt:  sentAt,
		Stopping: response.GetStopping(),
		Unheard:  values.NewSet(response.GetUnheard()...),
		Load:     response.GetFree(),
	}
	adopted := f.view.OnPeerResponse(sentAt, now, authority.PeerResponse{
		Incarnation: response.GetIncarnation(),
		PeerAddress: address,
		Revision:    response.GetRevision(),
		State:       response.GetState(),
	})
	f.recordState(adopted)
	f.mu.Unlock()
	f.notifyListeners(adopted)
}

// handlePoll responds to a peer's poll. A peer that is not a member yet or that
// has a higher revision is polled at once.
func (f *Fleet) handlePoll(ctx context.Context, poll *wire.Poll) *wire.PollAnswer {
	load := f.loadFunc()
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.view.State()
	response := &wire.PollAnswer{
		Incarnation:   f.config.Self.GetIncarnation(),
		Instance:      f.config.Self.GetInstance(),
		Region:        f.config.Self.GetRegion(),
		FailureDomain: f.config.FailureDomain,
		CallerAddress: f.config.Self.GetCallerAddress(),
		Revision:      state.GetRevision(),
		Stopping:      f.stopping,
		Unheard:       f.unheardHolders(f.config.Clock.Now()),
		Free:          load,
	}
	if poll.GetRevision() < state.GetRevision() {
		response.State = state
	}
	if _, known := f.members[poll.GetIncarnation()]; !known || poll.GetRevision() > state.GetRevision() {
		f.startPoll(context.WithoutCancel(ctx), poll.GetPeerAddress())
	}
	return response
}

// unheardHolders returns the seat holders that have not responded to this instance
// within the suspicion timeout. The caller must hold the lock.
func (f *Fleet) unheardHolders(now clock.Millis) []string {
	silent := values.NewSet[string]()
	for _, seat := range f.view.State().GetSeats() {
		if !f.view.HeardWithin(now, seat.GetIncarnation(), f.config.Timing.SuspicionTimeout) {
			silent = silent.With(seat.GetIncarnation())
		}
	}
	return silent.Sorted()
}

// knownAddresses returns the addresses of the seed peers, the seat holders and
// the members. The caller must hold the lock.
func (f *Fleet) knownAddresses() []string {
	all := append([]string(nil), f.config.SeedPeers...)
	for _, seat := range f.view.State().GetSeats() {
		all = append(all, seat.GetPeerAddress())
	}
	for _, member := range f.members {
		all = append(all, member.Seat.GetPeerAddress())
	}
	return values.NewSet(all...).Sorted()
}

// liveMembers returns the peers that responded within the suspicion timeout and
// are not known to be dead. The caller must hold the lock.
func (f *Fleet) liveMembers(now clock.Millis) []Member {
	var live []Member
	for incarnation, member := range f.members {
		if f.view.HeardWithin(now, incarnation, f.config.Timing.SuspicionTimeout) && !f.view.IsDead(incarnation) {
			live = append(live, member)
		}
	}
	return live
}
