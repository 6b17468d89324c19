package steering

import (
	"context"
	"math/rand/v2"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

const (
	// minRenewalSpread is the time over which the instances of a small fleet store their
	// entries again after all have vanished. Those of a larger one take longer, so that
	// renewalsPerS are stored in a second.
	minRenewalSpread = clock.Second
	renewalsPerS     = 100
	// deregisterTries is how often a stopping instance tries to remove its entry, while others
	// change the roster.
	deregisterTries = 4
)

// renewalSpread returns the time over which the instances of a fleet store their entries again.
func renewalSpread(instances int) clock.Millis {
	return max(minRenewalSpread, clock.Millis(instances)*clock.Second/renewalsPerS)
}

// entryReturnTime returns how long it takes, while the store is available, until entries of running
// instances that have vanished are listed again and known here.
func entryReturnTime(instances int, spread clock.Millis) clock.Millis {
	noticed := entryLag + entriesTimeout + spread
	return noticed + renewalSpread(instances) + clock.FromDuration(storeTimeout)
}

// storeEra returns how often the platform's store came back from a copy, by its own answers
// and by those that peers have passed on.
func (p process) storeEra() int64 {
	return max(p.Adapter.Store.Era(), p.ControlState.Rules.Era(), p.ControlState.Servers.Era(), p.Registry.entries.Era())
}

// keepRegistered stores this instance's entry again when it is no longer listed: a removal or an
// entry of an earlier process was written late, another writer has removed it, or the store came
// back from a copy. It also ends the use of backend servers that have not registered again by the
// end of recoveryGrace after the store came back.
func (p process) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, refreshInterval)
		now := clock.BootTime{}.Now()
		p.ControlState.Servers.DropCarried(now, recoveryGrace)
		p.Registry.entries.DropCarried(now, recoveryGrace)
		if !p.needsRenewal() {
			continue
		}
		clock.Sleep(ctx, rand.N(renewalSpread(len(p.Members.Known())+1).Duration()))
		if p.needsRenewal() {
			p.renewEntry(ctx)
		}
	}
}

// needsRenewal reports whether this instance's entry is to be stored again.
func (p process) needsRenewal() bool {
	if !p.ControlState.Joined() || p.Members.Self().GetStopping() {
		return false
	}
	state := p.Registry.ownEntry(p.storeEra())
	return state != entryStored && state != entryOfLater
}

// renewEntry stores this instance's entry again.
func (p process) renewEntry(ctx context.Context) {
	era := p.storeEra()
	state := p.Registry.ownEntry(era)
	if !p.register(ctx, &joining{}) {
		return
	}
	metrics.GetOrRegisterCounter("fleet.entries_renewed", p.Metrics).Inc(1)
	p.Log.Warn("this instance's entry was stored again", "was", string(state), "era", era, "listed", p.Registry.size())
	if state == entryBefore {
		metrics.GetOrRegisterCounter("store.restores", p.Metrics).Inc(1)
		p.Log.Warn("the platform's store came back from a copy", "era", era, "rules_kept", p.ControlState.Rules.Carried(), "servers_kept", p.ControlState.Servers.Carried())
	}
}

// register stores this instance's entry in the platform's store, stamped with the time of the
// process's start by the store's clock. It reports whether it is stored. What is known of an
// earlier process is that of the first attempt, since a later one may find this process's entry.
func (p process) register(ctx context.Context, how *joining) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	era := p.Adapter.Store.Era()
	sentAt := clock.BootTime{}.Now()
	entry, err := p.Adapter.Store.Entry(ctx, p.Adapter.Settings.Instance)
	if err != nil {
		p.Log.Warn("registering this instance failed", "error", err.Error())
		return false
	}
	if p.Members.Self().GetStartedMs() == 0 {
		how.registered = fleet.StoreRead{SentAt: sentAt, ReceivedAt: clock.BootTime{}.Now(), Now: entry.Now}
		how.replaced = entry.Info != nil && entry.Info.GetIncarnation() != p.Members.Self().GetIncarnation()
		if entry.Now > 0 {
			p.Members.SetStart(max(entry.Now-(sentAt-p.Membership.startedAt), 1), fleet.ClassifyStart(entry.Info, entry.Now))
		}
	}
	if !p.storeEntry(ctx, entry) {
		return false
	}
	p.Registry.recordStored(era)
	how.registeredAt = clock.BootTime{}.Now()
	return true
}

// storeEntry stores this instance's entry in place of the listed one, unless that is this
// process's or a later one's. It reports whether the entry is listed.
func (p process) storeEntry(ctx context.Context, listed Entry) bool {
	self := p.Members.Self()
	if listed.Info != nil {
		switch compareEntry(listed.Info, self, listed.Now) {
		case entryStored:
			return true
		case entryOfLater:
			p.Log.Warn("a later process of this instance is registered", "started_ms", listed.Info.GetStartedMs(), "own_started_ms", self.GetStartedMs())
			return false
		}
	}
	// What changes while the process runs is for peers to hear from it.
	entry := proto.CloneOf(self)
	entry.Ready, entry.HoldsPart, entry.NearLimit = false, false, ""
	if err := p.Adapter.Store.Register(ctx, entry, listed.Version); err != nil {
		p.Log.Warn("registering this instance failed", "error", err.Error())
		return false
	}
	return true
}

// deregister removes this process's entry from the platform's list, and no other's. The last try
// leaves the fleet's roster as it is, which is lowered later then.
func (p process) deregister(ctx context.Context) {
	for try := range deregisterTries {
		d, ok, err := p.deregistration(ctx)
		if err == nil && !ok {
			return
		}
		if try == deregisterTries-1 {
			d.Roster = nil
		}
		if err == nil {
			err = p.Adapter.Store.Deregister(ctx, d)
		}
		if err == nil {
			return
		}
		if !errorx.IsOfType(err, ErrConflict) {
			p.Log.Warn("deregistering this instance failed", "error", err.Error())
			return
		}
	}
	p.Log.Warn("deregistering this instance failed", "error", "rows changed meanwhile", "tries", deregisterTries)
}

// deregistration returns how this instance's entry is removed, and the fleet's roster lowered with
// it. It reports whether the entry is this process's.
func (p process) deregistration(ctx context.Context) (Deregistration, bool, error) {
	self := p.Members.Self()
	entry, err := p.Adapter.Store.Entry(ctx, self.GetInstance())
	if err != nil || entry.Info == nil || compareEntry(entry.Info, self, entry.Now) != entryStored {
		return Deregistration{}, false, err
	}
	d := Deregistration{Instance: self.GetInstance(), Version: entry.Version}
	roster, version, err := p.Adapter.Store.Roster(ctx)
	if left := p.instancesLeft(roster); err == nil && left < roster.GetInstances() {
		d.Roster, d.RosterVersion = &wire.Roster{FoundedMs: roster.GetFoundedMs(), Instances: left}, version
	}
	return d, true, err
}

// instancesLeft returns the number of instances for the fleet's roster once this one has stopped:
// one less, or none if all others stop, too.
func (p process) instancesLeft(roster *wire.Roster) int32 {
	if len(p.Members.Running()) == 0 {
		return 0
	}
	return max(roster.GetInstances()-1, 1)
}
