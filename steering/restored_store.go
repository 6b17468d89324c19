package steering

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/rcrowley/go-metrics"
)

// reregisterSpread is the time over which the instances of a fleet store their entries again
// after the platform's store came back from a copy, so that its write rate holds.
const reregisterSpread = time.Second

// setRegisteredEra records the era of the store in which this instance's entry was stored.
func (m *membership) setRegisteredEra(era int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registeredEra = max(m.registeredEra, era)
}

// isRegisteredIn reports whether this instance's entry was stored in an era of the store.
func (m *membership) isRegisteredIn(era int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registeredEra >= era
}

// storeEra returns how often the platform's store came back from a copy, by its own answers
// and by those that peers have passed on.
func (p process) storeEra() int64 {
	return max(p.Adapter.Store.Era(), p.ControlState.Rules.Era(), p.ControlState.Servers.Era())
}

// followRestores stores this instance's entry again each time the platform's store came back
// from a copy, which may lack it, and ends the use of backend servers that have not registered
// again by the end of recoveryGrace.
func (p process) followRestores(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, refreshInterval)
		p.ControlState.Servers.DropCarried(clock.BootTime{}.Now(), recoveryGrace)
		era := p.storeEra()
		if !p.ControlState.Joined() || p.Membership.isRegisteredIn(era) || p.Members.Self().GetStopping() {
			continue
		}
		clock.Sleep(ctx, rand.N(reregisterSpread))
		if !p.register(ctx, &joining{}) {
			continue
		}
		metrics.GetOrRegisterCounter("store.restores", p.Metrics).Inc(1)
		p.Log.Warn("the platform's store came back from a copy", "era", era, "rules_kept", p.ControlState.Rules.Carried(), "servers_kept", p.ControlState.Servers.Carried())
	}
}
