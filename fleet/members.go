package fleet

import (
	"math/bits"
	"sort"
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

type (
	// Members holds what this instance knows of the other instances. It is safe
	// for concurrent use.
	Members struct {
		// shareTimeout is how long a silent instance keeps its share of the
		// fleet-wide limits. It is longer than the authority term, after which
		// that instance has stopped serving by itself.
		shareTimeout clock.Millis

		mu sync.Mutex
		// self is this instance's own entry, selfHash its hash.
		self     *wire.FleetInstance
		selfHash uint64
		// others holds one member for each other instance, by name.
		others map[string]*member
		// entries holds the known membership entries by their hashes. Earlier
		// entries of an instance are kept, because one that becomes ready again
		// is described by an earlier entry.
		entries  map[uint64]*wire.FleetInstance
		majority majority
		// predecessor is the entry of an earlier process of this instance, as a peer has
		// reported it.
		predecessor *wire.FleetInstance
		// changed holds an element if an entry has changed since Changed was last read.
		changed chan struct{}
		// leases holds the known leases by their hashes, ownLease is this process's.
		leases   map[uint64]*wire.Lease
		ownLease memberLease
		// holders is the latest result of PartHolders.
		holders partHolders
		// leastHolders is how many it counts at least.
		leastHolders int
	}

	// majority is a result of InMajority and the time for which it holds unless a member
	// is recorded or the platform confirms this instance's state. The zero value holds at no
	// time.
	majority struct {
		in                     bool
		from, until, confirmed clock.Millis
	}

	// member is another instance with its latest entry.
	member struct {
		info *wire.FleetInstance
		hash uint64
		// heardAt is when the instance was last heard from, here or by a peer.
		heardAt clock.Millis
		// predecessor is the member of the instance's earlier process, if there was one.
		predecessor *member
		// lease is the latest lease that the process has stated.
		lease memberLease
	}
)

const (
	// baseAliveTimeout is how long an instance of a small fleet counts as alive
	// after it was last heard from. Heartbeats take aliveTimeoutStep longer to
	// reach all instances each time the size of the fleet doubles.
	baseAliveTimeout = 1800 * clock.Millis(1)
	aliveTimeoutStep = 250 * clock.Millis(1)
	// smallFleetBits is the length in bits of the size of the largest fleets for
	// which baseAliveTimeout holds, that is up to 15 instances.
	smallFleetBits = 4
	// maxEntriesPerMember bounds the entries kept, on average for each instance.
	maxEntriesPerMember = 4
	// shareMargin covers the time that a heartbeat takes to spread.
	shareMargin = clock.Second
	// majorityWindow is how long a silent instance still counts for the majority while the
	// platform answers, and is reported to peers.
	majorityWindow = 60 * clock.Second
	// memberRetention is how long a silent instance is kept. One that returns
	// later is treated as new.
	memberRetention = 10 * 60 * clock.Second
)

// NewMembers returns the members known to a new process: only itself. term is how
// long an instance that hears from nobody goes on serving.
func NewMembers(self *wire.FleetInstance, term clock.Millis) *Members {
	m := &Members{shareTimeout: term + shareMargin, others: make(map[string]*member), entries: make(map[uint64]*wire.FleetInstance), leases: make(map[uint64]*wire.Lease), changed: make(chan struct{}, 1)}
	m.setSelf(self)
	return m
}

// SetAuthorityTerm sets how long an instance that hears from nobody goes on serving.
func (m *Members) SetAuthorityTerm(term clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shareTimeout = term + shareMargin
}

// Self returns this instance's own entry. The caller must not modify it.
func (m *Members) Self() *wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// SetReady sets whether this instance takes requests. A stopping instance is never
// ready.
func (m *Members) SetReady(ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ready = ready && !m.self.GetStopping(); ready == m.self.GetReady() {
		return
	}
	self := proto.CloneOf(m.self)
	self.Ready = ready
	m.setSelf(self)
}

// SetStopping marks this instance as stopping and no longer ready.
func (m *Members) SetStopping() {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := proto.CloneOf(m.self)
	self.Ready = false
	self.Stopping = true
	m.setSelf(self)
}

// setSelf replaces this instance's own entry. It also stores the entry by its hash,
// because peers report it back. The caller must hold the lock.
func (m *Members) setSelf(self *wire.FleetInstance) {
	m.self, m.selfHash = self, entryHash(self)
	m.entries[m.selfHash] = self
}

// Record records an entry that was valid at the given time. It reports whether the
// instance has restarted since it was last heard from.
func (m *Members) Record(info *wire.FleetInstance, at clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	hash := entryHash(info)
	m.entries[hash] = info
	m.pruneEntries()
	return m.record(hash, info, at)
}

// RecordRegistered records instances that have an entry in the platform's store and were
// not heard here yet. They may be running, so they keep their share of the limits for a
// while, but do not count as alive.
func (m *Members) RecordRegistered(list []*wire.FleetInstance, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	unheard := now - aliveTimeoutFor(len(list)+1)
	for _, info := range list {
		name := info.GetInstance()
		if _, known := m.others[name]; known || name == "" || name == m.self.GetInstance() {
			continue
		}
		m.others[name] = &member{info: info, hash: entryHash(info), heardAt: unheard}
	}
	m.majority, m.holders = majority{}, partHolders{}
}

// record records an entry with its hash. The caller must hold the lock.
func (m *Members) record(hash uint64, info *wire.FleetInstance, at clock.Millis) bool {
	if info.GetInstance() == "" || info.GetInstance() == m.self.GetInstance() {
		return false
	}
	old, ok := m.others[info.GetInstance()]
	if ok && at <= old.heardAt {
		return false
	}
	if !ok {
		m.removeSilent(at)
	}
	current := &member{info: info, hash: hash, heardAt: at}
	restarted := ok && old.info.GetIncarnation() != info.GetIncarnation()
	switch {
	case restarted:
		current.predecessor = &member{info: old.info, heardAt: old.heardAt}
	case ok:
		current.predecessor, current.lease = old.predecessor, old.lease
	}
	m.others[info.GetInstance()] = current
	m.majority, m.holders = majority{}, partHolders{}
	if !ok || old.hash != hash {
		select {
		case m.changed <- struct{}{}:
		default:
		}
	}
	return restarted
}

// Changed returns a channel that delivers an element after the entries of other instances
// have changed.
func (m *Members) Changed() <-chan struct{} {
	return m.changed
}

// removeSilent removes the instances that have been silent for memberRetention, such
// as those replaced by instances with new names. The caller must hold the lock.
func (m *Members) removeSilent(now clock.Millis) {
	for name, other := range m.others {
		if now-other.heardAt >= memberRetention {
			delete(m.others, name)
		}
	}
}

// pruneEntries drops all but the latest entry of each instance if there are too
// many. The caller must hold the lock.
func (m *Members) pruneEntries() {
	if len(m.entries) <= maxEntriesPerMember*(len(m.others)+1) {
		return
	}
	clear(m.entries)
	m.setSelf(m.self)
	for _, other := range m.others {
		m.entries[other.hash] = other.info
	}
}

// entryHash returns a hash of everything in an entry except its age.
func entryHash(info *wire.FleetInstance) uint64 {
	withoutAge := proto.CloneOf(info)
	withoutAge.HeardAgeMs = 0
	raw, _ := proto.MarshalOptions{Deterministic: true}.Marshal(withoutAge)
	return xxhash.Sum64(raw)
}

// Alive returns the other instances that count as alive.
func (m *Members) Alive(now clock.Millis) []*wire.FleetInstance {
	return m.heardWithin(now, m.aliveTimeout())
}

// aliveTimeout returns how long a silent instance of this fleet counts as alive.
func (m *Members) aliveTimeout() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return aliveTimeoutFor(len(m.others) + 1)
}

