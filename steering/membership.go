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

	mu sync.Mutex
	// shareHolders are the names of the instances that share the limits, including
	// those that fell silent but may still be serving.
	shareHolders []string
	// bucketOwners are the instances among which the token buckets are divided.
	bucketOwners []*wire.FleetInstance
	// relaying is set while this instance is the relay of its region: the one that
	// reads the platform's store and passes updates on to its peers.
	relaying bool
	// limitScale is the fraction of the limits that the running instances may use
	// together; the rest is left to the silent ones that still hold a share.
	limitScale float64
}

const (
	// maxBucketOwners limits the number of bucket owners, so that one token exchange
	// covers many workspaces.
	maxBucketOwners = 6
	// limitFraction is the fraction of a workspace's rate that is granted. The rest
	// allows for a bucket that has two owners for a moment.
	limitFraction = 0.97
	// burstFraction is the fraction of a workspace's burst that is granted.
	burstFraction = 0.8
	// relayTimeout is the age of a replica above which an instance no longer waits
	// for its relay and reads the store itself.
	relayTimeout = 1800 * clock.Millis(1)
)

// bucketOwner returns the instance that owns a workspace's token bucket, chosen by
// rendezvous hashing. All instances with the same view of the fleet choose the same
// one.
func (m *membership) bucketOwner(workspace string) *wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner := m.members.Self()
	highest := uint64(0)
	for _, info := range m.bucketOwners {
		if score := xxhash.Sum64String(info.GetInstance() + "/" + workspace); score >= highest {
			owner, highest = info, score
		}
	}
	return owner
}

// workspaceLimit returns a workspace's limit, scaled to the running instances, since
// silent ones may still be using their shares. It reports whether the workspace has a
// rate limit.
func (m *membership) workspaceLimit(workspace string) (quota.Limit, bool) {
	config := m.controlState.Config()
	if config == nil || config.Workspaces[workspace] == nil {
		return quota.Limit{}, false
	}
	w := config.Workspaces[workspace]
	m.mu.Lock()
	defer m.mu.Unlock()
	total := quota.Limit{RatePerS: w.RatePerS * limitFraction, Burst: w.Burst * burstFraction}
	return total.WithScale(m.limitScale), w.RatePerS > 0
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
	m.mu.Lock()
	changed := !slices.Equal(shareHolders, m.shareHolders)
	m.shareHolders = shareHolders
	m.bucketOwners = pickBucketOwners(running)
	m.relaying = isRegionRelay(running, m.members.Self())
	m.limitScale = float64(len(running)) / float64(max(len(shareHolders), 1))
	m.mu.Unlock()
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

// pickBucketOwners returns the first maxBucketOwners of the running instances by rank.
func pickBucketOwners(running []*wire.FleetInstance) []*wire.FleetInstance {
	sorted := slices.Clone(running)
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
