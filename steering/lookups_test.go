package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/directory"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// newTestLookups returns the look-ups of an instance that is ready if asked, and has been
// running for long.
func newTestLookups(ready bool) (*lookups, testControlState) {
	state := newTestControlState()
	self := &wire.FleetInstance{Instance: "self", CallerAddress: "self", Region: "r", FailureDomain: "d"}
	state.members = fleet.NewMembers(self, 5*clock.Second)
	state.config.Members = state.members
	if ready {
		state.applyTables(1, "x")
	}
	l := newLookups(state.members, state.ControlState, hclog.NewNullLogger(), metrics.NewRegistry())
	l.clock, l.startedAt = state.manualClock, 0
	return l, state
}

func testPeer(name string, ready bool) *wire.FleetInstance {
	return &wire.FleetInstance{Instance: name, CallerAddress: name, Region: "r", FailureDomain: "d", Ready: ready}
}

// TestLookupsUnderFailure guards against look-ups that fail, or name nobody, while an
// instance could be named.
func TestLookupsUnderFailure(t *testing.T) {
	cases := map[string]struct {
		ready bool
		act   func(state testControlState)
		want  []string
		cause directory.Cause
	}{
		"alone":              {ready: true, want: []string{"self"}, cause: directory.Full},
		"starting and alone": {want: []string{"self"}, cause: directory.NotReady},
		"starting, knows the platform's list": {
			act: func(state testControlState) {
				state.members.RecordRegistered([]*wire.FleetInstance{testPeer("a", false)}, state.manualClock.Now())
			},
			want: []string{"a", "self"}, cause: directory.NotReady,
		},
		"starting, hears a ready peer": {
			act:  func(state testControlState) { state.members.Record(testPeer("a", true), state.manualClock.Now()) },
			want: []string{"a"}, cause: directory.Full,
		},
		"hears nobody any more": {
			ready: true,
			act: func(state testControlState) {
				state.members.Record(testPeer("replaced", true), state.manualClock.Now()-30*clock.Second)
				state.members.Record(testPeer("a", true), state.manualClock.Now()-4*clock.Second)
				state.members.Record(testPeer("b", true), state.manualClock.Now()-4*clock.Second)
				stopped := testPeer("c", false)
				stopped.Stopping = true
				state.members.Record(stopped, state.manualClock.Now()-4*clock.Second)
			},
			want: []string{"a", "b", "self"}, cause: directory.Isolated,
		},
		"hears nobody for long": {
			ready: true,
			act: func(state testControlState) {
				state.members.Record(testPeer("a", true), state.manualClock.Now()-9*clock.Second)
			},
			want: []string{"self"}, cause: directory.Full,
		},
		"a peer is silent, another is not": {
			ready: true,
			act: func(state testControlState) {
				state.members.Record(testPeer("a", true), state.manualClock.Now())
				state.members.Record(testPeer("b", true), state.manualClock.Now()-9*clock.Second)
			},
			want: []string{"a", "self"}, cause: directory.Full,
		},
		"near a limit": {
			ready: true,
			act: func(state testControlState) {
				state.members.SetNearLimit("memory")
				state.members.Record(testPeer("a", true), state.manualClock.Now())
			},
			want: []string{"a"}, cause: directory.Full,
		},
		"was near a limit before its restart": {
			ready: true,
			act: func(state testControlState) {
				ended := testPeer("a", true)
				ended.Incarnation, ended.NearLimit = "1", "memory"
				restarted := testPeer("a", true)
				restarted.Incarnation = "2"
				state.members.Record(restarted, state.manualClock.Now())
				state.members.Record(ended, state.manualClock.Now()-clock.Second)
			},
			want: []string{"a", "self"}, cause: directory.Full,
		},
		"all near a limit": {
			ready: true, act: func(state testControlState) { state.members.SetNearLimit("memory") },
			want: []string{"self"}, cause: directory.NearLimits,
		},
		"stopping": {
			ready: true,
			act: func(state testControlState) {
				state.members.SetStopping()
				state.members.Record(testPeer("a", true), state.manualClock.Now())
			},
			want: []string{"a"}, cause: directory.Full,
		},
		"stopping and alone": {ready: true, act: func(state testControlState) { state.members.SetStopping() }, cause: directory.Nobody},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, state := newTestLookups(c.ready)
			if c.act != nil {
				c.act(state)
			}
			got := l.answer(directory.Caller{Address: "127.0.0.1", Region: "r", Domain: "d"}, time.Now())
			if fmt.Sprint(got.Addresses) != fmt.Sprint(c.want) || got.Cause != c.cause {
				t.Errorf("got %v, cause %s, want %v, cause %s", got.Addresses, got.Cause, c.want, c.cause)
			}
			if n := metrics.GetOrRegisterCounter("lookups."+string(c.cause), l.metrics).Count(); n != 1 {
				t.Errorf("%d look-ups were counted with cause %s", n, c.cause)
			}
		})
	}
}

// TestLookupWaitsForStart guards against look-ups that are refused in the first second
// after all instances have started: they wait for a ready one, but not for long.
func TestLookupWaitsForStart(t *testing.T) {
	caller := directory.Caller{Address: "127.0.0.1", Region: "r", Domain: "d"}
	l, state := newTestLookups(false)
	l.startedAt = state.manualClock.Now()
	started := time.Now()
	got := l.answer(caller, started)
	if took := time.Since(started); got.Cause != directory.NotReady || took < maxLookupHold {
		t.Errorf("got cause %s after %v while nobody becomes ready", got.Cause, took)
	}
	done := make(chan directory.Answer)
	go func() { done <- l.answer(caller, time.Now()) }()
	time.Sleep(3 * lookupRecheck)
	state.applyTables(1, "x")
	if got := <-done; got.Cause != directory.Full {
		t.Errorf("got cause %s after the instance has become ready", got.Cause)
	}
}

// TestLookupLogIsBounded guards against a log line for each look-up while something is
// wrong.
func TestLookupLogIsBounded(t *testing.T) {
	l, _ := newTestLookups(false)
	lines := &countingWriter{}
	l.log = hclog.New(&hclog.LoggerOptions{Output: lines})
	for range 100 {
		l.answer(directory.Caller{Address: "127.0.0.1"}, time.Now())
	}
	if lines.count != 1 {
		t.Errorf("%d lines for 100 look-ups, want one", lines.count)
	}
}

type countingWriter struct{ count int }

func (w *countingWriter) Write(line []byte) (int, error) {
	w.count++
	return len(line), nil
}

func BenchmarkLookup(b *testing.B) {
	for _, size := range []int{7, 105, 1000, 5300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			l, state := newTestLookups(true)
			for i := range size {
				peer := testPeer(fmt.Sprint("i", i), true)
				peer.FailureDomain, peer.CpuMillicores = fmt.Sprint(i%6), int32(100+700*(i%2))
				state.members.Record(peer, state.manualClock.Now())
			}
			for b.Loop() {
				l.answer(directory.Caller{Address: "127.0.0.1", Region: "r", Domain: "1"}, time.Now())
			}
		})
	}
}
