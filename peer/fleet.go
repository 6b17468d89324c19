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

		mu       sync.Mutex
		view     *authority.View
		pause    authority.PauseDetector
		rates    authority.StateHistory
		units    authority.StateHistory
		members  map[string]Member
		calling  map[string]bool
		stopping bool
		settled  int64
		wanted   wantedSeats
		// listeners are called after the state or an allowance has changed.
		listeners []func()
		// applied is the revision that the listeners have taken in.
		applied int64
		// load returns the free backend slots of this instance.
		load func() []*wire.ServiceLoad

		// notifying serialises the listeners. It is taken before mu.
		notifying sync.Mutex
	}
)

const (
	tickInterval = 100 * clock.Millis(1)
	// pauseLimit is the longest gap between ticks of a process that runs.
	pauseLimit = 800 * clock.Millis(1)
	// pauseSettle is how long after a pause stale requests are refused.
	pauseSettle = 500 * clock.Millis(1)
	// drainMargin is added to every wait for a former holder to stop.
	drainMargin = 250 * clock.Millis(1)
	// forgetAfter is how long a silent member is remembered.
	forgetAfter = 10 * 60 * clock.Second
	// applyCheckInterval is the time between checks whether a state is applied.
	applyCheckInterval = 200 * time.Microsecond
)

// NewFleet returns a fleet view that knows nothing yet.
func NewFleet(config FleetConfig) *Fleet {
	f := &Fleet{
		config: config,
		view: authority.NewView(authority.Config{
			Incarnation:   config.Self.GetIncarnation(),
			PeerAddress:   config.Self.GetPeerAddress(),
			AuthorityTerm: config.Timing.AuthorityTerm,
		}),
		pause:   authority.PauseDetector{MaxTickGap: pauseLimit, Cooldown: pauseSettle},
		members: make(map[string]Member),
		calling: make(map[string]bool),
		load:    func() []*wire.ServiceLoad { return nil },
	}
	f.rates.Add(f.view.State())
	f.units.Add(f.view.State())
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
	f.load = load
}

// Run keeps the view fresh until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.every(ctx, f.config.Timing.PollInterval, f.pollAll) })
	group.Go(func() { f.every(ctx, f.config.Timing.StoreReadInterval, f.readStoreOnce) })
	group.Go(func() { f.every(ctx, f.config.Timing.StoreReadInterval, f.balanceOnce) })
	group.Go(func() { f.every(ctx, tickInterval, func(context.Context) { f.settle() }) })
	group.Wait()
}

func (f *Fleet) every(ctx context.Context, interval clock.Millis, step func(context.Context)) {
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
		authorised := f.view.HasAuthority(now) && !f.pause.Paused(now)
		applied := f.applied == f.view.State().GetRevision()
		f.mu.Unlock()
		if !authorised || applied {
			return authorised
		}
		time.Sleep(applyCheckInterval)
	}
}

// RateAllowance returns this instance's part of a limit that is lent between peers.
func (f *Fleet) RateAllowance(part authority.ShareFunc[float64]) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return authority.MinShare(&f.rates, part)
}

// UnitAllowance returns this instance's part of a limit counted in whole units.
func (f *Fleet) UnitAllowance(part authority.ShareFunc[int]) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return authority.MinShare(&f.units, part)
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
		Authority:     f.view.HasAuthority(now) && !f.pause.Paused(now),
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

// readStoreOnce takes in the table service's state.
func (f *Fleet) readStoreOnce(ctx context.Context) {
	if _, err := f.readStore(ctx); err != nil {
		f.config.Log.Debug("reading the fleet state", "error", err)
	}
}

// advance puts a state in force and wakes those who wait for news.
func (f *Fleet) advance(state *wire.State) {
	f.mu.Lock()
	advanced := f.view.AdoptIfNewer(f.config.Clock.Now(), state)
	f.noteState(advanced)
	f.mu.Unlock()
	f.notify(advanced)
}

// noteState records a newly learned state. The caller holds the lock.
func (f *Fleet) noteState(advanced bool) {
	if !advanced {
		return
	}
	f.rates.Add(f.view.State())
	f.units.Add(f.view.State())
	f.config.Log.Info("state in force", "revision", f.view.State().GetRevision())
}

// settle notes confirmations and the end of former holders' rights.
func (f *Fleet) settle() {
	f.mu.Lock()
	now := f.config.Clock.Now()
	f.pause.Tick(now)
	state := f.view.State()
	if at, ok := f.view.ConfirmedAt(); ok && f.settled < state.GetRevision() {
		f.settled = state.GetRevision()
		stopped := at + f.config.Timing.AuthorityTerm + drainMargin
		f.rates.ExpireBefore(state.GetRevision(), stopped+f.config.Timing.LoanTerm)
		f.units.ExpireBefore(state.GetRevision(), stopped+longestDeadline(state))
	}
	prunedRates := f.rates.Prune(now)
	prunedUnits := f.units.Prune(now)
	f.forgetSilent(now)
	f.mu.Unlock()
	f.notify(prunedRates || prunedUnits)
}

// notify lets the listeners take in the state in force.
func (f *Fleet) notify(changed bool) {
	if !changed {
		return
	}
	f.notifying.Lock()
	defer f.notifying.Unlock()
	revision := f.State().GetRevision()
	for _, listener := range f.listeners {
		listener()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = max(f.applied, revision)
}

func (f *Fleet) forgetSilent(now clock.Millis) {
	for incarnation, member := range f.members {
		if now-member.HeardAt > forgetAfter {
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
