package peer

import (
	"context"

	"github.com/bulrushferry/bulrushferry/authority"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

// pollAll polls every known peer address that has no poll under way.
func (f *Fleet) pollAll(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range f.addresses() {
		f.startPoll(ctx, address)
	}
}

// startPoll polls one address in the background. The caller holds the lock.
func (f *Fleet) startPoll(ctx context.Context, address string) {
	if f.calling[address] || address == f.config.Self.GetPeerAddress() {
		return
	}
	f.calling[address] = true
	go func() {
		f.poll(ctx, address)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.calling, address)
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
		f.config.Log.Debug("polling a peer", "address", address, "error", err)
		return
	}
	f.takeAnswer(sentAt, address, response.GetPoll())
}

func (f *Fleet) takeAnswer(sentAt clock.Millis, address string, answer *wire.PollAnswer) {
	f.mu.Lock()
	now := f.config.Clock.Now()
	f.members[answer.GetIncarnation()] = Member{
		Seat: &wire.Seat{
			Incarnation:   answer.GetIncarnation(),
			Instance:      answer.GetInstance(),
			Region:        answer.GetRegion(),
			PeerAddress:   address,
			CallerAddress: answer.GetCallerAddress(),
		},
		HeardAt:  sentAt,
		Stopping: answer.GetStopping(),
		Unheard:  values.NewSet(answer.GetUnheard()...),
		Load:     answer.GetFree(),
	}
	advanced := f.view.OnPeerResponse(sentAt, now, authority.PeerResponse{
		Incarnation: answer.GetIncarnation(),
		PeerAddress: address,
		Revision:    answer.GetRevision(),
		State:       answer.GetState(),
	})
	f.noteState(advanced)
	f.mu.Unlock()
	f.notify(advanced)
}

// handlePoll answers a peer's poll. A peer that knows a higher revision is
// polled at once.
func (f *Fleet) handlePoll(ctx context.Context, poll *wire.Poll) *wire.PollAnswer {
	load := f.load()
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.view.State()
	answer := &wire.PollAnswer{
		Incarnation:   f.config.Self.GetIncarnation(),
		Instance:      f.config.Self.GetInstance(),
		Region:        f.config.Self.GetRegion(),
		FailureDomain: f.config.FailureDomain,
		CallerAddress: f.config.Self.GetCallerAddress(),
		Revision:      state.GetRevision(),
		Stopping:      f.stopping,
		Unheard:       f.unheard(f.config.Clock.Now()),
		Free:          load,
	}
	if poll.GetRevision() < state.GetRevision() {
		answer.State = state
	}
	if _, known := f.members[poll.GetIncarnation()]; !known || poll.GetRevision() > state.GetRevision() {
		f.startPoll(context.WithoutCancel(ctx), poll.GetPeerAddress())
	}
	return answer
}

// unheard lists the seat holders that this instance has not heard for the
// suspicion timeout. The caller holds the lock.
func (f *Fleet) unheard(now clock.Millis) []string {
	silent := values.NewSet[string]()
	for _, seat := range f.view.State().GetSeats() {
		if !f.view.HeardWithin(now, seat.GetIncarnation(), f.config.Timing.SuspicionTimeout) {
			silent = silent.With(seat.GetIncarnation())
		}
	}
	return silent.Sorted()
}

// addresses lists the peer addresses worth polling. The caller holds the lock.
func (f *Fleet) addresses() []string {
	all := append([]string(nil), f.config.SeedPeers...)
	for _, seat := range f.view.State().GetSeats() {
		all = append(all, seat.GetPeerAddress())
	}
	for _, member := range f.members {
		all = append(all, member.Seat.GetPeerAddress())
	}
	return values.NewSet(all...).Sorted()
}

// liveMembers lists the peers heard lately. The caller holds the lock.
func (f *Fleet) liveMembers(now clock.Millis) []Member {
	var live []Member
	for incarnation, member := range f.members {
		if f.view.HeardWithin(now, incarnation, f.config.Timing.SuspicionTimeout) && !f.view.IsDead(incarnation) {
			live = append(live, member)
		}
	}
	return live
}
