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

// lastHeardTime is how long an isolated instance continues to name those that it heard from
// last. It is short because callers lose time at an instance that has ended.
const lastHeardTime = 5 * clock.Second

// LastHeard returns the other instances that were alive when the last of them was heard
// from, in the order of their names, up to lastHeardTime after that.
func (m *Members) LastHeard(now clock.Millis) []*wire.FleetInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := clock.Millis(0)
	for _, other := range m.others {
		latest = max(latest, other.heardAt)
	}
	timeout := aliveTimeoutFor(len(m.others) + 1)
	var out []*wire.FleetInstance
	for _, other := range m.others {
		if latest-other.heardAt < timeout && now-other.heardAt < lastHeardTime {
			out = append(out, other.info)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetInstance() < out[j].GetInstance() })
	return out
}
