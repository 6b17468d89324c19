package steering

import (
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/directory"
	"github.com/bulrushferry/bulrushferry/usage"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// TestUsageLimits guards against limits that are lost on their way from the settings, and
// against a wrong amount of processor time when only its share or only its cores are known.
func TestUsageLimits(t *testing.T) {
	cases := map[string]struct {
		settings Settings
		want     usage.Limits
	}{
		"unknown":        {},
		"share of cores": {settings: Settings{CPUShare: 0.4, Cores: 2}, want: usage.Limits{Cores: 0.8}},
		"only the share": {settings: Settings{CPUShare: 0.1}, want: usage.Limits{Cores: 0.1}},
		"only the cores": {settings: Settings{Cores: 2}, want: usage.Limits{Cores: 2}},
		"other limits": {
			settings: Settings{MemoryMB: 1, MaxFDs: 4100, LinkMbitPerS: 10},
			want:     usage.Limits{MemoryMB: 1, MaxFDs: 4100, LinkMbitPerS: 10},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := usageLimits(c.settings); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestLookupsFollowControlState guards against look-ups that name an instance without
// authority as ready, or not one that has it.
func TestLookupsFollowControlState(t *testing.T) {
	state := newTestControlState()
	server := newLookupServer(state.members, state.ControlState, hclog.NewNullLogger(), metrics.NewRegistry())
	caller := directory.Caller{Address: "127.0.0.1"}
	if got := server.Answer(caller, time.Now()); server.IsReady() || got.Cause == directory.Full {
		t.Errorf("ready without a configuration, cause %s", got.Cause)
	}
	state.applyTables(1, "x")
	if got := server.Answer(caller, time.Now()); !server.IsReady() || got.Cause != directory.Full {
		t.Errorf("not ready with a configuration, cause %s", got.Cause)
	}
	state.members.SetStopping()
	if server.IsReady() {
		t.Error("ready while it stops")
	}
}
