package fleet

import (
	"sort"
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
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
	}

	member struct {
		info *wire.FleetInstance
		// heardAt is when the instance itself last spoke, here or to a peer.
		heardAt clock.Millis
	}
)

const (
	// aliveFor is how long an instance counts as running after it was heard.
	aliveFor = 1800 * clock.Millis(1)
	// sharesMargin covers the time that news of an instance takes.
	sharesMargin = clock.Second
	// rememberedFor is how long a silent instance counts in the majority.
	rememberedFor = 60 * clock.Second
)

// NewMembers returns the members known to a fresh process: itself. Term is how
// long an instance that hears nothing goes on serving.
func NewMembers(self *wire.FleetInstance, term clock.Millis) *Members {
	return &Members{self: self, sharesFor: term + sharesMargin, others: make(map[string]*member)}
}

// Self returns this instance's own entry.
func (m *Members) Self() *wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return proto.CloneOf(m.self)
}

// SetReady says whether this instance takes requests. One that stops never does.
func (m *Members) SetReady(ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self = proto.CloneOf(m.self)
	m.self.Ready = ready && !m.self.GetStopping()
}

// SetStopping says that this instance is to end.
func (m *Members) SetStopping() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self = proto.CloneOf(m.self)
	m.self.Ready = false
	m.self.Stopping = true
}

// Heard takes in an entry that was true at a moment. It reports whether the
// instance is known to have started again since it was last heard.
func (m *Members) Heard(info *wire.FleetInstance, at clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if info.GetInstance() == "" || info.GetInstance() == m.self.GetInstance() {
		return false
	}
	old, ok := m.others[info.GetInstance()]
	if ok && at <= old.heardAt {
		return false
	}
	m.others[info.GetInstance()] = &member{info: info, heardAt: at}
	return ok && old.info.GetIncarnation() != info.GetIncarnation()
}

// Alive returns the other instances that run.
func (m *Members) Alive(now clock.Millis) []*wire.FleetInstance {
	return m.within(now, aliveFor)
}

// Sharing returns the names of the instances that may be using their part of
// the limits, this one among them; one that stops by plan gives its part up.
func (m *Members) Sharing(now clock.Millis) []string {
	names := []string{m.Self().GetInstance()}
	for _, info := range m.within(now, m.sharesFor) {
		if !info.GetStopping() {
			names = append(names, info.GetInstance())
		}
	}
	sort.Strings(names)
	return names
}

// Known returns all other instances that were ever heard of.
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
	for _, other := range m.others {
		age := now - other.heardAt
		if age >= rememberedFor || (other.info.GetStopping() && age >= aliveFor) {
			continue
		}
		all++
		if age < aliveFor {
			heard++
		}
	}
	return 2*heard >= all
}

// Report lists the members with their ages for a peer.
func (m *Members) Report(now clock.Millis) []*wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*wire.FleetInstance, 0, len(m.others))
	for _, other := range m.others {
		age := now - other.heardAt
		if age >= rememberedFor {
			continue
		}
		info := proto.CloneOf(other.info)
		info.HeardAgeMs = int64(age)
		out = append(out, info)
	}
	return out
}

// HeardOf takes in what a peer reports of a third instance. Age is counted from
// when the peer was asked.
func (m *Members) HeardOf(info *wire.FleetInstance, askedAt clock.Millis) bool {
	return m.Heard(info, askedAt-clock.Millis(info.GetHeardAgeMs()))
}
