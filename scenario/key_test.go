package scenario

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

type (
	// keyFault is a fault around a key's withdrawal.
	keyFault struct {
		before func(f *fleet)
		after  func(f *fleet)
		heal   func(f *fleet)
	}
)

const (
	withdrawBound = 5 * time.Second
	watchTime     = 2500 * time.Millisecond
)

// keyFaults are brought about before a withdrawal is asked for, or right after
// it was accepted.
var keyFaults = map[string]keyFault{
	"an instance cut off from the store": {
		before: func(f *fleet) { f.fault(&wire.FaultRequest{CutInstances: []string{"costa-1"}}) },
		heal:   func(f *fleet) { f.fault(&wire.FaultRequest{ClearCuts: true}) },
	},
	"store down right after": {
		after: func(f *fleet) { f.fault(&wire.FaultRequest{StoreDown: proto.Bool(true)}) },
		heal:  func(f *fleet) { f.fault(&wire.FaultRequest{StoreDown: proto.Bool(false)}) },
	},
	"answer lost after the write": {
		before: func(f *fleet) { f.fault(&wire.FaultRequest{LoseAnswers: proto.Int32(1)}) },
		heal:   func(f *fleet) { f.fault(&wire.FaultRequest{LoseAnswers: proto.Int32(0)}) },
	},
	"store slow": {
		before: func(f *fleet) { f.fault(&wire.FaultRequest{StoreDelayMs: proto.Int64(400)}) },
		heal:   func(f *fleet) { f.fault(&wire.FaultRequest{StoreDelayMs: proto.Int64(0)}) },
	},
	"an instance frozen": {
		before: func(f *fleet) { f.signal("austro-1", syscall.SIGSTOP) },
		after: func(f *fleet) {
			process := f.procs["austro-1"].Process
			time.AfterFunc(time.Second, func() { _ = process.Signal(syscall.SIGCONT) })
		},
		heal: func(f *fleet) { f.signal("austro-1", syscall.SIGCONT) },
	},
	"an instance killed right after": {
		after: func(f *fleet) { f.kill("sierra-1") },
		heal:  func(f *fleet) { f.startEntry("sierra-1") },
	},
}

// TestWithdrawnKeyStops withdraws keys under every fault and every pair of
// faults. Five seconds after the acceptance no instance may run a request with
// the key, over connections that are open or new.
func TestWithdrawnKeyStops(t *testing.T) {
	t.Parallel()
	var pairs [][2]string
	for first := range keyFaults {
		for second := range keyFaults {
			if first <= second {
				pairs = append(pairs, [2]string{first, second})
			}
		}
	}
	const fleets = 3
	for part := range fleets {
		t.Run(fmt.Sprint("part ", part+1), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "villacres")
			for i := part; i < len(pairs); i += fleets {
				f.withdrawUnder(i, pairs[i][0], pairs[i][1])
			}
		})
	}
}

func (f *fleet) withdrawUnder(round int, names ...string) {
	f.t.Helper()
	what := strings.Join(names, " and ")
	id := fmt.Sprintf("round-%d", round)
	key := strings.TrimSpace(f.command("bulrushferry", "keys", "issue", "--id", id, "--workspace", "feria"))
	f.eventually(10*time.Second, what+": the new key works", func() bool {
		_, status, _ := f.call("sierra-2", "GET", "/v1/s/probador/fittings/1", key, "", "")
		return status == 200
	})
	faults := []keyFault{keyFaults[names[0]]}
	if names[1] != names[0] {
		faults = append(faults, keyFaults[names[1]])
	}
	for _, fault := range faults {
		if fault.before != nil {
			fault.before(f)
		}
	}
	out, code := f.try("bulrushferry", "keys", "withdraw", id)
	accepted := time.Now()
	if code != 0 {
		f.t.Errorf("%s: the withdrawal was not accepted: %s", what, out)
	}
	for _, fault := range faults {
		if fault.after != nil {
			fault.after(f)
		}
	}
	last := f.lastRun(key, accepted)
	if last > withdrawBound {
		f.t.Errorf("%s: the key worked %s after the withdrawal", what, last)
	}
	f.t.Logf("%s: last run %s after the acceptance", what, last)
	for _, fault := range faults {
		fault.heal(f)
	}
	f.waitSettled(len(f.names))
}

// lastRun uses a withdrawn key at every instance until the bound has long
// passed, and returns when it worked last.
func (f *fleet) lastRun(key string, accepted time.Time) time.Duration {
	var mu sync.Mutex
	var last time.Duration
	var group sync.WaitGroup
	for _, name := range f.names {
		group.Go(func() {
			for time.Since(accepted) < watchTime {
				outcome, _, _ := f.call(name, "GET", "/v1/s/probador/fittings/1", key, "", "")
				if outcome == "done" {
					mu.Lock()
					last = max(last, time.Since(accepted))
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	// The instances that were silent until now get one more try after the bound.
	time.Sleep(time.Until(accepted.Add(withdrawBound)))
	for _, name := range f.names {
		if outcome, _, _ := f.call(name, "GET", "/v1/s/probador/fittings/1", key, "", ""); outcome == "done" {
			last = time.Since(accepted)
		}
	}
	return last
}
