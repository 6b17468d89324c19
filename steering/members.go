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

// membership splits the limits that cover the whole fleet over the instances
// that run, and says who keeps which workspace's bucket.
type membership struct {
	bootClock    clock.Clock
	members      *fleet.Members
	controlState *ControlState
	table        *placement.Balancer

	mu      sync.Mutex
	sharers []string
	// bucketOwners are the instances that keep buckets.
	bucketOwners []*wire.FleetInstance
	// relaying is set while this instance reads the platform's store for its region.
	relaying bool
	// limitScale is the limitScale of the limits that this side of the fleet may use.
	limitScale float64
}

const (
	// maxBucketOwners bounds the instances that keep buckets, so that one exchange
	// carries many workspaces.
	maxBucketOwners = 6
	// limitFraction is the part of a workspace's limit that is given out; it
	// covers two keepers at once for a moment.
	limitFraction = 0.97
	// burstFraction is the part of a workspace's burst that is given out.
	burstFraction = 0.8
)

// bucketOwner returns the instance that keeps a workspace's bucket. All instances
// that see the same fleet name the same one.
func (m *membership) bucketOwner(workspace string) *wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	best := m.members.Self()
	top := uint64(0)
	for _, info := range m.bucketOwners {
		if score := xxhash.Sum64String(info.GetInstance() + "/" + workspace); score >= top {
			best, top = info, score
		}
	}
	return best
}

// workspaceLimit returns a workspace's workspaceLimit for the part of the fleet that is in touch:
// instances that fell silent may still use theirs.
func (m *membership) workspaceLimit(workspace string) (quota.Limit, bool) {
	config := m.controlState.Config()
	if config == nil || config.Workspaces[workspace] == nil {
		return quota.Limit{}, false
	}
	w := config.Workspaces[workspace]
	m.mu.Lock()
	defer m.mu.Unlock()
	whole := quota.Limit{RatePerS: w.RatePerS * limitFraction, Burst: w.Burst * burstFraction}
	return whole.Scale(m.limitScale), w.RatePerS > 0
}

// sharerCount returns how many instances share the limits.
func (m *membership) sharerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, len(m.sharers))
}

// refresh takes in who runs and splits the limits anew.
func (m *membership) refresh() {
	now := m.bootClock.Now()
	sharing := m.members.ShareHolders(now)
	running := m.running(now)
	m.mu.Lock()
	changed := !slices.Equal(sharing, m.sharers)
	m.sharers = sharing
	m.bucketOwners = pickBucketOwners(running)
	m.relaying = isRegionRelay(running, m.members.Self())
	m.limitScale = float64(len(running)) / float64(max(len(sharing), 1))
	m.mu.Unlock()
	if changed {
		m.table.SetFleet(placement.Fleet{Self: m.members.Self().GetInstance(), Members: sharing})
	}
}

// running lists the instances that run and do not stop, this one among them.
func (m *membership) running(now clock.Millis) []*wire.FleetInstance {
	var out []*wire.FleetInstance
	for _, info := range append(m.members.Alive(now), m.members.Self()) {
		if !info.GetStopping() {
			out = append(out, info)
		}
	}
	return out
}

// pickBucketOwners picks some of the running instances.
func pickBucketOwners(running []*wire.FleetInstance) []*wire.FleetInstance {
	sorted := slices.Clone(running)
	slices.SortFunc(sorted, compareRank)
	return sorted[:min(len(sorted), maxBucketOwners)]
}

// isRegionRelay reports whether an instance is the first of its region.
func isRegionRelay(running []*wire.FleetInstance, self *wire.FleetInstance) bool {
	for _, info := range running {
		if info.GetRegion() == self.GetRegion() && compareRank(info, self) < 0 {
			return false
		}
	}
	return true
}

// compareRank orders instances for duties: those with the fastest links first, then
// by the hashes of their names.
func compareRank(a, b *wire.FleetInstance) int {
	if order := cmp.Compare(b.GetLinkMbitPerS(), a.GetLinkMbitPerS()); order != 0 {
		return order
	}
	return cmp.Compare(xxhash.Sum64String(a.GetInstance()), xxhash.Sum64String(b.GetInstance()))
}

// isRelay reports whether this instance reads the platform's store for the
// others of its region.
func (m *membership) isRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.relaying
}

// shouldPollStore reports whether this instance is to ask the platform's store for a
// table: as the relay of its region, or when no news has come for a while.
func (m *membership) shouldPollStore(replica *fleet.Replica) bool {
	asOf, known := replica.AsOf()
	return !known || m.isRelay() || m.bootClock.Now()-asOf > relayTimeout
}

// relayTimeout is the age of a table from which an instance does not wait for
// its relay.
const relayTimeout = 1800 * clock.Millis(1)
