package steering

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

// TestOwnLimits checks how the use of each limit is worked out, and that unknown limits are
// left out.
func TestOwnLimits(t *testing.T) {
	members := fleet.NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
	newLimits := func() *ownLimits {
		return newOwnLimits(newLiveSettings(Settings{}), members, &socket.Meter{}, origin.NewPool(origin.PoolConfig{}), hclog.NewNullLogger(), metrics.NewRegistry())
	}
	o := newLimits()
	o.startedAt, o.last = 0, limitSample{at: 20000, cpuMs: 100}
	if usage := o.usage(Settings{}, limitSample{at: 21000, cpuMs: 5000, bytes: 1e9}); len(usage) != 0 {
		t.Errorf("got %v without known limits", usage)
	}
	usage := o.usage(Settings{CPUShare: 0.4, Cores: 2, LinkMbitPerS: 10, MaxFDs: 4100}, limitSample{at: 21000, cpuMs: 500, bytes: 1e6})
	want := directory.Usage{directory.Processor: 0.5, directory.Link: 0.8, directory.Descriptors: 0}
	for limit, use := range want {
		if got, ok := usage[limit]; !ok || math.Abs(got-use) > 1e-9 {
			t.Errorf("got a use of the %s of %v, want %v", limit, got, use)
		}
	}
	o.startedAt = 20000
	if _, ok := o.usage(Settings{CPUShare: 0.1}, limitSample{at: 21000, cpuMs: 200})[directory.Processor]; ok {
		t.Error("the processor counts during the start")
	}
	small := newOwnLimits(newLiveSettings(Settings{MemoryMB: 1}), members, &socket.Meter{}, origin.NewPool(origin.PoolConfig{}), hclog.NewNullLogger(), metrics.NewRegistry())
	small.update(20000)
	if got := members.Self().GetNearLimit(); got != string(directory.Memory) {
		t.Errorf("an instance far over its memory says that it is near %q", got)
	}
	o.members.SetNearLimit("")
	if got := members.Self().GetNearLimit(); got != "" {
		t.Errorf("the entry still says %q", got)
	}
}
