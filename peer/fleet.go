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
	// Timing holds the intervals of the fleet's protocols.
	Timing struct {
		AuthorityTerm     clock.Millis
		PollInterval      clock.Millis
		StoreReadInterval clock.Millis
		LoanTerm          clock.Millis
		SuspicionTimeout  clock.Millis
	}

	// FleetConfig configures a Fleet.
	FleetConfig struct {
		// Self identifies this process; its slot number is ignored.
		Self          *wire.Seat
		FailureDomain string
		SeedPeers     []string
		// MinSlots is the number of fleet slots that a new fleet starts with.
		MinSlots int
		Timing   Timing
		Clock    clock.Clock
		Table    tableservice.Table
		Network  Network
		Log      hclog.Logger
	}

	// Member is a peer as it described itself last.
	Member struct {
		Seat     *wire.Seat
		HeardAt  clock.Millis
		Stopping bool
		Unheard  values.Set[string]
		Load     []*wire.ServiceLoad
	}

	// Fleet keeps this instance's view of the fleet. Locks are taken in this
	// order: notifying, then the loan books' or the backend pool's, then mu.
	// No other lock is taken under mu.
	Fleet struct {
		config FleetConfig

		mu                sync.Mutex
		view              *authority.View
		pauseGuard        authority.PauseGuard
		rateHistory       authority.History
		unitHistory       authority.History
		members           map[string]Member
		polling           map[string]bool
		stopping          bool
		confirmedRevision int64
		pending           pendingRebalance
		// listeners are called after the state or an allowance has changed.
		listeners []func()
		// appliedRevision is the revision that the listeners have taken in.
		appliedRevision int64
		// loadFunc returns the free backend slots of this instance.
		loadFunc func() []*wire.ServiceLoad

		// notifyMu serialises the listeners. It is taken before mu.
		notifyMu sync.Mutex
	}
)

const (
	tickInterval = 100 * clock.Millis(1)
	// maxTickGap is the longest gap between ticks of a process that runs.
	maxTickGap = 800 * clock.Millis(1)
	// pauseCooldown is how long after a pause stale requests are refused.
	pauseCooldown = 500 * clock.Millis(1)
	// formerHolderMargin is added to every wait for a former holder to stop.
	formerHolderMargin = 250 * clock.Millis(1)
	// memberRetention is how long a silent member is remembered.
	memberRetention = 10 * 60 * clock.Second
	// applyCheckInterval is the time between checks whether a state is applied.
	applyCheckInterval = 200 * time.Microsecond
)

// NewFleet returns a fleet view that knows nothing yet.
func NewFleet(config FleetConfig) *Fleet {
	f := &Fleet{
		config: config,
		view: authority.NewView(authority.Config{
			Incarnation: config.Self.GetIncarnation(),
			PeerAddress: config.Self.GetPeerAddress(),
			Term:        config.Timing.AuthorityTerm,
		}),
		pauseGuard: authority.PauseGuard{Limit: maxTickGap, Settle: pauseCooldown},
		members:    make(map[string]Member),
		polling:    make(map[string]bool),
		loadFunc:   func() []*wire.ServiceLoad { return nil },
	}
	f.rateHistory.OnState(f.view.State())
	f.unitHistory.OnState(f.view.State())
	return f
}

// OnChange registers a function that runs after the state or an allowance has
// changed. It must be called before Run.
func (f *Fleet) OnChange(listener func()) {
	f.listeners = append(f.listeners, listener)
}

// SetLoadFunc registers the function that returns this instance's free backend
// slots. It must be called before Run.
func (f *Fleet) SetLoadFunc(load func() []*wire.ServiceLoad) {
	f.loadFunc = load
}

// Run keeps the view fresh until the context ends.
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

// Incarnation returns the name of this process.
func (f *Fleet) Incarnation() string {
	return f.config.Self.GetIncarnation()
}

// State returns the state in force. It must not be changed.
func (f *Fleet) State() *wire.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.State()
}

