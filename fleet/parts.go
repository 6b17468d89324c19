package fleet

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

// partHolders is a result of PartHolders and the time for which it holds unless a member is
// recorded. The zero value holds at no time.
type partHolders struct {
	count       int
	from, until clock.Millis
}

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

// SetStart sets when this process started, by the store's clock, and what the store knew of
// the instance then.
func (m *Members) SetStart(startedAt clock.Millis, start wire.Start) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := proto.CloneOf(m.self)
	self.StartedMs, self.Start = int64(startedAt), start
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

// PartHolders returns how many instances may use a share of the limits on workspaces,
// including this one. While no other instance is alive, this one may be cut off from
// them, and counts them for longer. They are counted only after one was recorded or reached a
// timeout, since each request asks.
func (m *Members) PartHolders(now clock.Millis) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.holders.from || now >= m.holders.until {
		m.holders = m.countPartHolders(now)
	}
	return m.holders.count
}

// countPartHolders works out the result of PartHolders. The caller must hold the lock.
func (m *Members) countPartHolders(now clock.Millis) partHolders {
	until := now + majorityWindow
	retention := majorityWindow
	alive := aliveTimeoutFor(len(m.others) + 1)
	for _, other := range m.others {
		if age := now - other.heardAt; age < alive {
			retention = partRetention
			until = min(until, other.heardAt+alive)
		}
	}
	count := 1
	for _, other := range m.others {
		if timeout := min(retention, partRetentionOf(other.info)); now-other.heardAt < timeout {
			count++
			until = min(until, other.heardAt+timeout)
		}
	}
	return partHolders{count: max(count, m.leastHolders), from: now, until: until}
}

// SetLeastHolders sets how many instances are counted by PartHolders at least, while this one may
// not know all of them.
func (m *Members) SetLeastHolders(least int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leastHolders, m.holders = least, partHolders{}
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

// HasEnded reports whether a process of an instance that started at a time by the store's clock
// has ended: a later one was heard from. Without these times the order of two processes is not
// known, since an earlier one's message may arrive late.
func (m *Members) HasEnded(instance string, startedAt clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	other, ok := m.others[instance]
	return ok && startedAt > 0 && clock.Millis(other.info.GetStartedMs()) > startedAt
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

// LeaseTerm returns how long a lease holds after it was last stated. It grows with the fleet, as
// the time in which heartbeats spread does: at least 98 in 100 leases are stated again in time
// (TestLeasesStayRenewed). Each of the others costs one share until it is stated again.
func (m *Members) LeaseTerm() clock.Millis {
	return m.aliveTimeout() * 7 / 10
}

// IsSilent reports whether a process of an instance has been heard from so long ago that it may
// have ended. 99 in 100 heartbeats take less time to spread, so that few owners that are running
// count as silent.
func (m *Members) IsSilent(instance string, now clock.Millis) bool {
	timeout := m.aliveTimeout() * 6 / 10
	m.mu.Lock()
	defer m.mu.Unlock()
	other, ok := m.others[instance]
	return ok && now-other.heardAt > timeout
}

// SpreadTime returns how long it takes until all instances that are in contact have heard
// of a new one.
func (m *Members) SpreadTime() clock.Millis {
	return m.aliveTimeout()
}
