package steering

import (
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/share"
	"github.com/bulrushferry/bulrushferry/wire"
)

// membership splits the limits that cover the whole fleet over the instances
// that run. It implements peer.LoanFleet.
type membership struct {
	boot      clock.Clock
	members   *fleet.Members
	knowledge *Knowledge
	table     *placement.Table

	mu        sync.Mutex
	sharing   []string
	listeners []func()
}

// burstMargin is the part of a workspace's burst that is given out, which
// leaves room for instances that come while others fall silent.
const burstMargin = 0.8

// Incarnation implements peer.LoanFleet.
func (m *membership) Incarnation() string {
	return m.members.Self().GetIncarnation()
}

// Members implements peer.LoanFleet.
func (m *membership) Members() []peer.Member {
	alive := m.members.Alive(m.boot.Now())
	out := make([]peer.Member, 0, len(alive))
	for _, info := range alive {
		out = append(out, peer.Member{Seat: &wire.Seat{
			Incarnation: info.GetIncarnation(),
			Instance:    info.GetInstance(),
			Region:      info.GetRegion(),
			PeerAddress: info.GetPeerAddress(),
		}, Stopping: info.GetStopping()})
	}
	return out
}

// HasAuthority implements peer.LoanFleet.
func (m *membership) HasAuthority() bool {
	return m.knowledge.MayAct()
}

// Bases implements peer.LoanFleet.
func (m *membership) Bases() map[string]share.Part {
	bases := make(map[string]share.Part)
	config := m.knowledge.Config()
	if config == nil {
		return bases
	}
	part := 1 / float64(m.count())
	for name, workspace := range config.Workspaces {
		if workspace.RatePerS > 0 {
			bases[name] = share.Part{Rate: workspace.RatePerS, Burst: workspace.Burst * burstMargin}.WithScale(part)
		}
	}
	return bases
}

// OnChange implements peer.LoanFleet.
func (m *membership) OnChange(listener func()) {
	m.listeners = append(m.listeners, listener)
}

// count returns how many instances share the limits.
func (m *membership) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, len(m.sharing))
}

// refresh takes in who runs and has the limits split anew when that changed.
func (m *membership) refresh() {
	sharing := m.members.Sharing(m.boot.Now())
	m.mu.Lock()
	changed := len(sharing) != len(m.sharing)
	for i := 0; !changed && i < len(sharing); i++ {
		changed = sharing[i] != m.sharing[i]
	}
	m.sharing = sharing
	m.mu.Unlock()
	if changed {
		m.table.SetFleet(placement.Fleet{Self: m.members.Self().GetInstance(), Members: sharing})
		m.notify()
	}
}

func (m *membership) notify() {
	for _, listener := range m.listeners {
		listener()
	}
}
