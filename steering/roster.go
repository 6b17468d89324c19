package steering

import (
	"context"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
)

type (
	// rosterKeeper decides when the number of instances in the fleet's roster is to be
	// changed. The running instance that is first in rank changes it.
	rosterKeeper struct {
		// differsSince is since when the number of running instances has been another one;
		// zero if it is not. least and most are the smallest and largest since then.
		differsSince clock.Millis
		least, most  int
	}

	// rosterCopy is the roster as it was read at a time, when a number of instances ran.
	rosterCopy struct {
		roster  *wire.Roster
		version int64
		readAt  clock.Millis
		running int
	}
)

const (
	// rosterInterval is how often the number of running instances is looked at.
	rosterInterval = clock.Second
	// rosterRaiseTime and rosterLowerTime are how long the number must have been larger or
	// smaller than that of the roster before that is changed. An instance that stops lowers
	// it at once, one that is killed may be back soon.
	rosterRaiseTime = 2 * clock.Second
	rosterLowerTime = 60 * clock.Second
	// rosterCopyTime is how long a copy of the roster is used.
	rosterCopyTime = 30 * clock.Second
)

// Next returns the number that the roster should have instead of the present one, given the number
// of running instances, or zero if it should not be changed now.
func (k *rosterKeeper) Next(now clock.Millis, present, running int) int {
	if running == present {
		k.differsSince = 0
		return 0
	}
	if k.differsSince == 0 || (running > present) != (k.most > present) {
		k.differsSince, k.least, k.most = now, running, running
	}
	k.least, k.most = min(k.least, running), max(k.most, running)
	switch {
	case running > present && now-k.differsSince >= rosterRaiseTime:
		return k.least
	case running < present && now-k.differsSince >= rosterLowerTime:
		return k.most
	default:
		return 0
	}
}

// keepRoster keeps the fleet's roster up to date while this instance is the first in rank of those
// that run, until the context ends.
func (p process) keepRoster(ctx context.Context) {
	var keeper rosterKeeper
	var stored rosterCopy
	for ctx.Err() == nil {
		clock.Sleep(ctx, rosterInterval.Duration())
		now := clock.BootTime{}.Now()
		running, first := p.Membership.runningCount()
		if !first || !p.ControlState.Joined() || !p.Membership.isCertain() {
			keeper, stored = rosterKeeper{}, rosterCopy{}
			continue
		}
		if !stored.holds(now, running) {
			roster, version, err := p.Adapter.Store.Roster(ctx)
			if err != nil {
				p.Log.Warn("reading the fleet's roster failed", "error", err.Error())
				continue
			}
			stored = rosterCopy{roster: roster, version: version, readAt: now, running: running}
		}
		if next := keeper.Next(now, int(stored.roster.GetInstances()), running); next > 0 {
			p.changeRoster(ctx, stored, next)
			stored = rosterCopy{}
		}
	}
}

// holds reports whether the copy is still that of the store: instances that stop change the roster,
// too.
func (c rosterCopy) holds(now clock.Millis, running int) bool {
	return c.readAt > 0 && now-c.readAt < rosterCopyTime && running == c.running
}

// changeRoster stores a roster with another number of instances in place of a copy.
func (p process) changeRoster(ctx context.Context, stored rosterCopy, instances int) {
	changed := &wire.Roster{FoundedMs: stored.roster.GetFoundedMs(), Instances: int32(instances)}
	if changed.GetFoundedMs() <= 0 {
		changed.FoundedMs = p.Members.FirstStart()
	}
	if p.setRoster(ctx, changed, stored.version) {
		p.Log.Info("fleet's roster changed", "instances", instances, "before", stored.roster.GetInstances())
	}
}

// setRoster stores a roster in place of the version that is known, and reports whether it is
// stored.
func (p process) setRoster(ctx context.Context, roster *wire.Roster, version int64) bool {
	err := p.Adapter.Store.SetRoster(ctx, roster, version)
	if err != nil && !errorx.IsOfType(err, ErrConflict) {
		p.Log.Warn("storing the fleet's roster failed", "error", err.Error())
	}
	return err == nil
}

// readRoster returns the fleet's roster, nil if there is none, or nothing if it cannot be read.
func (p process) readRoster(ctx context.Context) values.Option[*wire.Roster] {
	roster, _, err := p.Adapter.Store.Roster(ctx)
	if err != nil {
		p.Log.Warn("reading the fleet's roster failed", "error", err.Error())
		return values.None[*wire.Roster]()
	}
	return values.Some(roster)
}

// startReadingRoster reads the fleet's roster while the caller goes on.
func (p process) startReadingRoster(ctx context.Context) <-chan values.Option[*wire.Roster] {
	read := make(chan values.Option[*wire.Roster], 1)
	go func() { read <- p.readRoster(ctx) }()
	return read
}

// foundFleet returns the fleet's roster, and stores a new one if there is none, or if all instances
// had stopped.
func (p process) foundFleet(ctx context.Context) *wire.Roster {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	roster, version, err := p.Adapter.Store.Roster(ctx)
	if err != nil || roster.GetInstances() > 0 {
		return roster
	}
	first := &wire.Roster{FoundedMs: p.Members.Self().GetStartedMs(), Instances: 1}
	if p.setRoster(ctx, first, version) {
		p.Log.Info("fleet founded", "founded_ms", first.GetFoundedMs())
		return first
	}
	// Another instance may have stored it, or this one, without an answer.
	roster, _ = p.readRoster(ctx).Get()
	return roster
}
