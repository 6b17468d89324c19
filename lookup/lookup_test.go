package lookup

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/directory"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// testState is what a Server under test is told.
type testState struct {
	manualClock *clock.Manual
	members     *fleet.Members
	authority   *atomic.Bool
}

// newTestServer returns the Server of an instance that is ready if asked, and has been
// running for long.
func newTestServer(ready bool) (*Server, testState) {
	state := testState{manualClock: &clock.Manual{}, authority: &atomic.Bool{}}
	state.manualClock.Set(100 * clock.Second)
	self := &wire.FleetInstance{Instance: "self", CallerAddress: "self", Region: "r", FailureDomain: "d"}
	state.members = fleet.NewMembers(self, 5*clock.Second)
	state.authority.Store(ready)
	s := NewServer(ServerConfig{
		Clock: state.manualClock, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Members: state.members,
		HasAuthority: state.authority.Load, Joined: func() bool { return true },
	})
	s.startedAt = 0
	return s, state
}

func testPeer(name string, ready bool) *wire.FleetInstance {
	return &wire.FleetInstance{Instance: name, CallerAddress: name, Region: "r", FailureDomain: "d", Ready: ready}
}

// TestLookupsUnderFailure guards against look-ups that fail, or name nobody, while an
// instance could be named.
func TestLookupsUnderFailure(t *testing.T) {
	cases := map[string]struct {
		ready bool
		act   func(state testState)
		want  []string
		cause directory.Cause
	}{
		"alone":              {ready: true, want: []string{"self"}, cause: directory.Full},
		"starting and alone": {want: []string{"self"}, cause: directory.NotReady},
		"starting, knows the platform's list": {
			act: func(state testState) {
				state.members.RecordRegistered([]*wire.FleetInstance{testPeer("a", false)}, state.manualClock.Now())
			},
			want: []string{"a", "self"}, cause: directory.NotReady,
		},
		"starting, hears a ready peer": {
			act:  func(state testState) { state.members.Record(testPeer("a", true), state.manualClock.Now()) },
			want: []string{"a"}, cause: directory.Full,
		},
		"hears nobody any more": {
			ready: true,
			act: func(state testState) {
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
			act: func(state testState) {
				state.members.Record(testPeer("a", true), state.manualClock.Now()-9*clock.Second)
			},
			want: []string{"self"}, cause: directory.Full,
		},
		"a peer is silent, another is not": {
			ready: true,
			act: func(state testState) {
				state.members.Record(testPeer("a", true), state.manualClock.Now())
				state.members.Record(testPeer("b", true), state.manualClock.Now()-9*clock.Second)
			},
			want: []string{"a", "self"}, cause: directory.Full,
		},
		"near a limit": {
			ready: true,
			act: func(state testState) {
				state.members.SetNearLimit("memory")
				state.members.Record(testPeer("a", true), state.manualClock.Now())
			},
			want: []string{"a"}, cause: directory.Full,
		},
		"was near a limit before its restart": {
			ready: true,
			act: func(state testState) {
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
			ready: true, act: func(state testState) { state.members.SetNearLimit("memory") },
			want: []string{"self"}, cause: directory.NearLimits,
		},
		"stopping": {
			ready: true,
			act: func(state testState) {
				state.members.SetStopping()
				state.members.Record(testPeer("a", true), state.manualClock.Now())
			},
			want: []string{"a"}, cause: directory.Full,
		},
		"stopping and alone": {ready: true, act: func(state testState) { state.members.SetStopping() }, cause: directory.Nobody},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, state := newTestServer(c.ready)
			if c.act != nil {
				c.act(state)
			}
			got := s.Answer(directory.Caller{Address: "127.0.0.1", Region: "r", Domain: "d"}, time.Now())
			if fmt.Sprint(got.Addresses) != fmt.Sprint(c.want) || got.Cause != c.cause {
				t.Errorf("got %v, cause %s, want %v, cause %s", got.Addresses, got.Cause, c.want, c.cause)
			}
			if n := metrics.GetOrRegisterCounter("lookups."+string(c.cause), s.config.Metrics).Count(); n != 1 {
				t.Errorf("%d look-ups were counted with cause %s", n, c.cause)
			}
		})
	}
}

// TestLookupWaitsForStart guards against look-ups that are refused in the first second
// after all instances have started: they wait for a ready one, but not for long.
func TestLookupWaitsForStart(t *testing.T) {
	caller := directory.Caller{Address: "127.0.0.1", Region: "r", Domain: "d"}
	s, state := newTestServer(false)
	s.startedAt = state.manualClock.Now()
	started := time.Now()
	got := s.Answer(caller, started)
	if took := time.Since(started); got.Cause != directory.NotReady || took < maxLookupHold {
		t.Errorf("got cause %s after %v while nobody becomes ready", got.Cause, took)
	}
	done := make(chan directory.Answer)
	go func() { done <- s.Answer(caller, time.Now()) }()
	time.Sleep(3 * lookupRecheck)
	state.authority.Store(true)
	if got := <-done; got.Cause != directory.Full {
		t.Errorf("got cause %s after the instance has become ready", got.Cause)
	}
}

// TestLookupLogIsBounded guards against a log line for each look-up while something is
// wrong.
func TestLookupLogIsBounded(t *testing.T) {
	s, _ := newTestServer(false)
	lines := &countingWriter{}
	s.config.Log = hclog.New(&hclog.LoggerOptions{Output: lines})
	for range 100 {
		s.Answer(directory.Caller{Address: "127.0.0.1"}, time.Now())
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
			s, state := newTestServer(true)
			for i := range size {
				peer := testPeer(fmt.Sprint("i", i), true)
				peer.FailureDomain, peer.CpuMillicores = fmt.Sprint(i%6), int32(100+700*(i%2))
				state.members.Record(peer, state.manualClock.Now())
			}
			for b.Loop() {
				s.Answer(directory.Caller{Address: "127.0.0.1", Region: "r", Domain: "1"}, time.Now())
			}
		})
	}
}
