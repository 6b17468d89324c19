package usage

import (
	"math"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/directory"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// TestUsage checks how the use of each limit is worked out, and that unknown limits are
// left out.
func TestUsage(t *testing.T) {
	members := fleet.NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
	manual := &clock.Manual{}
	newMonitor := func(limits Limits) *Monitor {
		return NewMonitor(Config{
			Clock: manual, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Limits: func() Limits { return limits },
			SetNearLimit: members.SetNearLimit, Meter: &socket.Meter{}, ServerConnections: origin.NewPool(origin.PoolConfig{}).Open,
		})
	}
	m := newMonitor(Limits{})
	m.startedAt, m.last = 0, limitSample{at: 20000, cpuMs: 100}
	if usage := m.usage(Limits{}, limitSample{at: 21000, cpuMs: 5000, bytes: 1e9}); len(usage) != 0 {
		t.Errorf("got %v without known limits", usage)
	}
	usage := m.usage(Limits{Cores: 0.8, LinkMbitPerS: 10, MaxFDs: 4100}, limitSample{at: 21000, cpuMs: 500, bytes: 1e6})
	want := directory.Usage{directory.Processor: 0.5, directory.Link: 0.8, directory.Descriptors: 0}
	for limit, use := range want {
		if got, ok := usage[limit]; !ok || math.Abs(got-use) > 1e-9 {
			t.Errorf("got a use of the %s of %v, want %v", limit, got, use)
		}
	}
	m.startedAt = 20000
	if _, ok := m.usage(Limits{Cores: 0.1}, limitSample{at: 21000, cpuMs: 200})[directory.Processor]; ok {
		t.Error("the processor counts during the start")
	}
	small := newMonitor(Limits{MemoryMB: 1})
	manual.Set(20000)
	small.Update()
	if got := members.Self().GetNearLimit(); got != string(directory.Memory) {
		t.Errorf("an instance far over its memory says that it is near %q", got)
	}
	members.SetNearLimit("")
	if got := members.Self().GetNearLimit(); got != "" {
		t.Errorf("the entry still says %q", got)
	}
}
