package steering

import (
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// registry is this instance's copy of the platform's list of instances. It tells the
	// members which instances may be running, beside those that were heard, and notices when
	// this instance's own entry is gone. It is safe for concurrent use.
	registry struct {
		bootClock clock.Clock
		members   *fleet.Members
		// entries is read by the relays of the regions and passed on by gossip.
		entries *fleet.Replica

		mu sync.Mutex
		// storedAt is when this instance's entry was last stored, or found to be; zero if it
		// never was. storedEra is the era of the store then.
		storedAt  clock.Millis
		storedEra int64
	}

	// entryState says what has become of this instance's entry in the platform's list.
	entryState string
)

const (
	entryStored entryState = "stored"
	// entryMissing also stands for one that cannot be decoded.
	entryMissing entryState = "missing"
	// entryOfEarlier means that an earlier process of the instance has stored its entry late.
	entryOfEarlier entryState = "of an earlier process"
	// entryOfLater means that a later process of the instance has started.
	entryOfLater entryState = "of a later process"
	// entryBefore means that the store has come back from a copy that was made before the
	// entry was stored.
	entryBefore entryState = "lost with the store's latest writes"
	// entryLag is by how much a copy of the list must be newer than an entry to show that it
	// is missing.
	entryLag = relayTimeout
)

func newRegistry(adapter Adapter, members *fleet.Members) *registry {
	r := &registry{bootClock: clock.BootTime{}, members: members}
	r.entries = fleet.NewReplica(adapter.InstancesTable, r.recordListed)
	return r
}

// recordListed counts the instances whose entries have changed among those that may be running,
// if they were not heard yet. Gossip asks them, as it does all silent ones.
func (r *registry) recordListed(keys []string) {
	var listed []*wire.FleetInstance
	for _, key := range keys {
		row := r.entries.Row(key)
		if row == nil {
			continue
		}
		if info, problem := fleet.DecodeEntry(row.GetValue()); problem == "" {
			listed = append(listed, info)
		}
	}
	r.members.RecordRegistered(listed, r.bootClock.Now())
}

// recordStored records that this instance's entry is stored in an era of the store.
func (r *registry) recordStored(era int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storedAt = r.bootClock.Now()
	r.storedEra = max(r.storedEra, era)
}

// ownEntry returns what has become of this instance's entry since it was stored, given the era of
// the store.
func (r *registry) ownEntry(era int64) entryState {
	r.mu.Lock()
	storedAt, storedEra := r.storedAt, r.storedEra
	r.mu.Unlock()
	if storedAt > 0 && storedEra < era {
		return entryBefore
	}
	asOf, known := r.entries.AsOf()
	if storedAt == 0 || !known || asOf < storedAt+entryLag {
		return entryStored
	}
	self := r.members.Self()
	row := r.entries.Row(self.GetInstance())
	info, problem := fleet.DecodeEntry(row.GetValue())
	if row == nil || problem != "" {
		return entryMissing
	}
	return compareEntry(info, self, 0)
}

// compareEntry says whose entry of this instance is listed, at a time by the store's clock if that
// is known. A start that is yet to come shows that the clock was set back since.
func compareEntry(listed, self *wire.FleetInstance, now clock.Millis) entryState {
	startedMs := listed.GetStartedMs()
	switch {
	case listed.GetIncarnation() == self.GetIncarnation():
		return entryStored
	case startedMs > self.GetStartedMs() && (now == 0 || startedMs <= int64(now)):
		return entryOfLater
	default:
		return entryOfEarlier
	}
}

// size returns how many entries are listed.
func (r *registry) size() int {
	return len(r.entries.Rows())
}
