package placement

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
	"pgregory.net/rapid"
)

var benchmarkSizes = []int{44, 1_100, 10_000, 40_000}

// newLargeBalancer returns a balancer with servers spread over four failure domains of
// two regions.
func newLargeBalancer(count int) (*Balancer, []Server) {
	b := NewBalancer(BalancerConfig{FailureDomain: "a1", Region: "a", Regions: []string{"a", "b"}, ColdOverage: 1.5, ColdSlack: 5})
	b.SetServices(map[string]routing.Service{testService: {Name: testService, MaxConnections: 100, ColdStart: 3000, ColdRatePerS: 6}})
	b.SetFleet(Fleet{Self: "i0", Members: []string{"i0", "i1", "i2"}})
	var list []Server
	for i := range count {
		domain := []string{"a1", "a2", "b1", "b2"}[i%4]
		list = append(list, Server{ID: "s" + strconv.Itoa(i), Service: testService, Address: "x", FailureDomain: domain, Region: testRegions[domain], Slots: testSlots, StartUnixMs: 1})
	}
	b.SetServers(0, list)
	return b, list
}

// BenchmarkChoose measures one request: its choice and its end.
func BenchmarkChoose(b *testing.B) {
	for _, count := range benchmarkSizes {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			balancer, _ := newLargeBalancer(count)
			q := testQuery(0)
			object := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				object++
				q.Object = object%2000 + 1
				choice, refusal := balancer.Choose(10_000, q)
				if refusal != nil {
					b.Fatal(refusal.Reason)
				}
				balancer.Done(10_000, choice, Result{Outcome: Answered, HasLoad: true})
			}
		})
	}
}

// BenchmarkUpdateServers measures taking in one changed row: a server that drains or is
// back.
func BenchmarkUpdateServers(b *testing.B) {
	for _, count := range benchmarkSizes {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			balancer, list := newLargeBalancer(count)
			n := 0
			for b.Loop() {
				n++
				changed := list[n%len(list)]
				changed.Draining = n/len(list)%2 == 0
				balancer.UpdateServers(10_000, []Server{changed}, nil)
			}
		})
	}
}

// placements returns the server of each of many objects.
func placements(t *testing.T, b *Balancer, objects int) []string {
	t.Helper()
	out := make([]string, objects)
	for i := range objects {
		choice, refusal := b.Choose(10_000, onlyRegion(mixHashes(uint64(i+1), 7)|1, "a"))
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		b.Done(10_000, choice, Result{Outcome: Canceled})
		out[i] = choice.Server.ID
	}
	return out
}

// TestLargeListMovesOnlyOwnObjects removes one of 1,100 servers: only its own objects may
// move, and to more than one other server.
func TestLargeListMovesOnlyOwnObjects(t *testing.T) {
	const objects = 20_000
	before, list := newLargeBalancer(1_100)
	after, _ := newLargeBalancer(1_100)
	gone := list[4].ID
	after.UpdateServers(10_000, nil, []string{gone})
	heirs := values.NewSet[string]()
	was, is := placements(t, before, objects), placements(t, after, objects)
	for i := range objects {
		if was[i] != is[i] && was[i] != gone {
			t.Fatalf("object %d moved from %s to %s", i, was[i], is[i])
		}
		if was[i] == gone {
			heirs = heirs.With(is[i])
		}
	}
	if heirs.Len() < 3 {
		t.Errorf("the objects of the server that left went to %v only", heirs.Sorted())
	}
}

// TestLargeListSpreadsObjects checks that no server of a large list gets much more than
// its part of the objects.
func TestLargeListSpreadsObjects(t *testing.T) {
	const objects, servers = 110_000, 1_100
	b, _ := newLargeBalancer(servers)
	counts := make(map[string]int)
	for _, id := range placements(t, b, objects) {
		counts[id]++
	}
	// One region may serve them, which has half of the servers.
	mean, most := float64(objects)/float64(servers/2), 0
	for _, n := range counts {
		most = max(most, n)
	}
	if float64(most) > 1.6*mean {
		t.Errorf("a server has %d objects, the mean is %.0f", most, mean)
	}
}

// TestLargeListFindsWarmServer has one of the servers that rank high for an object keep it
// warm. What does not fit elsewhere must go there, and not to any cold server of many.
func TestLargeListFindsWarmServer(t *testing.T) {
	const object, now = 7, 10_000
	b, _ := newLargeBalancer(1_100)
	region := b.services[testService].region("a")
	warm := region.probe(object)[ringProbes/2].state
	warm.recordObject(object, now)
	for range 50 {
		found := b.idleServer(now, onlyRegion(object, "a"), values.NewSet("a"))
		if found == nil || found.state != warm {
			t.Fatalf("got %+v, want server %s", found, warm.info.ID)
		}
	}
}

// TestRingPosition checks the search in the ring against a search from its start.
func TestRingPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hashes := rapid.SliceOfN(rapid.Uint64(), 0, 40).Draw(t, "hashes")
		slices.Sort(hashes)
		r := newRegionServers("r")
		for _, hash := range hashes {
			r.ring = append(r.ring, ringEntry{hash: hash})
		}
		hash := rapid.Uint64().Draw(t, "hash")
		want := 0
		for want < len(hashes) && hashes[want] < hash {
			want++
		}
		if got := r.position(hash); got != want {
			t.Fatalf("position %d, want %d", got, want)
		}
	})
}

// TestListByDifferences applies changes one by one to one balancer and as whole lists to
// another. Both must place all objects alike.
func TestListByDifferences(t *testing.T) {
	for _, count := range []int{8, 400} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			whole, list := newLargeBalancer(count)
			steps, _ := newLargeBalancer(count)
			change := func(changed []Server, removed ...string) {
				steps.UpdateServers(100, changed, removed)
				gone := values.NewSet(removed...)
				var next []Server
				for _, s := range list {
					for _, c := range changed {
						if c.ID == s.ID {
							s = c
						}
					}
					if !gone.Has(s.ID) {
						next = append(next, s)
					}
				}
				list = next
				whole.SetServers(100, list)
			}
			drained, moved := list[1], list[2]
			drained.Draining = true
			moved.FailureDomain, moved.Region = "b2", "b"
			change([]Server{drained})
			change([]Server{moved})
			change(nil, list[3].ID, list[4].ID)
			drained.Draining = false
			change([]Server{drained})
			for _, evacuated := range []values.Set[string]{values.NewSet("a2"), values.NewSet[string]()} {
				whole.SetEvacuated(100, evacuated)
				steps.SetEvacuated(100, evacuated)
				if was, is := placements(t, whole, 500), placements(t, steps, 500); fmt.Sprint(was) != fmt.Sprint(is) {
					t.Fatal("the lists place objects differently")
				}
			}
		})
	}
}
