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
		// sharesFor is how long a silent instance keeps its part of the limits.
		// It must have stopped serving by itself before that.
		sharesFor clock.Millis

		mu   sync.Mutex
		self *wire.FleetInstance
		// others holds one entry an instance, by its name.
		others map[string]*member
		// entries holds the entries that were heard, by their states; an
		// instance that becomes ready again is in a former state.
		entries map[uint64]*wire.FleetInstance
	}

	member struct {
		info  *wire.FleetInstance
		state uint64
		// heardAt is when the instance itself last spoke, here or to a peer.
		heardAt clock.Millis
	}
)

const (
	// aliveFor is how long an instance of a small fleet counts as running after
	// it was heard. News takes aliveStep longer each time the fleet doubles.
	aliveFor  = 1800 * clock.Millis(1)
	aliveStep = 250 * clock.Millis(1)
	// smallFleet is the number of instances, as a power of two, up to which
	// aliveFor holds.
	smallFleet = 4
	// spareEntries is how many former entries are kept for each instance.
	spareEntries = 4
	// sharesMargin covers the time that news of an instance takes.
	sharesMargin = clock.Second
	// rememberedFor is how long a silent instance counts in the majority.
	rememberedFor = 60 * clock.Second
	// forgottenAfter is how long an instance is silent until nothing is kept of
	// it; one that comes back is heard of like a new one.
	forgottenAfter = 10 * 60 * clock.Second
)

// NewMembers returns the members known to a fresh process: itself. Term is how
// long an instance that hears nothing goes on serving.
func NewMembers(self *wire.FleetInstance, term clock.Millis) *Members {
	m := &Members{sharesFor: term + sharesMargin, others: make(map[string]*member), entries: make(map[uint64]*wire.FleetInstance)}
	m.become(self)
	return m
}

// SetAuthorityTerm changes how long an instance that hears nothing goes on serving.
func (m *Members) SetAuthorityTerm(term clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sharesFor = term + sharesMargin
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
	m.become(self)
}

// SetStopping says that this instance is to end.
func (m *Members) SetStopping() {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := proto.CloneOf(m.self)
	self.Ready = false
	self.Stopping = true
	m.become(self)
}

// become replaces this instance's own entry, which peers report back to it. The
// caller holds the lock.
func (m *Members) become(self *wire.FleetInstance) {
	m.self = self
	m.entries[stateOf(self)] = self
}

// Record takes in an entry that was true at a moment. It reports whether the
// instance is known to have started again since it was last heard.
func (m *Members) Record(info *wire.FleetInstance, at clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := stateOf(info)
	m.entries[state] = info
	m.trimEntries()
	return m.heard(state, info, at)
}

// heard takes in an entry with its state. The caller holds the lock.
func (m *Members) heard(state uint64, info *wire.FleetInstance, at clock.Millis) bool {
	if info.GetInstance() == "" || info.GetInstance() == m.self.GetInstance() {
		return false
	}
	old, ok := m.others[info.GetInstance()]
	if ok && at <= old.heardAt {
		return false
	}
	if !ok {
		m.forget(at)
	}
	m.others[info.GetInstance()] = &member{info: info, state: state, heardAt: at}
	return ok && old.info.GetIncarnation() != info.GetIncarnation()
}

// forget drops the instances that have been silent for very long, such as those
// that were replaced by others with new names. The caller holds the lock.
func (m *Members) forget(now clock.Millis) {
	for name, other := range m.others {
		if now-other.heardAt >= forgottenAfter {
			delete(m.others, name)
		}
	}
}

// RecordHeartbeats takes in how long ago a peer heard of instances in some states,
// counted from when it was asked. It returns the states whose entries are not
// known, and the peer addresses of the instances that have started again.
func (m *Members) RecordHeartbeats(states []uint64, ages []uint32, askedAt clock.Millis) (unknown []uint64, restarted []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, state := range states[:min(len(states), len(ages))] {
		info, ok := m.entries[state]
		if !ok {
			unknown = append(unknown, state)
			continue
		}
		if m.heard(state, info, askedAt-clock.Millis(ages[i])) {
			restarted = append(restarted, info.GetPeerAddress())
		}
	}
	return unknown, restarted
}

// trimEntries forgets former entries where there are too many. The caller holds
// the lock.
func (m *Members) trimEntries() {
	if len(m.entries) <= spareEntries*(len(m.others)+1) {
		return
	}
	clear(m.entries)
	m.become(m.self)
	for _, other := range m.others {
		m.entries[other.state] = other.info
	}
}

// stateOf identifies an entry by all that it says of an instance.
func stateOf(info *wire.FleetInstance) uint64 {
	plain := proto.CloneOf(info)
	plain.HeardAgeMs = 0
	raw, _ := proto.MarshalOptions{Deterministic: true}.Marshal(plain)
	return xxhash.Sum64(raw)
}

// Alive returns the other instances that run.
func (m *Members) Alive(now clock.Millis) []*wire.FleetInstance {
	return m.within(now, m.aliveSpan())
}

// aliveSpan returns how long a silent instance of this fleet counts as running.
func (m *Members) aliveSpan() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return aliveIn(len(m.others) + 1)
}

// aliveIn returns how long a silent instance of a fleet of a size counts as
// running.
func aliveIn(size int) clock.Millis {
	return aliveFor + aliveStep*clock.Millis(max(0, bits.Len(uint(size))-smallFleet))
}

// ShareHolders returns the names of the instances that may be using their part of
// the limits, this one among them; one that stops by plan gives its part up.
func (m *Members) ShareHolders(now clock.Millis) []string {
	names := []string{m.Self().GetInstance()}
	m.mu.Lock()
	sharesFor := m.sharesFor
	m.mu.Unlock()
	for _, info := range m.within(now, sharesFor) {
		if !info.GetStopping() {
			names = append(names, info.GetInstance())
		}
	}
	sort.Strings(names)
	return names
}

// Known returns all other instances of which something is kept.
func (m *Members) Known() []*wire.FleetInstance {
	return m.within(0, -1)
}

func (m *Members) within(now, span clock.Millis) []*wire.FleetInstance {
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
	alive := aliveIn(len(m.others) + 1)
	for _, other := range m.others {
		age := now - other.heardAt
		if age >= rememberedFor || (other.info.GetStopping() && age >= alive) {
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
func (m *Members) Heartbeats(now clock.Millis) (states []uint64, ages []uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range m.others {
		age := now - other.heardAt
		if age >= rememberedFor {
			continue
		}
		states = append(states, other.state)
		ages = append(ages, uint32(max(age, 0)))
	}
	return states, ages
}

// Entries returns the entries of members in some states with their ages.
func (m *Members) Entries(states []uint64, now clock.Millis) []*wire.FleetInstance {
	if len(states) == 0 {
		return nil
	}
	wanted := values.NewSet(states...)
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*wire.FleetInstance
	for _, other := range m.others {
		if wanted.Has(other.state) {
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
