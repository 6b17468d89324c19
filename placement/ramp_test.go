package placement

import (
	"strings"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"pgregory.net/rapid"
)

const rampSlots = 8

// TestRampEnds applies any answers at any times. The limit must stay within one and what
// was shown, and the ramp must end.
func TestRampEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r ramp
		r.begin(1000, 1000, rampSlots, rampStarted)
		now := clock.Millis(1000)
		for !r.isOver(now) {
			now += clock.Millis(rapid.IntRange(1, 400).Draw(t, "pause"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				r.answered(now, rapid.IntRange(0, rampSlots).Draw(t, "load"), false)
			case 1:
				r.answered(now, 0, true)
			case 2:
				r.setBack(now)
			}
			if r.current(now) < 1 {
				t.Fatalf("the limit is %.2f", r.current(now))
			}
		}
		if now-1000 > maxRampTime+400 {
			t.Fatalf("the ramp ended after %d ms", now-1000)
		}
	})
}

// TestRampFollowsAnswers checks which answers let the limit grow, and which shrink it.
func TestRampFollowsAnswers(t *testing.T) {
	cases := map[string]struct {
		after     func(*ramp)
		low, high float64
	}{
		"at the start":          {func(*ramp) {}, 4, 4},
		"after an answer":       {func(r *ramp) { r.answered(1000, 0, false) }, 5, 5},
		"at a load seen":        {func(r *ramp) { r.answered(1000, 6, false) }, 8, 8},
		"after one late answer": {func(r *ramp) { r.answered(1000, 0, true) }, 4, 4},
		"after two late ones":   {func(r *ramp) { r.answered(1000, 0, true); r.answered(1000, 0, true) }, 2, 2},
		"after a decline":       {func(r *ramp) { r.setBack(1000) }, 2, 2},
		"after many declines": {func(r *ramp) {
			for range 9 {
				r.setBack(1000)
			}
		}, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var r ramp
			r.begin(1000, 1000, rampSlots, rampStarted)
			c.after(&r)
			if got := r.current(1000); got < c.low || got > c.high {
				t.Errorf("the limit is %.1f, want %.1f to %.1f", got, c.low, c.high)
			}
		})
	}
}

// TestRampAfterEachReturn has one server of several start, recover, come back or end its cold
// spell, and sends one request for each of many objects at once. With a fresh report of the
// server no more may run there than the limit, and after the ramp all that rank it first.
func TestRampAfterEachReturn(t *testing.T) {
	const server = "a1-0"
	list := testServers(4)
	for i := range list {
		list[i].Slots = rampSlots
	}
	cases := map[string]func(b *Balancer, now clock.Millis){
		"a new server": func(b *Balancer, now clock.Millis) {
			replaced := list[0]
			replaced.StartUnixMs = 7
			b.SetServices(nil)
			b.UpdateServers(now, []Server{replaced}, nil)
		},
		"after failures": func(b *Balancer, now clock.Millis) {
			s := b.servers[server]
			s.consecutiveFailures = 2
			s.inFlight++
			b.Done(now, &Choice{Server: s.info, state: s, query: testQuery(1), baseLatency: 100, pace: 1, sentAt: now - 100, uncontended: true, fanout: &fanout{}}, Result{Outcome: Answered})
		},
		"after an evacuation": func(b *Balancer, now clock.Millis) {
			b.SetServices(nil)
			b.SetEvacuated(now-10, values.NewSet("a1"))
			b.SetEvacuated(now, values.NewSet[string]())
		},
		"after a cold spell": func(b *Balancer, now clock.Millis) { b.MarkCold(now-500, server, 499) },
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancerOf(list)
			b.warmUp(t, 1)
			objects := b.objectsOf(t, server, rampSlots)
			const now = 10_000
			prepare(b, now)
			if got := b.sendAll(t, now, server, objects); got == 0 || got > rampSlots/rampStartDivisor {
				t.Errorf("%d requests run at the start, want %d at most", got, rampSlots/rampStartDivisor)
			}
			if got := b.sendAll(t, now+maxRampTime, server, objects); got != rampSlots {
				t.Errorf("%d requests run after the ramp, want %d", got, rampSlots)
			}
			var messages []string
			for _, e := range b.TakeEvents() {
				if e.Server == server {
					messages = append(messages, e.Message)
				}
			}
			want := "slow start of a backend server begins, slow start of a backend server ends"
			if got := strings.Join(messages, ", "); got != want || b.TakeCounts().Ramps == 0 {
				t.Errorf("got the events %q", got)
			}
		})
	}
}

// objectsOf returns some objects that rank a server of region a first.
func (b *Balancer) objectsOf(t *testing.T, server string, count int) []uint64 {
	t.Helper()
	var out []uint64
	for i, id := range placements(t, b, 1000) {
		if id == server && len(out) < count {
			out = append(out, mixHashes(uint64(i+1), 7)|1)
		}
	}
	return out
}

// sendAll sends a request for each object at once, with a fresh report of an empty server. It
// returns how many of them run there.
func (b *Balancer) sendAll(t *testing.T, now clock.Millis, server string, objects []uint64) int {
	t.Helper()
	b.servers[server].recordLoad(now, 0)
	var choices []*Choice
	for _, object := range objects {
		choice, refusal := b.Choose(now, onlyRegion(object, "a"))
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		choices = append(choices, choice)
	}
	running := b.servers[server].inFlight
	for _, c := range choices {
		b.Done(now, c, Result{Outcome: Canceled})
	}
	return running
}

// replaceAll replaces the listed servers by new starts of them.
func (b *Balancer) replaceAll(now clock.Millis, list []Server) {
	replaced := make([]Server, len(list))
	for i, s := range list {
		s.StartUnixMs = int64(now)
		replaced[i] = s
	}
	b.UpdateServers(now, replaced, nil)
}

// TestRampYields has all servers start at the same moment. None of what fits into their
// slots may be refused for the sake of their ramps.
func TestRampYields(t *testing.T) {
	b := newTestBalancerOf(testServers(2))
	b.SetServices(nil)
	b.warmUp(t, 1)
	b.replaceAll(1000, testServers(2))
	for _, s := range b.servers {
		s.recordLoad(1000, 0)
	}
	for n := range 2 * 2 * testSlots {
		if _, refusal := b.Choose(1000, onlyRegion(uint64(n)+1, "a")); refusal != nil {
			t.Fatalf("request %d was refused: %s", n, refusal.Reason)
		}
	}
	if b.TakeCounts().RampYields == 0 {
		t.Error("no yield is counted")
	}
}

// TestRampWithoutReports has many instances that have heard nothing of a new server send
// requests for the same objects. All must leave out the same objects, about as many as the
// limit leaves of the slots.
func TestRampWithoutReports(t *testing.T) {
	const objects = 2000
	held := make(map[uint64]int)
	for range 5 {
		list := testServers(4)
		b := newTestBalancerOf(list)
		b.SetServices(nil)
		b.warmUp(t, 1)
		before := placements(t, b, objects)
		list[0].StartUnixMs = 7
		b.UpdateServers(9_700, list[:1], nil)
		for i, id := range placements(t, b, objects) {
			if before[i] == "a1-0" && id != "a1-0" {
				held[uint64(i)]++
			}
		}
	}
	if len(held) < objects/8/5 || len(held) > objects/8*4/5 {
		t.Errorf("%d of about %d objects are held back", len(held), objects/8)
	}
	for object, instances := range held {
		if instances != 5 {
			t.Fatalf("object %d is held back by %d of 5 instances", object, instances)
		}
	}
}
