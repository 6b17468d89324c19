// Package peer connects entry instances over QUIC. It keeps each instance's copy
// of the fleet's state current, assigns the fleet's slots to live instances, and
// lends parts of the workspaces' rate limits between instances.
package peer

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/authority"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/tableservice"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
)

type (
	// Timing holds the intervals and timeouts of the protocols between instances.
	Timing struct {
		// AuthorityTerm is how long a read of the table service or a peer's response
		// counts towards authority.
		AuthorityTerm clock.Millis
		// PollInterval is the time between polls of a peer.
		PollInterval clock.Millis
		// StoreReadInterval is the time between reads of the table service, and
		// between checks whether slots have to be moved.
		StoreReadInterval clock.Millis
		// LoanTerm is how long a borrower may spend a loan.
		LoanTerm clock.Millis
		// SuspicionTimeout is how long a peer counts as live after the last poll that it
		// responded to.
		SuspicionTimeout clock.Millis
	}

	// FleetConfig configures a Fleet.
	FleetConfig struct {
		// Self describes this process; its slot number is ignored.
		Self          *wire.Seat
		FailureDomain string
		SeedPeers     []string
		// MinSlots is the least number of fleet slots. A fleet that already has
		// more slots keeps them.
		MinSlots int
		Timing   Timing
		Clock    clock.Clock
		Table    tableservice.Table
		Network  Network
		Log      hclog.Logger
	}

	// Member describes a peer as of its latest poll response.
	Member struct {
		Seat *wire.Seat
		// HeardAt is when the poll that led to this response was sent.
		HeardAt  clock.Millis
		Stopping bool
		// Unheard holds the incarnations of the seat holders that have not responded
		// to the peer within the suspicion timeout.
		Unheard values.Set[string]
		// Load lists the peer's free and held backend slots by service.
		Load []*wire.ServiceLoad
	}

	// Fleet keeps this instance's copy of the fleet's state current and tracks the
	// live members. Locks are taken in this order: notifyMu, then those of the rate
	// limiter or the backend pool, then mu. No other lock is taken while mu is held.
	Fleet struct {
		config FleetConfig

		mu            sync.Mutex
		view          *authority.View
		pauseDetector authority.PauseDetector
		rateHistory   authority.StateHistory
		unitHistory   authority.StateHistory
		members       map[string]Member
		// polling holds the addresses to which a poll is running.
		polling  map[string]bool
		stopping bool
		// confirmedRevision is the latest revision whose confirmation has been
		// recorded in the histories.
		confirmedRevision int64
		pending           pendingRebalance
		// listeners are called after the state or an allowance has changed. They
		// are fixed before Run.
		listeners []func()
		// appliedRevision is the latest revision that the listeners have applied.
		appliedRevision int64
		// loadFunc returns the free and held backend slots of this instance.
		loadFunc func() []*wire.ServiceLoad

		// notifyMu serializes the calls of the listeners.
		notifyMu sync.Mutex
	}
)

const (
	tickInterval = 100 * clock.Millis(1)
	// maxTickGap is the longest time between ticks of a process that was not
	// paused.
	maxTickGap = 800 * clock.Millis(1)
	// pauseCooldown is how long an instance has no authority after a pause, so
	// that requests which waited during the pause are refused.
	pauseCooldown = 500 * clock.Millis(1)
	// previousHolderMargin is added to the time that the previous holder of a slot
	// has to stop using it.
	previousHolderMargin = 250 * clock.Millis(1)
	// memberRetention is how long a member is kept after the last poll that it
	// responded to.
	memberRetention = 10 * 60 * clock.Second
	// applyCheckInterval is how often HasAuthority checks whether the listeners
	// have applied a state.
	applyCheckInterval = 200 * time.Microsecond
)

