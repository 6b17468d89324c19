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
	// Members is what this instance knows of the others. It is safe for
	// concurrent use.
	Members struct {
		// shareTimeout is how long a silent instance keeps its part of the limits.
		// It must have stopped serving by itself before that.
		shareTimeout clock.Millis

		mu   sync.Mutex
		self *wire.FleetInstance
		// others holds one entry an instance, by its name.
		others map[string]*member
		// entries holds the entries that were heard, by their states; an
		// instance that becomes ready again is in a former state.
		entries map[uint64]*wire.FleetInstance
	}

	member struct {
		info *wire.FleetInstance
		hash uint64
		// heardAt is when the instance itself last spoke, here or to a peer.
		heardAt clock.Millis
	}
)

const (
	// baseAliveTimeout is how long an instance of a small fleet counts as running after
	// it was heard. News takes aliveStep longer each time the fleet doubles.
	baseAliveTimeout = 1800 * clock.Millis(1)
	aliveTimeoutStep = 250 * clock.Millis(1)
	// smallFleetBits is the number of instances, as a power of two, up to which
	// aliveFor holds.
	smallFleetBits = 4
	// maxEntriesPerMember is how many former entries are kept for each instance.
	maxEntriesPerMember = 4
	// shareMargin covers the time that news of an instance takes.
	shareMargin = clock.Second
	// majorityWindow is how long a silent instance counts in the majority.
	majorityWindow = 60 * clock.Second
	// memberRetention is how long an instance is silent until nothing is kept of
	// it; one that comes back is heard of like a new one.
	memberRetention = 10 * 60 * clock.Second
)

// NewMembers returns the members known to a fresh process: itself. Term is how
// long an instance that hears nothing goes on serving.
func NewMembers(self *wire.FleetInstance, term clock.Millis) *Members {
	m := &Members{shareTimeout: term + shareMargin, others: make(map[string]*member), entries: make(map[uint64]*wire.FleetInstance)}
	m.setSelf(self)
	return m
}

// SetAuthorityTerm changes how long an instance that hears nothing goes on serving.
func (m *Members) SetAuthorityTerm(term clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shareTimeout = term + shareMargin
}

// Self returns this instance's own entry, which must not be changed.
func (m *Members) Self() *wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// SetReady says whether this instance takes requests. One that stops never does.
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

// SetStopping says that this instance is to end.
func (m *Members) SetStopping() {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := proto.CloneOf(m.self)
	self.Ready = false
	self.Stopping = true
	m.setSelf(self)
}

// setSelf replaces this instance's own entry, which peers report back to it. The
// caller holds the lock.
func (m *Members) setSelf(self *wire.FleetInstance) {
	m.self = self
	m.entries[entryHash(self)] = self
}

// Record takes in an entry that was true at a moment. It reports whether the
// instance is known to have started again since it was last heard.
func (m *Members) Record(info *wire.FleetInstance, at clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	hash := entryHash(info)
	m.entries[hash] = info
	m.pruneEntries()
	return m.record(hash, info, at)
}

// record takes in an entry with its state. The caller holds the lock.
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
	m.others[info.GetInstance()] = &member{info: info, hash: hash, heardAt: at}
	return ok && old.info.GetIncarnation() != info.GetIncarnation()
}

// removeSilent drops the instances that have been silent for very long, such as those
// that were replaced by others with new names. The caller holds the lock.
func (m *Members) removeSilent(now clock.Millis) {
	for name, other := range m.others {
		if now-other.heardAt >= memberRetention {
			delete(m.others, name)
		}
	}
}

// RecordHeartbeats takes in how long ago a peer heard of instances in some states,
// counted from when it was asked. It returns the states whose entries are not
// known, and the peer addresses of the instances that have started again.
func (m *Members) RecordHeartbeats(hashes []uint64, ages []uint32, askedAt clock.Millis) (unknown []uint64, restarted []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, hash := range hashes[:min(len(hashes), len(ages))] {
		info, ok := m.entries[hash]
		if !ok {
			unknown = append(unknown, hash)
			continue
		}
		if m.record(hash, info, askedAt-clock.Millis(ages[i])) {
			restarted = append(restarted, info.GetPeerAddress())
		}
	}
	return unknown, restarted
}

// pruneEntries forgets former entries where there are too many. The caller holds
// the lock.
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

// entryHash identifies an entry by all that it says of an instance.
func entryHash(info *wire.FleetInstance) uint64 {
	plain := proto.CloneOf(info)
	plain.HeardAgeMs = 0
	raw, _ := proto.MarshalOptions{Deterministic: true}.Marshal(plain)
	return xxhash.Sum64(raw)
}

// Alive returns the other instances that run.
func (m *Members) Alive(now clock.Millis) []*wire.FleetInstance {
	return m.heardWithin(now, m.aliveTimeout())
}

// aliveTimeout returns how long a silent instance of this fleet counts as running.
func (m *Members) aliveTimeout() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return aliveTimeoutFor(len(m.others) + 1)
}

// aliveTimeoutFor returns how long a silent instance of a fleet of a size counts as
// running.
func aliveTimeoutFor(size int) clock.Millis {
	return baseAliveTimeout + aliveTimeoutStep*clock.Millis(max(0, bits.Len(uint(size))-smallFleetBits))
}

// ShareHolders returns the names of the instances that may be using their part of
// the limits, this one among them; one that stops by plan gives its part up.
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

// Known returns all other instances of which something is kept.
func (m *Members) Known() []*wire.FleetInstance {
	return m.heardWithin(0, -1)
}

func (m *Members) heardWithin(now, span clock.Millis) []*wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*wire.FleetInstance, 0, len(m.others))
	for _, other := range m.others {
		if span < 0 || now-other.heardAt < span {
			out = append(out, other.info)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetInstance() < out[j].GetInstance() })
	return out
}

// InMajority reports whether this instance hears at least half of the fleet,
// itself counted; instances that stopped by plan do not count.
func (m *Members) InMajority(now clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	heard, all := 1, 1
	alive := aliveTimeoutFor(len(m.others) + 1)
	for _, other := range m.others {
		age := now - other.heardAt
		if age >= majorityWindow || (other.info.GetStopping() && age >= alive) {
			continue
		}
		all++
		if age < alive {
			heard++
		}
	}
	return 2*heard >= all
}

// Heartbeats lists the states of the members with their ages in milliseconds for a
// peer.
func (m *Members) Heartbeats(now clock.Millis) (hashes []uint64, ages []uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range m.others {
		age := now - other.heardAt
		if age >= majorityWindow {
			continue
		}
		hashes = append(hashes, other.hash)
		ages = append(ages, uint32(max(age, 0)))
	}
	return hashes, ages
}

// Entries returns the entries of members in some states with their ages.
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

// RecordReport takes in what a peer reports of a third instance. Age is counted from
// when the peer was asked.
func (m *Members) RecordReport(info *wire.FleetInstance, askedAt clock.Millis) bool {
	return m.Record(info, askedAt-clock.Millis(info.GetHeardAgeMs()))
}