// HasAuthority reports whether this instance may act on its state now. While a
// new state is being applied it waits for that to end.
func (f *Fleet) HasAuthority() bool {
	for {
		f.mu.Lock()
		now := f.config.Clock.Now()
		authorised := f.view.HasAuthority(now) && !f.pauseGuard.Paused(now)
		applied := f.appliedRevision == f.view.State().GetRevision()
		f.mu.Unlock()
		if !authorised || applied {
			return authorised
		}
		time.Sleep(applyCheckInterval)
	}
}

// RateAllowance returns this instance's part of a limit that is lent between peers.
func (f *Fleet) RateAllowance(part authority.Policy[float64]) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return authority.Allowance(&f.rateHistory, part)
}

// UnitAllowance returns this instance's part of a limit counted in whole units.
func (f *Fleet) UnitAllowance(part authority.Policy[int]) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return authority.Allowance(&f.unitHistory, part)
}

// Members lists the peers heard within the suspicion timeout.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.liveMembers(f.config.Clock.Now())
}

// Member returns the peer of an incarnation that was heard lately.
func (f *Fleet) Member(incarnation string) values.Option[Member] {
	for _, member := range f.Members() {
		if member.Seat.GetIncarnation() == incarnation {
			return values.Some(member)
		}
	}
	return values.None[Member]()
}

// SetStopping makes the fleet plan without this instance from now on.
func (f *Fleet) SetStopping() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
}

// Stopping reports whether Stop was called.
func (f *Fleet) Stopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

// Status describes what this instance holds in force.
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
		Authority:     f.view.HasAuthority(now) && !f.pauseGuard.Paused(now),
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

// refreshFromStore takes in the table service's state.
func (f *Fleet) refreshFromStore(ctx context.Context) {
	if _, err := f.readStore(ctx); err != nil {
		f.config.Log.Debug("reading the fleet state", "error", err)
	}
}

// advance puts a state in force and wakes those who wait for news.
func (f *Fleet) advance(state *wire.State) {
	f.mu.Lock()
	advanced := f.view.Advance(f.config.Clock.Now(), state)
	f.recordState(advanced)
	f.mu.Unlock()
	f.notifyListeners(advanced)
}

// recordState records a newly learned state. The caller holds the lock.
func (f *Fleet) recordState(advanced bool) {
	if !advanced {
		return
	}
	f.rateHistory.OnState(f.view.State())
	f.unitHistory.OnState(f.view.State())
	f.config.Log.Info("state in force", "revision", f.view.State().GetRevision())
}

// tick notes confirmations and the end of former holders' rights.
func (f *Fleet) tick() {
	f.mu.Lock()
	now := f.config.Clock.Now()
	f.pauseGuard.Tick(now)
	state := f.view.State()
	if at, ok := f.view.ConfirmedAt(); ok && f.confirmedRevision < state.GetRevision() {
		f.confirmedRevision = state.GetRevision()
		stopped := at + f.config.Timing.AuthorityTerm + formerHolderMargin
		f.rateHistory.OnConfirmed(state.GetRevision(), stopped+f.config.Timing.LoanTerm)
		f.unitHistory.OnConfirmed(state.GetRevision(), stopped+longestDeadline(state))
	}
	prunedRates := f.rateHistory.Prune(now)
	prunedUnits := f.unitHistory.Prune(now)
	f.removeSilentMembers(now)
	f.mu.Unlock()
	f.notifyListeners(prunedRates || prunedUnits)
}

// notifyListeners lets the listeners take in the state in force.
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

func (f *Fleet) removeSilentMembers(now clock.Millis) {
	for incarnation, member := range f.members {
		if now-member.HeardAt > memberRetention {
			delete(f.members, incarnation)
		}
	}
}

// longestDeadline returns the longest time that a request may run.
func longestDeadline(state *wire.State) clock.Millis {
	var longest int64
	for _, route := range state.GetRules().GetRoutes() {
		longest = max(longest, route.GetDeadlineMs())
	}
	return clock.Millis(longest)
}

// Self returns the seat entry that describes this process.
func (f *Fleet) Self() *wire.Seat {
	return f.config.Self
}

// Region returns the region of this instance.
func (f *Fleet) Region() string {
	return f.config.Self.GetRegion()
}