// NewFleet returns a Fleet with an empty state and no members.
func NewFleet(config FleetConfig) *Fleet {
	f := &Fleet{
		config: config,
		view: authority.NewView(authority.Config{
			Incarnation:   config.Self.GetIncarnation(),
			PeerAddress:   config.Self.GetPeerAddress(),
			AuthorityTerm: config.Timing.AuthorityTerm,
		}),
		pauseDetector: authority.PauseDetector{MaxTickGap: maxTickGap, Cooldown: pauseCooldown},
		members:       make(map[string]Member),
		polling:       make(map[string]bool),
		loadFunc:      func() []*wire.ServiceLoad { return nil },
	}
	f.rateHistory.Add(f.view.State())
	f.unitHistory.Add(f.view.State())
	return f
}

// OnChange registers a function that runs after the state or an allowance has
// changed. It must be called before Run.
func (f *Fleet) OnChange(listener func()) {
	f.listeners = append(f.listeners, listener)
}

// SetLoadFunc sets the function that returns this instance's free and held
// backend slots. It must be called before Run.
func (f *Fleet) SetLoadFunc(load func() []*wire.ServiceLoad) {
	f.loadFunc = load
}

// Run polls the peers, reads the table service and rebalances the slots until the
// context ends.
func (f *Fleet) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.runPeriodically(ctx, f.config.Timing.PollInterval, f.pollAll) })
	group.Go(func() { f.runPeriodically(ctx, f.config.Timing.StoreReadInterval, f.refreshFromStore) })
	group.Go(func() { f.runPeriodically(ctx, f.config.Timing.StoreReadInterval, f.rebalanceSlots) })
	group.Go(func() { f.runPeriodically(ctx, tickInterval, func(context.Context) { f.tick() }) })
	group.Wait()
}

func (f *Fleet) runPeriodically(ctx context.Context, interval clock.Millis, step func(context.Context)) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Incarnation returns the unique name of this process.
func (f *Fleet) Incarnation() string {
	return f.config.Self.GetIncarnation()
}

// State returns the current state. The caller must not modify it.
func (f *Fleet) State() *wire.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.State()
}

// HasAuthority reports whether this instance may act on its state now. While the
// listeners apply a new state, it waits for them to finish.
func (f *Fleet) HasAuthority() bool {
	for {
		f.mu.Lock()
		now := f.config.Clock.Now()
		authorized := f.view.HasAuthority(now) && !f.pauseDetector.Paused(now)
		applied := f.appliedRevision == f.view.State().GetRevision()
		f.mu.Unlock()
		if !authorized || applied {
			return authorized
		}
		time.Sleep(applyCheckInterval)
	}
}

// RateAllowance returns how much of a rate limit this instance may use: its
// smallest share under any state that is still in effect.
func (f *Fleet) RateAllowance(share authority.ShareFunc[float64]) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return authority.MinShare(&f.rateHistory, share)
}

// UnitAllowance returns how many units of a limit, such as slots or connections,
// this instance may use: its smallest share under any state that is still in
// effect.
func (f *Fleet) UnitAllowance(share authority.ShareFunc[int]) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return authority.MinShare(&f.unitHistory, share)
}

// Members returns the peers that responded within the suspicion timeout and are not
// known to be dead.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.liveMembers(f.config.Clock.Now())
}

// Member returns the live peer with the given incarnation.
func (f *Fleet) Member(incarnation string) values.Option[Member] {
	for _, member := range f.Members() {
		if member.Seat.GetIncarnation() == incarnation {
			return values.Some(member)
		}
	}
	return values.None[Member]()
}

// SetStopping marks this instance as stopping, so that its slots are moved to
// other instances.
func (f *Fleet) SetStopping() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
}

// Stopping reports whether SetStopping has been called.
func (f *Fleet) Stopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

