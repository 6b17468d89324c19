package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

// TestConcurrentRuleChanges applies different rules based on the same revision
// concurrently, while responses of the table service are lost. Exactly one change must be
// accepted, the others must be reported as failed, and no instance may go back to a lower
// revision.
func TestConcurrentRuleChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	stop := f.watchRevisions()
	for round := range 4 {
		f.setFault(&wire.FaultRequest{LoseAnswers: proto.Int32(int32(round % 3))})
		accepted := f.applyConcurrently(round)
		if accepted != 1 {
			t.Errorf("round %d: %d of 3 changes were accepted", round, accepted)
		}
	}
	if regression := stop(); regression != "" {
		t.Error(regression)
	}
	var revisions []string
	for name, s := range f.statuses() {
		revisions = append(revisions, fmt.Sprint(name, " ", s.GetRevision()))
	}
	t.Log(strings.Join(revisions, ", "))
}

// applyConcurrently applies three files concurrently and returns how many were accepted.
func (f *fleet) applyConcurrently(round int) int {
	f.t.Helper()
	text, _ := os.ReadFile(filepath.Join(f.dir, "rules.txt"))
	state := f.mustRun("bulrushferry", "rules", "history")
	lines := strings.Split(strings.TrimSpace(state), "\n")
	revision, _, _ := strings.Cut(lines[len(lines)-1], "\t")
	codes := make([]int, 3)
	var group sync.WaitGroup
	for i := range codes {
		group.Go(func() {
			file := filepath.Join(f.dir, fmt.Sprintf("race-%d-%d.txt", round, i))
			line := fmt.Sprintf("drain race-%d-%d backend_server=none-%d # asked by operator %d: a race\n", round, i, i, i)
			_ = os.WriteFile(file, append(text, line...), 0o600)
			_, codes[i] = f.tryRun("bulrushferry", "rules", "apply", "--revision", revision, file)
		})
	}
	group.Wait()
	accepted := 0
	for _, code := range codes {
		if code == 0 {
			accepted++
		}
	}
	return accepted
}

// watchRevisions polls the revisions of all instances until stop is called, which
// describes a decrease if there was one.
func (f *fleet) watchRevisions() (stop func() string) {
	done := make(chan struct{})
	result := make(chan string, 1)
	go func() {
		highest := make(map[string]int64)
		regression := ""
		for {
			for name, s := range f.statuses() {
				if s.GetRevision() < highest[name] {
					regression = fmt.Sprintf("%s went back from revision %d to %d", name, highest[name], s.GetRevision())
				}
				highest[name] = max(highest[name], s.GetRevision())
			}
			select {
			case <-done:
				result <- regression
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() string {
		close(done)
		return <-result
	}
}

// TestRuleChangePropagation changes a rule and measures how long it takes until every
// instance applies it, with the store available, slow, and failing right after the commit.
// With the store down, a change must be refused.
func TestRuleChangePropagation(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	text, _ := os.ReadFile(filepath.Join(f.dir, "rules.txt"))
	cases := []struct {
		name          string
		before, after *wire.FaultRequest
	}{
		{name: "store up"},
		{name: "store slow", before: &wire.FaultRequest{StoreDelayMs: proto.Int64(400)}},
		{name: "store fails after the commit", before: &wire.FaultRequest{StoreDelayMs: proto.Int64(0)}, after: &wire.FaultRequest{StoreDown: proto.Bool(true)}},
	}
	for i, c := range cases {
		file := filepath.Join(f.dir, "edit.txt")
		line := fmt.Sprintf("drain edit-%d backend_server=none # asked by test: an edit\n", i)
		if err := os.WriteFile(file, append(text, line...), 0o600); err != nil {
			t.Fatal(err)
		}
		if c.before != nil {
			f.setFault(c.before)
		}
		out := f.mustRun("bulrushferry", "rules", "apply", file)
		accepted := time.Now()
		if c.after != nil {
			f.setFault(c.after)
		}
		var revision int64
		_, _ = fmt.Sscanf(out, "accepted as revision %d", &revision)
		f.eventually(5*time.Second, c.name+": every instance applies the rule", func() bool {
			behind := len(f.instances)
			for _, s := range f.statuses() {
				if s.GetRevision() >= revision {
					behind--
				}
			}
			return behind == 0
		})
		t.Logf("%s: every instance applied the rule %s after it was accepted", c.name, time.Since(accepted))
	}
	file := filepath.Join(f.dir, "edit.txt")
	if out, code := f.tryRun("bulrushferry", "rules", "apply", file); code != 1 || !strings.Contains(out, "nothing was changed") {
		t.Errorf("with the store down: exit code %d, %s", code, out)
	}
}

// TestMostInstancesLost kills four of seven instances at once. A key's withdrawal must be
// refused, with a message that names them, unless the operator declares them dead.
func TestMostInstancesLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	args := []string{"keys", "withdraw", "feria-1"}
	for _, name := range []string{"sierra-1", "sierra-2", "costa-1", "austro-1"} {
		f.kill(name)
		args = append(args, "--dead", name)
	}
	time.Sleep(3 * time.Second)
	out, code := f.tryRun("bulrushferry", args[:3]...)
	if code != 1 || !strings.Contains(out, "austro-1, costa-1, sierra-1, sierra-2") {
		t.Errorf("without --dead: exit code %d, want 1; output %s", code, out)
	}
	if _, status, _ := f.call("sierra-3", "GET", "/v1/s/probador/fittings/1", f.keys["tiendas"], "", ""); status != 200 {
		t.Errorf("a surviving instance that can read the table service responded with %d, want 200", status)
	}
	f.mustRun("bulrushferry", args...)
	if _, status, _ := f.call("sierra-3", "GET", "/v1/s/probador/fittings/1", f.keys["feria"], "", ""); status != 401 {
		t.Errorf("a request with the withdrawn key got status %d, want 401", status)
	}
	f.waitRebalanced(3)
}

// TestFreshInstanceDuringOutage replaces an instance while the store is down. The new
// process must get the state from its peers and serve.
func TestFreshInstanceDuringOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	f.setFault(&wire.FaultRequest{StoreDown: proto.Bool(true)})
	time.Sleep(3 * time.Second)
	f.kill("costa-2")
	f.startInstance("costa-2")
	elapsed := f.eventually(5*time.Second, "the new process serves", func() bool {
		_, status, _ := f.call("costa-2", "GET", "/v1/s/probador/fittings/1", f.keys["tiendas"], "", "")
		return status == 200
	})
	t.Logf("the new process served after %s", elapsed)
}
