package placement

import (
	"math/rand/v2"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

// reportUsage has every server report its load, as far as it follows from the objects that
// are placed there now, for some time. It returns the placement at the end.
func reportUsage(t *testing.T, b *Balancer, from, length clock.Millis, objects, load int) map[string]int {
	t.Helper()
	var placed map[string]int
	for now := from; now < from+length; now += 500 {
		placed = make(map[string]int)
		for object := range uint64(objects) {
			choice, refusal := b.Choose(now, onlyRegion(mixHashes(object+1, 7)|1, "a"))
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			b.Done(now, choice, Result{Outcome: Canceled})
			placed[choice.Server.ID]++
		}
		for id, s := range b.servers {
			if s.info.Region == "a" {
				// Random rounding, as the load at the end of some request.
				share := float64(placed[id]*load) / float64(objects)
				s.recordUsage(now, int(share+rand.Float64()))
			}
		}
	}
	return placed
}

func busiestToMean(placed map[string]int, servers int) float64 {
	total, most := 0, 0
	for _, n := range placed {
		total += n
		most = max(most, n)
	}
	return float64(most*servers) / float64(total)
}

// TestBusyServersGiveObjectsAway binds a few objects to each of 20 servers by hash, so that
// some servers have twice the mean. While they are busy the objects must spread evenly, most
// of them must stay where they were, and without reports all must return.
func TestBusyServersGiveObjectsAway(t *testing.T) {
	const servers, objects = 20, 160
	b := newTestBalancerOf(testServers(servers / 2))
	place := func(now clock.Millis) []string {
		out := make([]string, objects)
		for i := range out {
			choice, refusal := b.Choose(now, onlyRegion(mixHashes(uint64(i+1), 7)|1, "a"))
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			b.Done(now, choice, Result{Outcome: Canceled})
			out[i] = choice.Server.ID
		}
		return out
	}
	home := place(1000)
	before := reportUsage(t, b, 1000, 500, objects, servers*testSlots)
	after := reportUsage(t, b, 1500, 30*clock.Second, objects, servers*testSlots)
	if was, is := busiestToMean(before, servers), busiestToMean(after, servers); was < 1.6 || is > 1.3 {
		t.Errorf("the busiest server has %.2f times the mean, %.2f before", is, was)
	}
	kept := 0
	for i, id := range place(31_500) {
		if id == home[i] {
			kept++
		}
	}
	if kept*10 < objects*6 {
		t.Errorf("only %d of %d objects stay where they are warm", kept, objects)
	}
	for i, id := range place(31_500 + shareHold + 20*clock.Second) {
		if id != home[i] {
			t.Errorf("object %d is at %s without any report, want %s", i, id, home[i])
		}
	}
}

// TestIdleServersKeepObjects has a server with twice the mean, but with free slots. Nothing
// waits there, so its objects must stay.
func TestIdleServersKeepObjects(t *testing.T) {
	b := newTestBalancerOf(testServers(10))
	reportUsage(t, b, 1000, 30*clock.Second, 160, 10)
	for id, s := range b.servers {
		if share := s.balance.current(31_000); share < 1 {
			t.Errorf("server %s keeps a share of %.2f of its objects", id, share)
		}
	}
}

// TestFalseLoadKeepsServerInUse has a server always report a huge load and another one none
// at all. The first must keep some objects, and the second not get more than it can run.
func TestFalseLoadKeepsServerInUse(t *testing.T) {
	b := newTestBalancerOf(testServers(10))
	for now := clock.Millis(0); now < 60_000; now += 500 {
		for id, s := range b.servers {
			switch id {
			case "a1-0":
				s.recordUsage(now, 1<<16)
			case "a1-1":
				s.recordUsage(now, 0)
			default:
				s.recordUsage(now, testSlots)
			}
		}
	}
	used := values.NewSet[string]()
	counts := make(map[string]int)
	for object := range uint64(2000) {
		choice, refusal := b.Choose(60_000, onlyRegion(mixHashes(object+1, 7)|1, "a"))
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		b.Done(60_000, choice, Result{Outcome: Canceled})
		used = used.With(choice.Server.ID)
		counts[choice.Server.ID]++
	}
	if !used.Has("a1-0") || counts["a1-1"] > 160 {
		t.Errorf("%d of 2000 requests go to the server that claims to be full, %d to the one that claims to be empty", counts["a1-0"], counts["a1-1"])
	}
}

// TestAnswerOfRemovedServer has a server with few of its objects left answer after it was
// removed from the list, and after another start of it took its place.
func TestAnswerOfRemovedServer(t *testing.T) {
	for name, remove := range map[string]func(b *Balancer){
		"removed":  func(b *Balancer) { b.UpdateServers(2000, nil, []string{"a1-0"}) },
		"replaced": func(b *Balancer) { b.replaceAll(2000, testServers(1)[:1]) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancerOf(testServers(1)[:1])
			b.warmUp(t, 7)
			choice, refusal := b.Choose(1000, testQuery(7))
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			choice.state.balance.share, choice.state.balance.shareAt = minShare, 1000
			remove(b)
			b.Done(2100, choice, Result{Outcome: Answered, HasLoad: true, Load: testSlots, Pace: 2, HasPace: true})
			if choice.state.group != nil {
				t.Error("the server is still in a group")
			}
		})
	}
}
