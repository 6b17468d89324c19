package scenario

import (
	"syscall"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
)

// TestWholePath serves a load on both example deployments, shuts down an instance
// gracefully meanwhile, and then withdraws a key.
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
			f.shutDownUnderLoad(c.stopped)
			f.withdrawKey(c.stopped)
		})
	}
}

// shutDownUnderLoad shuts down an instance under load. No request may be aborted, and
// almost all requests within the rate limits must be served.
func (f *fleet) shutDownUnderLoad(instance string) {
	f.t.Helper()
	result := f.runUnderLoad(f.newLoadConfig(0.5, 8*time.Second), func() {
		time.Sleep(2 * time.Second)
		f.signal(instance, syscall.SIGTERM)
		if code := f.waitExit(instance); code != 0 {
			f.t.Errorf("the instance exited with code %d, want 0", code)
		}
	})
	if result.Failed > 0 || result.Unknown > 0 {
		f.t.Errorf("a graceful shutdown aborted requests: %d failed, %d unknown", result.Failed, result.Unknown)
	}
	if share := result.UnservedShare(); share > 0.005 {
		f.t.Errorf("share of requests within the rate limits that were not served: %.4f, want at most 0.005", share)
	}
}

// withdrawKey withdraws a workspace's key and checks that every running instance refuses
// it within 5 s.
func (f *fleet) withdrawKey(stopped string) {
	f.t.Helper()
	workspace := f.rules.GetWorkspaces()[0].GetName()
	path := ""
	for _, route := range f.rules.GetRoutes() {
		if route.GetMode() == wire.RouteMode_ROUTE_MODE_IDEMPOTENT && !route.GetOpen() {
			path = "/v1/s/" + route.GetService() + route.GetPrefix() + "/1"
		}
	}
	f.mustRun("bulrushferry", "keys", "withdraw", workspace+"-1")
	elapsed := f.eventually(5*time.Second, "key refused everywhere", func() bool {
		for _, name := range f.instances {
			if name == stopped {
				continue
			}
			if _, status, _ := f.call(name, "GET", path, f.keys[workspace], "", ""); status != 401 {
				return false
			}
		}
		return true
	})
	f.t.Logf("key refused everywhere %s after the withdrawal was accepted", elapsed)
}
