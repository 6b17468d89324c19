package steering

import (
	"slices"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/tokens"
	"github.com/bulrushferry/bulrushferry/wire"
)

// membership divides fleet-wide limits among the instances and assigns the token buckets to
// some of them. It implements tokens.Fleet and is safe for concurrent use.
type membership struct {
	bootClock    clock.Clock
	members      *fleet.Members
	controlState *ControlState
	balancer     *placement.Balancer

	mu sync.Mutex
	// shareHolders are the names of the instances that share the limits, including
	// those that fell silent but may still be serving.
	shareHolders []string
	// bucketOwners are the instances among which the token buckets are divided. Until
	// ownersUntil they are those of the proof that all instances have restarted.
	bucketOwners []tokens.Owner
	ownersUntil  clock.Millis
	// relaying is set while this instance is the relay of its region: the one that
	// reads the platform's store and passes updates on to its peers.
	relaying bool
	// refreshedAt is when the members were last read.
	refreshedAt clock.Millis
	// countedFrom is from when all instances that have a share are known here, partFrom from
	// when this instance may use its own; zero if that is not known yet.
	countedFrom, partFrom clock.Millis
	// partGivenUp is set once the stopping instance does not use its share any more.
	partGivenUp bool
	// startedAt is when this process started.
	startedAt clock.Millis
	// uncertain is set while instances may be running that are neither listed nor known here.
	uncertain bool
}

const (
	// limitFraction is the fraction of a workspace's rate that is granted. The rest
	// allows for tokens that were fetched ahead.
	limitFraction = 0.97
	// burstFraction is the fraction of a workspace's burst that is granted.
	burstFraction = 0.8
	// viewTimeout is the age above which this instance's view of the members is not used to
	// divide limits, as after a pause of the process.
	viewTimeout = 1500 * clock.Millis(1)
	// relayTimeout is the age of a replica above which an instance no longer waits
	// for its relay and reads the store itself.
	relayTimeout = 1800 * clock.Millis(1)
	// entriesLongPoll is for how long the store may hold a relay's read of the list of
	// instances back, which rarely changes. entriesTimeout is what relayTimeout is for it.
	entriesLongPoll = 4 * time.Second
	entriesTimeout  = 4*clock.Second + relayTimeout
)

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

// Share implements tokens.Fleet. It is zero until this instance knows all others that have a
// share, and after a pause of this process in which there may be more.
func (m *membership) Share() float64 {
	now := m.bootClock.Now()
	m.mu.Lock()
	unknown := m.countedFrom == 0 || now < m.countedFrom || now-m.refreshedAt > viewTimeout
	m.mu.Unlock()
	if unknown {
		return 0
	}
	return 1 / float64(m.members.PartHolders(now))
}

// MayLease implements tokens.Fleet. It is false until all others count this instance among
// those that have a share, after a pause of this process in which they may have stopped to,
// and after giveUpPart.
func (m *membership) MayLease() bool {
	now := m.bootClock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.partGivenUp && m.partFrom > 0 && now >= m.partFrom && now-m.refreshedAt <= viewTimeout
}

// ownPart returns the fraction of all limits that is this instance's own, or zero while it may
// not be used.
func (m *membership) ownPart() float64 {
	if !m.MayLease() {
		return 0
	}
	return m.Share()
}

// Owners implements tokens.Fleet.
func (m *membership) Owners() []tokens.Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bucketOwners
}

// HasEnded implements tokens.Fleet.
func (m *membership) HasEnded(owner tokens.Owner) bool {
	return m.members.HasEnded(owner.Instance, owner.StartedAt)
}

// IsSilent implements tokens.Fleet. A process that has just started has not heard of all others
// yet.
func (m *membership) IsSilent(owner tokens.Owner) bool {
	now := m.bootClock.Now()
	return now-m.startedAt > fleet.RestartTerm && m.members.IsSilent(owner.Instance, now)
}

// LeaseTerm implements tokens.Fleet.
func (m *membership) LeaseTerm() clock.Millis {
	return m.members.LeaseTerm()
}

// LeaseReports implements tokens.Fleet.
func (m *membership) LeaseReports() []fleet.LeaseReport {
	return m.members.LeaseReports()
}

