package scenario

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

const holdPath = "/v1/s/pedidos/hold/1"

// sendToAll sends an action, a request that runs at most once, through all instances
// concurrently and counts the outcomes. The action's name is its Idempotency-Key.
func (f *fleet) sendToAll(action, body string) map[string]int {
	var mu sync.Mutex
	outcomes := make(map[string]int)
	var group sync.WaitGroup
	for _, name := range f.instances {
		group.Go(func() {
			outcome, _, _ := f.call(name, "POST", holdPath, f.keys["tiendas"], action, body)
			mu.Lock()
			outcomes[outcome]++
			mu.Unlock()
		})
	}
	group.Wait()
	return outcomes
}

// runCount returns how often the backend servers ran an action of the workspace tiendas.
func (f *fleet) runCount(action string) int32 {
	return f.standinReport().GetRunsByAction()["tiendas "+action]
}

// TestActionsRunOnce sends an action through all instances concurrently three times, the
// first two under a fault of the store in some cases. It must run exactly once. If the
// caller chose its name and the store was down, it may also not run at all.
func TestActionsRunOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	none := func() {}
	down := func() { f.setFault(&wire.FaultRequest{StoreDown: proto.Bool(true)}) }
	up := func() { f.setFault(&wire.FaultRequest{StoreDown: proto.Bool(false), LoseAnswers: proto.Int32(0)}) }
	lose := func() { f.setFault(&wire.FaultRequest{LoseAnswers: proto.Int32(2)}) }
	cases := []struct {
		name     string
		prefixed bool
		before   func()
		wantRuns int32
	}{
		{"issued prefix", true, none, 1},
		{"issued prefix, store down", true, down, 1},
		{"chosen name", false, none, 1},
		{"chosen name, responses lost", false, lose, 1},
		{"chosen name, store down", false, down, 0},
	}
	for i, c := range cases {
		action := fmt.Sprintf("chosen-%d", i)
		if c.prefixed {
			action = f.actionPrefix("austro-1", "pedidos") + fmt.Sprint(i)
		}
		c.before()
		first := f.sendToAll(action, "body")
		again := f.sendToAll(action, "body")
		up()
		later := f.sendToAll(action, "body")
		t.Logf("%s: first attempt %v, second %v, third %v, %d runs", c.name, first, again, later, f.runCount(action))
		if runs := f.runCount(action); runs > 1 || runs < c.wantRuns {
			t.Errorf("%s: %d runs, want %d", c.name, runs, c.wantRuns)
		}
		if first["not_run"] > 0 && f.runCount(action) > 0 {
			t.Errorf("%s: %d responses said not_run for an action that ran", c.name, first["not_run"])
		}
	}
	if outcome, status, _ := f.call("sierra-1", "POST", "/v1/s/pedidos/gone", f.keys["tiendas"], "chosen-2", "body"); status != 404 || outcome != "unknown" {
		t.Errorf("a completed action resent to a path without a route: %s %d, want unknown 404", outcome, status)
	}
	if outcome, status, _ := f.call("sierra-1", "POST", holdPath, f.keys["tiendas"], "chosen-2", "another body"); status != 409 || outcome != "not_run" {
		t.Errorf("a completed action resent with another body: %s %d, want not_run 409", outcome, status)
	}
}

// TestActionSurvivesShutdown shuts down the instance that ran an action. A resend through
// another instance must get the first response, and an action with the same prefix that
// never ran must be refused as not run.
func TestActionSurvivesShutdown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	prefix := f.actionPrefix("costa-1", "pedidos")
	_, _, first := f.call("costa-1", "POST", holdPath, f.keys["tiendas"], prefix+"ran", "body")
	f.signal("costa-1", syscall.SIGTERM)
	if code := f.waitExit("costa-1"); code != 0 {
		t.Fatalf("exit code %d, want 0", code)
	}
	outcome, _, again := f.call("sierra-1", "POST", holdPath, f.keys["tiendas"], prefix+"ran", "body")
	if outcome != "done" || again != first {
		t.Errorf("the resend got %s %q, want done and the first response %q", outcome, again, first)
	}
	if outcome, _, _ := f.call("austro-1", "POST", holdPath, f.keys["tiendas"], prefix+"other", "body"); outcome != "not_run" {
		t.Errorf("an action that never ran got %s, want not_run", outcome)
	}
	if runs := f.runCount(prefix + "ran"); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// TestActionOfKilledInstance kills the instance that ran an action. Every instance,
// including the restarted one, must report the outcome of a resend as unknown.
func TestActionOfKilledInstance(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	prefix := f.actionPrefix("costa-1", "pedidos")
	f.call("costa-1", "POST", holdPath, f.keys["tiendas"], prefix+"ran", "body")
	f.kill("costa-1")
	f.startInstance("costa-1")
	time.Sleep(2 * time.Second)
	for _, name := range f.instances {
		if outcome, status, body := f.call(name, "POST", holdPath, f.keys["tiendas"], prefix+"ran", "body"); outcome != "unknown" {
			t.Errorf("%s: %s %d %s", name, outcome, status, body)
		}
	}
	if runs := f.runCount(prefix + "ran"); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// TestCrashingRequestIsQuarantined sends a request that crashes the server running it
// through all instances in turn. It must crash two servers at most.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	for range 2 {
		for _, name := range f.instances {
			outcome, status, _ := f.call(name, "POST", "/v1/s/probador/fittings/1", f.keys["tiendas"], "", "crash-the-server")
			t.Logf("%s: %s %d", name, outcome, status)
		}
	}
	if crashes := f.standinReport().GetCrashes(); crashes > 2 {
		t.Errorf("%d servers crashed, want at most 2", crashes)
	}
}
