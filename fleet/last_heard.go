package fleet

import (
	"sort"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

// SetNearLimit sets the limit of its own that this instance is near; empty for none.
func (m *Members) SetNearLimit(limit string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if limit == m.self.GetNearLimit() {
		return
	}
	self := proto.CloneOf(m.self)
	self.NearLimit = limit
	m.setSelf(self)
}

// LastHeard returns the other instances that were alive when the last of them was heard
// from, in the order of their names.
func (m *Members) LastHeard() []*wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := clock.Millis(0)
	for _, other := range m.others {
		latest = max(latest, other.heardAt)
	}
	timeout := aliveTimeoutFor(len(m.others) + 1)
	var out []*wire.FleetInstance
	for _, other := range m.others {
		if latest-other.heardAt < timeout {
			out = append(out, other.info)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetInstance() < out[j].GetInstance() })
	return out
}
