package placement

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// onlyRegion returns a query that one region only may serve, as for a workspace whose home
// it is.
func onlyRegion(object uint64, region string) Query {
	q := testQuery(object)
	q.RegionAllowed = func(name string) bool { return name == region }
	return q
}

// overload sends more requests for objects of a region than its servers have slots, and
// returns how many were refused.
func (b *Balancer) overload(now clock.Millis, region string, count int) int {
	refused := 0
	var choices []*Choice
	for n := range count {
		choice, refusal := b.Choose(now, onlyRegion(uint64(n%40+1), region))
		if refusal != nil {
			refused++
			continue
		}
		choices = append(choices, choice)
	}
	for _, c := range choices {
		b.Done(now+150, c, Result{Outcome: Answered})
	}
	return refused
}

// TestFanoutWhereAllServersAreFull overloads the few servers of one region for some time.
// Spreading each object over more of them frees no slot and costs warmth, so the objects
// of that region must keep to few servers, and those of the other region be left alone.
func TestFanoutWhereAllServersAreFull(t *testing.T) {
	b := newTestBalancerOf(testServers(1))
	b.warmUp(t, 1)
	refused := 0
	for now := clock.Millis(1000); now < 10_000; now += 200 {
		refused += b.overload(now, "b", 60)
	}
	if refused == 0 {
		t.Fatal("nothing was refused")
	}
	if count := b.fanoutOf(10_000, testService, "b").count; count > minFanout {
		t.Errorf("the fanout of the full region is %d, want %d", count, minFanout)
	}
	if count := b.fanoutOf(10_000, testService, "a").count; count != initialFanout {
		t.Errorf("the fanout of the other region is %d, want %d", count, initialFanout)
	}
}

// TestFanoutBesideRoom has one hot object fill its server while others of the region are
// free but would be cold: more servers must share it then.
func TestFanoutBesideRoom(t *testing.T) {
	b := newTestBalancerOf(testServers(4))
	b.warmUp(t, 1)
	for now := clock.Millis(1000); now < 6000; now += 200 {
		var choices []*Choice
		for range 30 {
			if choice, _ := b.Choose(now, onlyRegion(1, "a")); choice != nil {
				choices = append(choices, choice)
			}
		}
		for _, c := range choices {
			took := clock.Millis(150)
			if !c.warm {
				took = 450
			}
			b.Done(now+took, c, Result{Outcome: Answered})
		}
	}
	if count := b.fanoutOf(6000, testService, "a").count; count <= initialFanout {
		t.Errorf("the fanout beside free servers is %d, want more than %d", count, initialFanout)
	}
}

// TestRefusalSaysWhy checks that a refusal for want of room carries what decided it, and
// that it counts as needless if a server of the service reports a free slot just after.
func TestRefusalSaysWhy(t *testing.T) {
	b := newTestBalancerOf(testServers(1))
	b.warmUp(t, 1)
	var last *Refusal
	var choices []*Choice
	for range 100 {
		choice, refusal := b.Choose(1000, onlyRegion(1, "a"))
		if refusal != nil {
			last = refusal
			continue
		}
		choices = append(choices, choice)
	}
	if last == nil || last.Best == nil {
		t.Fatal("no refusal says what decided it")
	}
	if e := last.Best; e.Latency <= e.Limit || e.QueueTime <= 0 || e.Load < e.Slots || e.Candidates == 0 || e.Fanout == 0 || e.LatencyFactor == 0 || e.Server == "" {
		t.Errorf("got %+v", e)
	}
	b.Done(1100, choices[0], Result{Outcome: Answered, HasLoad: true, Load: 0})
	if n := b.TakeNeedlessRefusals(); n != 100-len(choices) {
		t.Errorf("%d refusals count as needless, want %d", n, 100-len(choices))
	}
	if n := b.TakeNeedlessRefusals(); n != 0 {
		t.Errorf("%d refusals are counted twice", n)
	}
}
