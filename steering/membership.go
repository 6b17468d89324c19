package steering

import (
	"cmp"
	"slices"
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/cespare/xxhash/v2"
)

// membership divides fleet-wide limits among the instances and assigns each
// workspace's token bucket to one of them. It is safe for concurrent use.
type membership struct {
	bootClock    clock.Clock
	members      *fleet.Members
	controlState *ControlState
	balancer     *placement.Balancer
	// onPartChange is called when the instance begins or ceases to have a part of the
	// limits, which others have to know soon, onOwnersChange when the owners of token
	// buckets have changed.
	onPartChange, onOwnersChange func()

	mu sync.Mutex
	// shareHolders are the names of the instances that share the limits, including
	// those that fell silent but may still be serving.
	shareHolders []string
	// bucketOwners are the instances among which the token buckets are divided.
	bucketOwners []*wire.FleetInstance
	// relaying is set while this instance is the relay of its region: the one that
	// reads the platform's store and passes updates on to its peers.
	relaying bool
	// refreshedAt is when the members were last read.
	refreshedAt clock.Millis
	// partFrom is when the instance may use its part; zero if that is not known yet.
	partFrom clock.Millis
	// partGivenUp is set once the stopping instance does not use its part any more.
	partGivenUp bool
	// startedAt is when this process started.
	startedAt clock.Millis
	// registeredEra is the era of the store in which this instance's entry was stored last.
	registeredEra int64
}

// joining tells how an instance has joined the fleet.
type joining struct {
	// replaced is set if the platform's list held an entry of an earlier process, which
	// may have lent the part until shortly before it ended.
	replaced bool
	// registeredAt is when the instance's entry was stored; from then on it is listed.
	registeredAt clock.Millis
	// allTold is set if all listed instances have answered this one, and so know of it.
	allTold bool
}

const (
	// maxBucketOwners limits the number of bucket owners, so that one token exchange
	// covers many workspaces.
	maxBucketOwners = 6
	// limitFraction is the fraction of a workspace's rate that is granted. The rest
	// allows for tokens that were fetched ahead.
	limitFraction = 0.97
	// burstFraction is the fraction of a workspace's burst that is granted.
	burstFraction = 0.8
	// newFleetWait is how long the first instances of a new fleet wait before they use their
	// parts. Those that start within this time can tell all others before any part is
	// used, and need not wait for longer.
	newFleetWait = clock.Second
	// newFleetTimeout limits the time in which an instance of a new fleet tells all others.
	newFleetTimeout = 2 * clock.Second
	// relayTimeout is the age of a replica above which an instance no longer waits
	// for its relay and reads the store itself.
	relayTimeout = 1800 * clock.Millis(1)
)

// bucketOwner returns the instance that owns a workspace's token bucket, chosen by
// rendezvous hashing. All instances with the same view of the fleet choose the same
// one. An instance that has no part and knows no owner names any other instance, which
// names the owner.
func (m *membership) bucketOwner(workspace string) *wire.FleetInstance {
	m.mu.Lock()
	candidates := m.bucketOwners
	m.mu.Unlock()
	if len(candidates) == 0 && m.ownPart() == 0 {
		candidates = m.members.Running()
	}
	owner := m.members.Self()
	highest := uint64(0)
	for _, info := range candidates {
		if score := xxhash.Sum64String(info.GetInstance() + "/" + workspace); score >= highest {
			owner, highest = info, score
		}
	}
	return owner
}

// workspaceLimit returns a workspace's limit over the fleet. It reports whether the
// workspace has a rate limit.
func (m *membership) workspaceLimit(workspace string) (quota.Limit, bool) {
	config := m.controlState.Config()
	if config == nil || config.Workspaces[workspace] == nil {
		return quota.Limit{}, false
	}
	w := config.Workspaces[workspace]
	return quota.Limit{RatePerS: w.RatePerS * limitFraction, Burst: w.Burst * burstFraction}, w.RatePerS > 0
}

// ownPart returns the fraction of all limits that is this instance's own. It is zero until
// all others count this instance among those that have a part, after a pause of this
// process in which they may have stopped to, and after giveUpPart.
func (m *membership) ownPart() float64 {
	now := m.bootClock.Now()
	m.mu.Lock()
	none := m.partGivenUp || m.partFrom == 0 || now < m.partFrom || now-m.refreshedAt > quota.PartTerm
	m.mu.Unlock()
	if none {
		return 0
	}
	return 1 / float64(m.members.PartHolders(now))
}

// allowPart lets the instance use its own part of the limits from some time on, and returns
// how long it waits and why. The others count this instance under its name: a new one waits
// until they have heard of it and what they have lent as larger parts has ended.
func (m *membership) allowPart(how joining) (wait clock.Millis, reason string) {
	now := m.bootClock.Now()
	predecessor := m.members.OwnPredecessor()
	m.mu.Lock()
	defer m.mu.Unlock()
	from, reason := how.registeredAt+m.members.SpreadTime()+quota.PartTerm, "a new instance"
	counted := predecessor != nil || (how.replaced && !m.members.OthersHoldParts())
	switch {
	case predecessor.GetPartFree():
		from, reason = now, "its earlier process has taken its part back"
	case counted && how.allTold:
		from, reason = now, "all others know that its earlier process has ended"
	case counted:
		from, reason = m.startedAt+quota.PartTerm, "its earlier process may have lent its part"
	case how.allTold && !m.members.OthersHoldParts():
		from, reason = how.registeredAt+newFleetWait, "no other instance uses a part yet"
	}
	if m.partFrom == 0 {
		m.partFrom = max(from, now)
	}
	return max(m.partFrom-now, 0), reason
}

