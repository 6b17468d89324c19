package scenario

import (
	"syscall"
	"testing"
	"time"
)

// TestWholePath serves a load, stops an instance gracefully under it and
// withdraws a key.
func TestWholePath(t *testing.T) {
	f := newFleet(t, "villacres")
	result := f.underLoad(f.loadConfig(0.5, 8*time.Second), func() {
		time.Sleep(2 * time.Second)
		f.signal("costa-1", syscall.SIGTERM)
		if code := f.wait("costa-1"); code != 0 {
			t.Errorf("the stopped instance exited with %d", code)
		}
	})
	if result.Failed > 0 || result.Unknown > 0 {
		t.Errorf("a planned stop cut requests: %d failed, %d unknown", result.Failed, result.Unknown)
	}
	if share := result.WrongfulShare(); share > 0.005 {
		t.Errorf("%.4f of the entitled requests were refused", share)
	}
	key := f.keys["tiendas"]
	f.command("bulrushferry", "keys", "withdraw", "tiendas-1")
	took := f.eventually(5*time.Second, "key refused everywhere", func() bool {
		for _, name := range f.names {
			if name == "costa-1" {
				continue
			}
			if _, status, _ := f.call(name, "GET", "/v1/s/probador/fittings/1", key, "", ""); status != 401 {
				return false
			}
		}
		return true
	})
	t.Logf("key refused everywhere %s after the withdrawal was accepted", took)
}
