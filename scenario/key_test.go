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
	// keyFault is a fault around the time of a key's withdrawal. before runs ahead of
	// the withdrawal, after once that was accepted, and endFault at the end, to end the
	// fault. before and after may be nil.
	keyFault struct {
		before   func(f *fleet)
		after    func(f *fleet)
		endFault func(f *fleet)
	}
)

const (
	// maxWithdrawalDelay is how long a withdrawn key may still work.
	maxWithdrawalDelay = 5 * time.Second
	// probeDuration is how long a withdrawn key is used continuously.
	probeDuration = 2500 * time.Millisecond
)

// keyFaults maps names to faults.
var keyFaults = map[string]keyFault{
	"an instance cut off from the store": {
		before:   func(f *fleet) { f.setFault(&wire.FaultRequest{CutInstances: []string{"costa-1"}}) },
		endFault: func(f *fleet) { f.setFault(&wire.FaultRequest{ClearCuts: true}) },
	},
	"store down right after the write": {
		after:    func(f *fleet) { f.setFault(&wire.FaultRequest{StoreDown: proto.Bool(true)}) },
		endFault: func(f *fleet) { f.setFault(&wire.FaultRequest{StoreDown: proto.Bool(false)}) },
	},
	"response lost after the write": {
		before:   func(f *fleet) { f.setFault(&wire.FaultRequest{LoseAnswers: proto.Int32(1)}) },
		endFault: func(f *fleet) { f.setFault(&wire.FaultRequest{LoseAnswers: proto.Int32(0)}) },
	},
	"store slow": {
		before:   func(f *fleet) { f.setFault(&wire.FaultRequest{StoreDelayMs: proto.Int64(400)}) },
		endFault: func(f *fleet) { f.setFault(&wire.FaultRequest{StoreDelayMs: proto.Int64(0)}) },
	},
	"an instance frozen": {
		before: func(f *fleet) { f.signal("austro-1", syscall.SIGSTOP) },
		after: func(f *fleet) {
			process := f.processes["austro-1"].Process
			time.AfterFunc(time.Second, func() { _ = process.Signal(syscall.SIGCONT) })
		},
		endFault: func(f *fleet) { f.signal("austro-1", syscall.SIGCONT) },
	},
	"an instance killed right after": {
		after:    func(f *fleet) { f.kill("sierra-1") },
		endFault: func(f *fleet) { f.startInstance("sierra-1") },
	},
}

// TestKeyWithdrawalUnderFaults withdraws keys under every fault and every pair of faults.
// 5 s after a withdrawal was accepted, no instance may run a request with the key.
func TestKeyWithdrawalUnderFaults(t *testing.T) {
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
				f.withdrawUnderFaults(i, pairs[i][0], pairs[i][1])
			}
		})
	}
}

// withdrawUnderFaults issues a key, withdraws it under two faults, which may be the same,
// and checks when it worked for the last time.
func (f *fleet) withdrawUnderFaults(round int, names ...string) {
	f.t.Helper()
	what := strings.Join(names, " and ")
	id := fmt.Sprintf("round-%d", round)
	key := strings.TrimSpace(f.mustRun("bulrushferry", "keys", "issue", "--id", id, "--workspace", "feria"))
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
	out, code := f.tryRun("bulrushferry", "keys", "withdraw", id)
	accepted := time.Now()
	if code != 0 {
		f.t.Errorf("%s: the withdrawal was not accepted: %s", what, out)
	}
	for _, fault := range faults {
		if fault.after != nil {
			fault.after(f)
		}
	}
	last := f.lastSuccess(key, accepted)
	if last > maxWithdrawalDelay {
		f.t.Errorf("%s: the key still worked %s after the withdrawal", what, last)
	}
	f.t.Logf("%s: the key last worked %s after the withdrawal was accepted", what, last)
	for _, fault := range faults {
		fault.endFault(f)
	}
	f.waitRebalanced(len(f.instances))
}

// lastSuccess uses a withdrawn key at every instance for probeDuration, and once more
// after maxWithdrawalDelay. It returns how long after the accepted time it last worked.
func (f *fleet) lastSuccess(key string, accepted time.Time) time.Duration {
	var mu sync.Mutex
	var last time.Duration
	var group sync.WaitGroup
	for _, name := range f.instances {
		group.Go(func() {
			for time.Since(accepted) < probeDuration {
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
	// An instance that did not respond so far might still accept the key afterwards.
	time.Sleep(time.Until(accepted.Add(maxWithdrawalDelay)))
	for _, name := range f.instances {
		if outcome, _, _ := f.call(name, "GET", "/v1/s/probador/fittings/1", key, "", ""); outcome == "done" {
			last = time.Since(accepted)
		}
	}
	return last
}