// aliveTimeoutFor returns how long a silent instance counts as alive in a fleet of
// the given size.
func aliveTimeoutFor(size int) clock.Millis {
	return baseAliveTimeout + aliveTimeoutStep*clock.Millis(max(0, bits.Len(uint(size))-smallFleetBits))
}

// ShareHolders returns the names of the instances that may still use their share of
// the fleet-wide limits, including this one. A stopping instance gives up its share.
func (m *Members) ShareHolders(now clock.Millis) []string {
	names := []string{m.Self().GetInstance()}
	m.mu.Lock()
	shareTimeout := m.shareTimeout
	m.mu.Unlock()
	for _, info := range m.heardWithin(now, shareTimeout) {
		if !info.GetStopping() {
			names = append(names, info.GetInstance())
		}
	}
	sort.Strings(names)
	return names
}

// Running returns the other known instances that are not stopping, heard or not.
func (m *Members) Running() []*wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*wire.FleetInstance
	for _, other := range m.others {
		if !other.info.GetStopping() {
			out = append(out, other.info)
		}
	}
	return out
}

// FirstStart returns when the first of the known processes started, by the store's clock.
func (m *Members) FirstStart() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.self.GetStartedMs()
	for _, other := range m.others {
		if at := other.info.GetStartedMs(); at > 0 {
			first = min(first, at)
		}
	}
	return first
}

