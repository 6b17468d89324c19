package placement

import (
	"math"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// answerAt sends a request for an object to a server of a balancer that has no other one,
// and has it answered with a pace. A pace of zero means that none is reported.
func (b *Balancer) answerAt(t *testing.T, now, took clock.Millis, object uint64, pace float64) {
	t.Helper()
	choice, refusal := b.Choose(now, testQuery(object))
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	b.Done(now+took, choice, Result{Outcome: Answered, HasLoad: true, Pace: pace, HasPace: pace != 0})
}

// TestReportedPaceFades checks that a reported pace holds for a moment only, and that
// figures out of range have a bounded effect.
func TestReportedPaceFades(t *testing.T) {
	cases := map[string]struct {
		reported  float64
		age       clock.Millis
		low, high float64
	}{
		"fresh":                {2.5, 50, 2.49, 2.51},
		"after a mean spell":   {2.5, 600, 1.3, 1.8},
		"stale":                {2.5, 3000, 0.99, 1.1},
		"faster than usual":    {0.5, 0, 0.49, 0.51},
		"huge":                 {1e12, 0, maxPace, maxPace},
		"huge and stale":       {1e12, 3000, 0.99, 1.4},
		"negative":             {-3, 0, minPace, minPace},
		"infinite":             {math.Inf(1), 0, maxPace, maxPace},
		"from before a pause":  {2.5, 10 * clock.Second, 0.99, 1.05},
		"later than its reply": {2.5, -20, 2.49, 2.51},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestBalancerOf(testServers(1)[:1]).servers["a1-0"]
			s.recordPace(1000, c.reported)
			if got := s.currentPace(1000 + c.age); got < c.low || got > c.high {
				t.Errorf("pace %.3f, want %.2f to %.2f", got, c.low, c.high)
			}
		})
	}
}

// TestPaceChoosesBetweenWarmServers has one of the two servers of an object report a slow
// spell. The other one must serve the object until the report is stale, and not beyond.
func TestPaceChoosesBetweenWarmServers(t *testing.T) {
	b := newTestBalancerOf(testServers(1))
	b.fanoutOf(10, testService, "a").count = serversPerRegion
	b.warmUp(t, 7)
	choose := func(now clock.Millis) string {
		choice, refusal := b.Choose(now, onlyRegion(7, "a"))
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		b.Done(now, choice, Result{Outcome: Canceled})
		return choice.Server.ID
	}
	for _, s := range b.servers {
		s.recordObject(7, 1000)
	}
	first := choose(1000)
	b.servers[first].recordPace(1000, 2.5)
	if during := choose(1050); during == first {
		t.Errorf("server %s is chosen during its slow spell", first)
	}
	if after := choose(5000); after != first {
		t.Errorf("server %s is chosen after the spell, want %s", after, first)
	}
}

// TestPaceIsNotLearnedTwice has a server report slow spells and answer accordingly. Neither
// its factor nor the route's latencies may count the same slowness again.
func TestPaceIsNotLearnedTwice(t *testing.T) {
	b := newTestBalancerOf(testServers(1)[:1])
	b.warmUp(t, 7)
	s, before := b.servers["a1-0"], b.latencyModelOf(testQuery(7)).warm.value()
	for now := clock.Millis(1000); now < 11_000; now += 200 {
		slow := now/600%6 == 0
		took, pace := clock.Millis(150), 1.0
		if slow {
			took, pace = 375, 2.5
		}
		s.recordPace(now, pace)
		b.answerAt(t, now, took, 7, pace)
		if factor := s.currentLatencyFactor(now + took); factor > 1.25 {
			t.Fatalf("at %d ms the factor is %.2f beside a pace of %.2f", now, factor, pace)
		}
	}
	if after := b.latencyModelOf(testQuery(7)).warm.value(); after > before*11/10 {
		t.Errorf("the route's warm latency went from %d to %d ms", before, after)
	}
}

// TestWrongPaceIsCorrected has a server always report a pace that its answers do not show.
// The expected latency must come close to the actual one within a handful of answers.
func TestWrongPaceIsCorrected(t *testing.T) {
	for name, pace := range map[string]float64{"slower than true": 2.5, "faster than true": 0.4, "absurd": 1e9} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancerOf(testServers(1)[:1])
			b.warmUp(t, 7)
			for n := range clock.Millis(25) {
				b.answerAt(t, 1000+200*n, 150, 7, pace)
			}
			choice, _ := b.Choose(6000, testQuery(7))
			if choice == nil || choice.ExpectedLatency < 110 || choice.ExpectedLatency > 230 {
				t.Fatalf("expected latency %+v, want about 150 ms", choice)
			}
		})
	}
}

// TestSlowPacesEndInCalm has all servers report the slowest pace for a while and then
// nothing at all. Three seconds later nothing may be refused beside free slots.
func TestSlowPacesEndInCalm(t *testing.T) {
	b := newTestBalancerOf(testServers(2))
	b.warmUp(t, 1)
	for now := clock.Millis(1000); now < 6000; now += 20 {
		if choice, _ := b.Choose(now, testQuery(uint64(now)%50+1)); choice != nil {
			b.Done(now+15, choice, Result{Outcome: Answered, HasLoad: true, Pace: maxPace, HasPace: true})
		}
	}
	for object := range uint64(50) {
		q := testQuery(object + 1)
		q.TimeLeft = 1200
		choice, refusal := b.Choose(9100, q)
		if refusal != nil {
			t.Fatalf("refused after calm: %s %+v", refusal.Reason, refusal.Best)
		}
		b.Done(9100, choice, Result{Outcome: Canceled})
	}
}
