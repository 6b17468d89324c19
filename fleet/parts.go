package fleet

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// partRetention is how long a silent instance may use its own part of the limits on
	// workspaces. Its loans to peers have ended long before.
	partRetention = 30 * clock.Second
	// stoppingPartRetention is the same for an instance that is stopping. It covers the
	// time until a new process of the instance has started.
	stoppingPartRetention = 12 * clock.Second
)

// SetPartFree records that no peer uses this instance's part of the limits any more.
func (m *Members) SetPartFree() {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := proto.CloneOf(m.self)
	self.PartFree = true
	m.setSelf(self)
}

// SetHoldsPart sets whether this instance has a part of the limits on workspaces.
func (m *Members) SetHoldsPart(holds bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if holds == m.self.GetHoldsPart() {
		return
	}
	self := proto.CloneOf(m.self)
	self.HoldsPart = holds
	m.setSelf(self)
}

// PartHolders returns how many instances may use a part of the limits on workspaces,
// including this one. While no other instance is alive, this one may be cut off from
// them, and counts them for longer.
func (m *Members) PartHolders(now clock.Millis) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	retention := majorityWindow
	alive := aliveTimeoutFor(len(m.others) + 1)
	for _, other := range m.others {
		if now-other.heardAt < alive {
			retention = partRetention
		}
	}
	count := 1
	for _, other := range m.others {
		if now-other.heardAt < min(retention, partRetentionOf(other.info)) {
			count++
		}
	}
	return count
}

// partRetentionOf returns how long after it was last heard from an instance counts among
// those that have a part of the limits on workspaces.
func partRetentionOf(info *wire.FleetInstance) clock.Millis {
	if info.GetStopping() {
		return stoppingPartRetention
	}
	return majorityWindow
}

// Predecessor returns the last entry of an earlier process of an instance, with its age, or
// nil if that is not among those that have a part of the limits.
func (m *Members) Predecessor(instance string, now clock.Millis) *wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	other, ok := m.others[instance]
	if !ok || other.predecessor == nil {
		return nil
	}
	age := max(now-other.predecessor.heardAt, 0)
	if age >= min(partRetention, partRetentionOf(other.predecessor.info)) {
		return nil
	}
	info := proto.CloneOf(other.predecessor.info)
	info.HeardAgeMs = int64(age)
	return info
}

// RecordOwnPredecessor records the entry of an earlier process of this instance that a peer
// has reported, unless an earlier report is more recent.
func (m *Members) RecordOwnPredecessor(info *wire.FleetInstance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if info == nil || info.GetInstance() != m.self.GetInstance() || info.GetIncarnation() == m.self.GetIncarnation() {
		return
	}
	if m.predecessor == nil || info.GetHeardAgeMs() < m.predecessor.GetHeardAgeMs() {
		m.predecessor = info
	}
}

// OwnPredecessor returns the entry of an earlier process of this instance with its age when
// it was reported, or nil if no peer has reported one.
func (m *Members) OwnPredecessor() *wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.predecessor
}

// OthersHoldParts reports whether another instance has said that it has a part of the limits
// on workspaces.
func (m *Members) OthersHoldParts() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range m.others {
		if other.info.GetHoldsPart() {
			return true
		}
	}
	return false
}

// SpreadTime returns how long it takes until all instances that are in contact have heard
// of a new one.
func (m *Members) SpreadTime() clock.Millis {
	return m.aliveTimeout()
}