// tellingHelps reports whether the instance may use its part sooner once all others know of
// it: in a new fleet, or while what its earlier process has lent may still be used.
func (m *membership) tellingHelps(how joining) bool {
	now := m.bootClock.Now()
	predecessor := m.members.OwnPredecessor()
	if predecessor != nil || how.replaced {
		return !predecessor.GetPartFree() && now < m.startedAt+quota.PartTerm
	}
	return !m.members.OthersHoldParts() && now < how.registeredAt+newFleetTimeout
}

// giveUpPart ends the use of the instance's part of the limits, before the process ends.
func (m *membership) giveUpPart() {
	m.mu.Lock()
	m.partGivenUp = true
	m.mu.Unlock()
	m.members.SetHoldsPart(false)
}

// ownerAddresses returns the peer addresses of the other instances that own token buckets.
func (m *membership) ownerAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, info := range m.bucketOwners {
		if info.GetInstance() != m.members.Self().GetInstance() {
			addresses = append(addresses, info.GetPeerAddress())
		}
	}
	return addresses
}

// shareHolderCount returns how many instances share the fleet-wide limits, at least one.
func (m *membership) shareHolderCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, len(m.shareHolders))
}

// refresh reads the current members and divides the limits among them.
func (m *membership) refresh() {
	now := m.bootClock.Now()
	shareHolders := m.members.ShareHolders(now)
	running := m.running(now)
	spread := m.members.SpreadTime()
	m.mu.Lock()
	changed := !slices.Equal(shareHolders, m.shareHolders)
	m.shareHolders = shareHolders
	before := m.bucketOwners
	m.bucketOwners = pickBucketOwners(running)
	ownersChanged := !slices.EqualFunc(before, m.bucketOwners, func(a, b *wire.FleetInstance) bool { return a.GetIncarnation() == b.GetIncarnation() })
	m.relaying = isRegionRelay(running, m.members.Self())
	if m.refreshedAt > 0 && now-m.refreshedAt > quota.PartTerm {
		m.partFrom = max(m.partFrom, now+spread)
	}
	m.refreshedAt = now
	m.mu.Unlock()
	if holds := m.ownPart() > 0; holds != m.members.Self().GetHoldsPart() {
		m.members.SetHoldsPart(holds)
		m.onPartChange()
	}
	if ownersChanged {
		m.onOwnersChange()
	}
	if changed {
		m.balancer.SetFleet(placement.Fleet{Self: m.members.Self().GetInstance(), Members: shareHolders})
	}
}

// running returns the instances that are alive and not stopping. This one is included
// unless it is stopping.
func (m *membership) running(now clock.Millis) []*wire.FleetInstance {
	var instances []*wire.FleetInstance
	for _, info := range append(m.members.Alive(now), m.members.Self()) {
		if !info.GetStopping() {
			instances = append(instances, info)
		}
	}
	return instances
}

// pickBucketOwners returns the first maxBucketOwners of the running instances that have a
// part of the limits, by rank.
func pickBucketOwners(running []*wire.FleetInstance) []*wire.FleetInstance {
	sorted := slices.DeleteFunc(slices.Clone(running), func(info *wire.FleetInstance) bool { return !info.GetHoldsPart() })
	slices.SortFunc(sorted, compareRank)
	return sorted[:min(len(sorted), maxBucketOwners)]
}

// isRegionRelay reports whether no running instance of the same region ranks before
// self.
func isRegionRelay(running []*wire.FleetInstance, self *wire.FleetInstance) bool {
	for _, info := range running {
		if info.GetRegion() == self.GetRegion() && compareRank(info, self) < 0 {
			return false
		}
	}
	return true
}

// compareRank orders instances for the roles of bucket owner and relay: those with the
// fastest network links first, then by the hashes of their names.
func compareRank(a, b *wire.FleetInstance) int {
	if order := cmp.Compare(b.GetLinkMbitPerS(), a.GetLinkMbitPerS()); order != 0 {
		return order
	}
	return cmp.Compare(xxhash.Sum64String(a.GetInstance()), xxhash.Sum64String(b.GetInstance()))
}

// isRelay reports whether this instance is the relay of its region.
func (m *membership) isRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.relaying
}

// shouldPollStore reports whether this instance should read a table from the platform's
// store: if it has no copy yet, is the relay of its region, or has a copy older than
// relayTimeout.
func (m *membership) shouldPollStore(replica *fleet.Replica) bool {
	asOf, known := replica.AsOf()
	return !known || m.isRelay() || m.bootClock.Now()-asOf > relayTimeout
}