// Status returns this instance's state, authority and slots for operators.
func (f *Fleet) Status() *wire.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Clock.Now()
	status := &wire.Status{
		Instance:      f.config.Self.GetInstance(),
		Incarnation:   f.config.Self.GetIncarnation(),
		Region:        f.config.Self.GetRegion(),
		FailureDomain: f.config.FailureDomain,
		Revision:      f.view.State().GetRevision(),
		Authority:     f.view.HasAuthority(now) && !f.pauseDetector.Paused(now),
		StoreFresh:    f.view.StoreFresh(now),
		SlotsHeld:     int32(authority.SlotsHeld(f.view.State(), f.config.Self.GetIncarnation())),
		SlotsHeard:    int32(f.view.SlotsHeard(now)),
		Stopping:      f.stopping,
	}
	for _, member := range f.liveMembers(now) {
		status.PeersHeard = append(status.PeersHeard, member.Seat.GetInstance())
	}
	return status
}

// refreshFromStore reads the state from the table service.
func (f *Fleet) refreshFromStore(ctx context.Context) {
	if _, err := f.readStore(ctx); err != nil {
		f.config.Log.Debug("failed to read the fleet state", "error", err)
	}
}

// adoptIfNewer replaces the current state if the given one has a higher revision,
// and then calls the listeners.
func (f *Fleet) adoptIfNewer(state *wire.State) {
	f.mu.Lock()
	adopted := f.view.AdoptIfNewer(f.config.Clock.Now(), state)
	f.recordState(adopted)
	f.mu.Unlock()
	f.notifyListeners(adopted)
}

// recordState adds a newly adopted state to the histories. The caller must hold
// the lock.
func (f *Fleet) recordState(adopted bool) {
	if !adopted {
		return
	}
	f.rateHistory.Add(f.view.State())
	f.unitHistory.Add(f.view.State())
	f.config.Log.Info("adopted a new state", "revision", f.view.State().GetRevision())
}

// tick sets the expiry of earlier states once the current one is confirmed, drops
// the states that have expired, and removes members that have not responded for
// memberRetention.
func (f *Fleet) tick() {
	f.mu.Lock()
	now := f.config.Clock.Now()
	f.pauseDetector.Tick(now)
	state := f.view.State()
	if at, ok := f.view.ConfirmedAt(); ok && f.confirmedRevision < state.GetRevision() {
		f.confirmedRevision = state.GetRevision()
		stopped := at + f.config.Timing.AuthorityTerm + previousHolderMargin
		f.rateHistory.ExpireBefore(state.GetRevision(), stopped+f.config.Timing.LoanTerm)
		f.unitHistory.ExpireBefore(state.GetRevision(), stopped+longestDeadline(state))
	}
	prunedRates := f.rateHistory.Prune(now)
	prunedUnits := f.unitHistory.Prune(now)
	f.removeExpiredMembers(now)
	f.mu.Unlock()
	f.notifyListeners(prunedRates || prunedUnits)
}

// notifyListeners calls the listeners if something has changed, and records the
// revision that they have applied.
func (f *Fleet) notifyListeners(changed bool) {
	if !changed {
		return
	}
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	revision := f.State().GetRevision()
	for _, listener := range f.listeners {
		listener()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appliedRevision = max(f.appliedRevision, revision)
}

// removeExpiredMembers removes the members that have not responded for
// memberRetention. The caller must hold the lock.
func (f *Fleet) removeExpiredMembers(now clock.Millis) {
	for incarnation, member := range f.members {
		if now-member.HeardAt > memberRetention {
			delete(f.members, incarnation)
		}
	}
}

// longestDeadline returns the longest deadline of all routes.
func longestDeadline(state *wire.State) clock.Millis {
	var longest int64
	for _, route := range state.GetRules().GetRoutes() {
		longest = max(longest, route.GetDeadlineMs())
	}
	return clock.Millis(longest)
}

// Self returns the seat that describes this process. Its slot number is ignored.
func (f *Fleet) Self() *wire.Seat {
	return f.config.Self
}

// Region returns the region of this instance.
func (f *Fleet) Region() string {
	return f.config.Self.GetRegion()
}
