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

// TestRacingOperators lets operators apply different rules made from the same
// revision, with answers of the table service lost. One of them wins, the
// others are told, and no instance ever goes back to a lower revision.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	stop := f.watchRevisions()
	for round := range 4 {
		f.fault(&wire.FaultRequest{LoseAnswers: proto.Int32(int32(round % 3))})
		accepted := f.race(round)
		if accepted != 1 {
			t.Errorf("round %d: %d of 3 changes were accepted", round, accepted)
		}
	}
	if fell := stop(); fell != "" {
		t.Error(fell)
	}
	var revisions []string
	for name, s := range f.statuses() {
		revisions = append(revisions, fmt.Sprint(name, " ", s.GetRevision()))
	}
	t.Log(strings.Join(revisions, ", "))
}

// race applies three files at once and returns how many were accepted.
func (f *fleet) race(round int) int {
	f.t.Helper()
	text, _ := os.ReadFile(filepath.Join(f.dir, "rules.txt"))
	state := f.command("bulrushferry", "rules", "history")
	lines := strings.Split(strings.TrimSpace(state), "\n")
	revision, _, _ := strings.Cut(lines[len(lines)-1], "\t")
	codes := make([]int, 3)
	var group sync.WaitGroup
	for i := range codes {
		group.Go(func() {
			file := filepath.Join(f.dir, fmt.Sprintf("race-%d-%d.txt", round, i))
			line := fmt.Sprintf("drain race-%d-%d backend_server=none-%d # asked by operator %d: a race\n", round, i, i, i)
			_ = os.WriteFile(file, append(text, line...), 0o600)
			_, codes[i] = f.try("bulrushferry", "rules", "apply", "--revision", revision, file)
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

// watchRevisions asks all instances for their revision until it is stopped, and
// then says whether one fell.
func (f *fleet) watchRevisions() (stop func() string) {
	done := make(chan struct{})
	result := make(chan string, 1)
	go func() {
		highest := make(map[string]int64)
		fell := ""
		for {
			for name, s := range f.statuses() {
				if s.GetRevision() < highest[name] {
					fell = fmt.Sprintf("%s fell from revision %d to %d", name, highest[name], s.GetRevision())
				}
				highest[name] = max(highest[name], s.GetRevision())
			}
			select {
			case <-done:
				result <- fell
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

// TestRuleInForceEverywhere edits a rule and measures when every instance has
// it, with the store up, slow, and failing right after the commit.
func TestRuleInForceEverywhere(t *testing.T) {
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
			f.fault(c.before)
		}
		out := f.command("bulrushferry", "rules", "apply", file)
		accepted := time.Now()
		if c.after != nil {
			f.fault(c.after)
		}
		var revision int64
		_, _ = fmt.Sscanf(out, "accepted as revision %d", &revision)
		f.eventually(5*time.Second, c.name+": the rule is in force everywhere", func() bool {
			behind := len(f.names)
			for _, s := range f.statuses() {
				if s.GetRevision() >= revision {
					behind--
				}
			}
			return behind == 0
		})
		t.Logf("%s: in force everywhere %s after the acceptance", c.name, time.Since(accepted))
	}
	file := filepath.Join(f.dir, "edit.txt")
	if out, code := f.try("bulrushferry", "rules", "apply", file); code != 1 || !strings.Contains(out, "nothing was changed") {
		t.Errorf("with the store down: exit code %d, %s", code, out)
	}
}

// TestMostInstancesLost kills four of seven instances at once. A withdrawal is
// not accepted, and names them, until the operator says that they are dead.
func TestMostInstancesLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	args := []string{"keys", "withdraw", "feria-1"}
	for _, name := range []string{"sierra-1", "sierra-2", "costa-1", "austro-1"} {
		f.kill(name)
		args = append(args, "--dead", name)
	}
	time.Sleep(3 * time.Second)
	out, code := f.try("bulrushferry", args[:3]...)
	if code != 1 || !strings.Contains(out, "austro-1, costa-1, sierra-1, sierra-2") {
		t.Errorf("without a word on the dead: exit code %d, %s", code, out)
	}
	if _, status, _ := f.call("sierra-3", "GET", "/v1/s/probador/fittings/1", f.keys["tiendas"], "", ""); status != 200 {
		t.Errorf("a survivor that reads the table service answers %d", status)
	}
	f.command("bulrushferry", args...)
	if _, status, _ := f.call("sierra-3", "GET", "/v1/s/probador/fittings/1", f.keys["feria"], "", ""); status != 401 {
		t.Errorf("the withdrawn key got %d", status)
	}
	f.waitSettled(3)
}

// TestFreshInstanceDuringOutage replaces an instance while the store is down.
// The new process learns the state from its peers and serves.
func TestFreshInstanceDuringOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	f.fault(&wire.FaultRequest{StoreDown: proto.Bool(true)})
	time.Sleep(3 * time.Second)
	f.kill("costa-2")
	f.startEntry("costa-2")
	took := f.eventually(5*time.Second, "the fresh instance serves", func() bool {
		_, status, _ := f.call("costa-2", "GET", "/v1/s/probador/fittings/1", f.keys["tiendas"], "", "")
		return status == 200
	})
	t.Logf("the fresh instance served after %s", took)
}
