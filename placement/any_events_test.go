package placement

import (
	"math"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"pgregory.net/rapid"
)

// changeList applies a random change to the list of servers.
func changeList(t *rapid.T, b *Balancer, now clock.Millis, list []Server) {
	s := list[rapid.IntRange(0, len(list)-1).Draw(t, "server")]
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		b.UpdateServers(now, nil, []string{s.ID})
	case 1:
		s.StartUnixMs = int64(now)
		b.UpdateServers(now, []Server{s}, nil)
	case 2:
		s.FailureDomain, s.Region = "b2", "b"
		b.UpdateServers(now, []Server{s}, nil)
	case 3:
		b.MarkCold(now, s.ID, clock.Millis(rapid.IntRange(0, 800).Draw(t, "cold")))
	default:
		b.SetEvacuated(now, values.NewSet(rapid.SliceOfN(rapid.SampledFrom([]string{"a1", "a2", "b1"}), 0, 2).Draw(t, "evacuated")...))
	}
}

// checkMeans compares the means of the regions with the servers that they are made of.
func checkMeans(t *rapid.T, b *Balancer) {
	for _, service := range b.services {
		for _, region := range service.regions {
			sum, count := 0.0, 0
			for _, s := range region.servers {
				if s.balance.usageAt != 0 {
					sum, count = sum+s.balance.usage, count+1
				}
			}
			if count != region.usage.count || math.Abs(sum-region.usage.sum) > 1e-6*(1+sum) {
				t.Fatalf("the mean of region %s is of %d servers and %.3f, want %d and %.3f", region.name, region.usage.count, region.usage.sum, count, sum)
			}
		}
	}
}

// TestAnyOrderOfEvents mixes requests with any results, changes of the list, evacuations and
// cold spells. No mean may drift from the servers it is made of, and after calm every
// server must be out of its slow start and get its objects.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := testServers(2)
		b := newTestBalancerOf(list)
		b.SetServices(nil)
		now := clock.Millis(1000)
		var open []*Choice
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 200).Draw(t, "pause"))
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind == 0:
				changeList(t, b, now, list)
			case kind < 6 || len(open) == 0:
				if choice, _ := b.Choose(now, testQuery(uint64(rapid.IntRange(0, 40).Draw(t, "object")))); choice != nil {
					open = append(open, choice)
				}
			default:
				b.Done(now, open[0], Result{
					Outcome: Outcome(rapid.IntRange(int(Answered), int(Withheld)).Draw(t, "outcome")),
					Load:    rapid.IntRange(0, 1<<16).Draw(t, "load"), HasLoad: rapid.Bool().Draw(t, "hasLoad"),
					Pace: rapid.Float64Range(-1, 1e9).Draw(t, "pace"), HasPace: rapid.Bool().Draw(t, "hasPace"),
				})
				open = open[1:]
			}
		}
		checkMeans(t, b)
		for id, s := range b.servers {
			calm := now + maxRampTime + shareHold + 8*shareTimeConstant
			if held := b.holdsRamp(calm, 1, s); held || s.balance.current(calm) < 0.99 || s.inFlight < 0 {
				t.Fatalf("server %s after calm: ramp %+v, share %.2f, in flight %d", id, s.ramp, s.balance.current(calm), s.inFlight)
			}
		}
	})
}