// SetLease implements tokens.Fleet.
func (m *membership) SetLease(number int64, lease *wire.Lease) {
	m.members.SetLease(number, lease)
}

// restartTogether divides the token buckets among the first of the instances that have all
// restarted, until a time.
func (m *membership) restartTogether(restart *fleet.Restart, until clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bucketOwners, m.ownersUntil = tokens.PickOwners(restart.Instances), until
}

// ownerAddresses returns the peer addresses of the other instances that own token buckets.
func (m *membership) ownerAddresses() []string {
	var addresses []string
	for _, owner := range m.Owners() {
		if owner.Instance != m.members.Self().GetInstance() {
			addresses = append(addresses, owner.Address)
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
	running := m.running(m.members.Alive(now))
	owners := tokens.PickOwners(m.ownerCandidates(now))
	spread := m.members.SpreadTime()
	m.mu.Lock()
	changed := !slices.Equal(shareHolders, m.shareHolders)
	m.shareHolders = shareHolders
	if now >= m.ownersUntil {
		m.bucketOwners = owners
	}
	m.relaying = isRegionRelay(running, m.members.Self())
	if m.refreshedAt > 0 && now-m.refreshedAt > viewTimeout {
		m.partFrom = max(m.partFrom, now+spread)
	}
	m.refreshedAt = now
	m.mu.Unlock()
	m.members.SetHoldsPart(m.ownPart() > 0)
	if changed {
		m.balancer.SetFleet(placement.Fleet{Self: m.members.Self().GetInstance(), Members: shareHolders})
	}
}

// ownerCandidates returns the instances that may own token buckets: those heard from lately. A
// process that has just started, in a fleet where no other uses its share yet, takes all that
// are listed for running. An instance that stops and hears no other keeps its buckets.
func (m *membership) ownerCandidates(now clock.Millis) []*wire.FleetInstance {
	others := m.members.Alive(now)
	if now-m.startedAt < fleet.RestartTerm && !m.members.OthersHoldParts() {
		others = m.members.Running()
	}
	if candidates := m.running(others); len(candidates) > 0 {
		return candidates
	}
	return []*wire.FleetInstance{m.members.Self()}
}

// running returns those of the other instances that are not stopping. This one is included
// unless it is stopping.
func (m *membership) running(others []*wire.FleetInstance) []*wire.FleetInstance {
	var instances []*wire.FleetInstance
	for _, info := range append(others, m.members.Self()) {
		if !info.GetStopping() {
			instances = append(instances, info)
		}
	}
	return instances
}

// isRegionRelay reports whether no running instance of the same region ranks before
// self.
func isRegionRelay(running []*wire.FleetInstance, self *wire.FleetInstance) bool {
	for _, info := range running {
		if info.GetRegion() == self.GetRegion() && fleet.CompareRank(info, self) < 0 {
			return false
		}
	}
	return true
}

// runningCount returns how many instances run, as far as this one has heard, and whether it is the
// first of them in rank.
func (m *membership) runningCount() (count int, first bool) {
	self := m.members.Self()
	running := m.running(m.members.Alive(m.bootClock.Now()))
	for _, info := range running {
		if fleet.CompareRank(info, self) < 0 {
			return len(running), false
		}
	}
	return len(running), !self.GetStopping()
}

// isCertain reports whether this instance knows of all others that may be running.
func (m *membership) isCertain() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partFrom > 0 && !m.uncertain
}

// isRelay reports whether this instance is the relay of its region.
func (m *membership) isRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.relaying
}

// shouldPollEntries reports whether this instance should read the list of instances from the
// platform's store: it has read it to join the fleet, and is the relay of its region or has a copy
// that no relay can have read lately.
func (m *membership) shouldPollEntries(entries *fleet.Replica) bool {
	asOf, known := entries.AsOf()
	return known && (m.isRelay() || m.bootClock.Now()-asOf > entriesTimeout)
}

// shouldPollStore reports whether this instance should read a table from the platform's
// store: if it has no copy yet, is the relay of its region, or has a copy older than
// relayTimeout.
func (m *membership) shouldPollStore(replica *fleet.Replica) bool {
	asOf, known := replica.AsOf()
	return !known || m.isRelay() || m.bootClock.Now()-asOf > relayTimeout
}
