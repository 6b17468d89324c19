package scenario

import (
	"syscall"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
)

// TestWholePath serves a load on both deployments, stops an instance gracefully
// under it and withdraws a key.
func TestWholePath(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		deployment string
		stopped    string
	}{
		"Villacrés": {"villacres", "costa-1"},
		"Omaheke":   {"omaheke", "khomas-2"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, c.deployment)
			f.stopUnderLoad(c.stopped)
			f.withdrawEverywhere(c.stopped)
		})
	}
}

func (f *fleet) stopUnderLoad(instance string) {
	f.t.Helper()
	result := f.underLoad(f.loadConfig(0.5, 8*time.Second), func() {
		time.Sleep(2 * time.Second)
		f.signal(instance, syscall.SIGTERM)
		if code := f.wait(instance); code != 0 {
			f.t.Errorf("the stopped instance exited with %d", code)
		}
	})
	if result.Failed > 0 || result.Unknown > 0 {
		f.t.Errorf("a planned stop cut requests: %d failed, %d unknown", result.Failed, result.Unknown)
	}
	if share := result.WrongfulShare(); share > 0.005 {
		f.t.Errorf("%.4f of the entitled requests were refused", share)
	}
}

func (f *fleet) withdrawEverywhere(stopped string) {
	f.t.Helper()
	workspace := f.rules.GetWorkspaces()[0].GetName()
	path := ""
	for _, route := range f.rules.GetRoutes() {
		if route.GetMode() == wire.RouteMode_ROUTE_MODE_IDEMPOTENT && !route.GetOpen() {
			path = "/v1/s/" + route.GetService() + route.GetPrefix() + "/1"
		}
	}
	f.command("bulrushferry", "keys", "withdraw", workspace+"-1")
	took := f.eventually(5*time.Second, "key refused everywhere", func() bool {
		for _, name := range f.names {
			if name == stopped {
				continue
			}
			if _, status, _ := f.call(name, "GET", path, f.keys[workspace], "", ""); status != 401 {
				return false
			}
		}
		return true
	})
	f.t.Logf("key refused everywhere %s after the withdrawal was accepted", took)
}