// Known returns all other instances that have not been removed.
func (m *Members) Known() []*wire.FleetInstance {
	return m.heardWithin(0, -1)
}

// heardWithin returns the other instances last heard from less than maxAge ago, in
// the order of their names. A negative maxAge selects all of them.
func (m *Members) heardWithin(now, maxAge clock.Millis) []*wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*wire.FleetInstance, 0, len(m.others))
	for _, other := range m.others {
		if maxAge < 0 || now-other.heardAt < maxAge {
			out = append(out, other.info)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetInstance() < out[j].GetInstance() })
	return out
}

// InMajority reports whether this instance has heard lately from at least half of
// the fleet, itself included. The fleet is what was heard within majorityWindow before the
// platform last confirmed this instance's state, or since: without the platform, silence does
// not tell an instance that is gone from one that is cut off. Instances that have stopped
// gracefully do not count. The members are counted only after one was recorded or reached a
// timeout, since each request asks while the store is unavailable.
func (m *Members) InMajority(now, confirmed clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.majority.from || now >= m.majority.until || confirmed != m.majority.confirmed {
		m.majority = m.countMajority(now, confirmed)
	}
	return m.majority.in
}

// countMajority works out the result of InMajority. The caller must hold the lock.
func (m *Members) countMajority(now, confirmed clock.Millis) majority {
	heard, all, until := 1, 1, now+majorityWindow
	alive := aliveTimeoutFor(len(m.others) + 1)
	for _, other := range m.others {
		age := now - other.heardAt
		if age < alive {
			until = min(until, other.heardAt+alive)
		}
		if confirmed-other.heardAt >= majorityWindow || (other.info.GetStopping() && age >= alive) {
			continue
		}
		all++
		if age < alive {
			heard++
		}
	}
	return majority{in: 2*heard >= all, from: now, until: until, confirmed: confirmed}
}

// Entries returns the entries with the given hashes, each with its age.
func (m *Members) Entries(hashes []uint64, now clock.Millis) []*wire.FleetInstance {
	if len(hashes) == 0 {
		return nil
	}
	wanted := values.NewSet(hashes...)
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*wire.FleetInstance
	for _, other := range m.others {
		if wanted.Has(other.hash) {
			info := proto.CloneOf(other.info)
			info.HeardAgeMs = int64(max(now-other.heardAt, 0))
			out = append(out, info)
		}
	}
	return out
}

// RecordReport records an entry that a peer reported. The age in the entry counts from
// when the peer was asked. It reports the same as Record.
func (m *Members) RecordReport(info *wire.FleetInstance, askedAt clock.Millis) bool {
	return m.Record(info, askedAt-clock.Millis(max(info.GetHeardAgeMs(), 0)))
}
