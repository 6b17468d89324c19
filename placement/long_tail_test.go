package placement

import (
	"math/rand/v2"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// longTailed returns latencies of which 3 in 100 are seven times as long as the others.
func longTailed(seed uint64, usual clock.Millis) func() clock.Millis {
	random := rand.New(rand.NewPCG(seed, 3))
	return func() clock.Millis {
		took := clock.Millis(float64(usual) * (0.9 + 0.2*random.Float64()))
		if random.IntN(100) < 3 {
			return 7 * took
		}
		return took
	}
}

// TestLongTailIsNoSlowness has 3 in 100 requests take seven times as long on servers that
// are all alike. Neither the route's average, nor a server's or a domain's factor, nor the
// fanout may follow them, and no request may be refused.
func TestLongTailIsNoSlowness(t *testing.T) {
	for seed := range uint64(5) {
		b := newTestBalancerOf(testServers(2))
		b.warmUp(t, 1)
		draw := longTailed(seed, 150)
		var highFactors, answers int
		for now := clock.Millis(1000); now < 300_000; now += 300 {
			choice, refusal := b.Choose(now, testQuery(uint64(now/300)%20+1))
			if refusal != nil {
				t.Fatalf("seed %d at %d ms: %s", seed, now, refusal.Reason)
			}
			took := draw()
			b.Done(now+took, choice, Result{Outcome: Answered, HasLoad: true})
			answers++
			if choice.state.latencyFactor > 1.5 || choice.state.domainLoad.factor > 1.3 {
				highFactors++
			}
		}
		if average := b.latencyModelOf(testQuery(1)).warm.value(); average < 140 || average > 165 {
			t.Errorf("seed %d: the average is %d ms, want about 150", seed, average)
		}
		// Two long requests in a row, as 1 in 1,000 are, count for the next ten answers.
		if highFactors*100 > 3*answers {
			t.Errorf("seed %d: a server or domain counts as slow after %d of %d answers", seed, highFactors, answers)
		}
		if f := b.fanoutOf(300_000, testService, "a"); f.missRate > lowMissRate {
			t.Errorf("seed %d: the rate of misses is %.3f", seed, f.missRate)
		}
	}
}

// TestSlowServerIsSeen has a server become slow without saying so. Its factor must show that
// after a handful of answers, and no longer two seconds after the slowness has ended.
func TestSlowServerIsSeen(t *testing.T) {
	for name, slowness := range map[string]clock.Millis{"as a shared machine": 25, "as a failing one": 50} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancerOf(testServers(1)[:1])
			b.warmUp(t, 7)
			s := b.servers["a1-0"]
			now := clock.Millis(1000)
			for range 5 {
				b.answerAt(t, now, 150*slowness/10, 7, 0)
				now += 150 * slowness / 10
			}
			if factor := s.currentLatencyFactor(now); factor < 1+0.35*(float64(slowness)/10-1) {
				t.Errorf("the factor is %.2f after five answers at %.1f", factor, float64(slowness)/10)
			}
			calm := now + latencyFactorHold + 4*latencyFactorTimeConstant
			if factor := s.currentLatencyFactor(calm); factor > 1.5 {
				t.Errorf("the factor is %.2f %d ms later", factor, calm-now)
			}
		})
	}
}

// TestOneTimeoutIsNoQueue has one request time out. It may be long by nature, so the other
// servers of the domain must not count as loaded; after a second one in a row they must.
func TestOneTimeoutIsNoQueue(t *testing.T) {
	b := newTestBalancerOf(testServers(2))
	b.warmUp(t, 7)
	var state *serverState
	timeOut := func(now clock.Millis) {
		choice, refusal := b.Choose(now, testQuery(7))
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		state = choice.state
		b.Done(now+5000, choice, Result{Outcome: TimedOut})
	}
	timeOut(1000)
	if load := state.domainLoad.at(6000); load > 1 {
		t.Errorf("after one timeout the domain's load is %.1f", load)
	}
	timeOut(6000)
	if load := state.domainLoad.at(11_000); load < testSlots {
		t.Errorf("after two timeouts the domain's load is %.1f", load)
	}
}

// TestAverageWithoutObjective checks that latencies are learned where the first guess, a
// part of the objective, is zero, and where the work becomes longer for good.
func TestAverageWithoutObjective(t *testing.T) {
	m := newLatencyModel(0)
	for _, usual := range []clock.Millis{100, 500} {
		for range 150 {
			m.add(usual, true)
		}
		if got := m.warm.value(); got < usual*9/10 || got > usual {
			t.Errorf("the average is %d ms, want %d", got, usual)
		}
	}
}
