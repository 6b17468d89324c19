package placement

import "testing"

// TestYieldingRequestsLeaveRoom fills the servers with requests that yield until one is
// refused. They must leave a slot of each server to others, use all the rest, and not count as
// refused for want of room. Otherwise urgent requests find every slot taken, or capacity that
// nobody needs stays idle.
func TestYieldingRequestsLeaveRoom(t *testing.T) {
	const perDomain = 2
	b := newTestBalancer(perDomain)
	yielding := testQuery(0)
	yielding.Yields, yielding.TimeLeft, yielding.Objective, yielding.LatencyLimit = true, 60_000, 60_000, 60_000
	perServer := make(map[string]int)
	for {
		choice, refusal := b.Choose(0, yielding)
		if refusal != nil {
			break
		}
		perServer[choice.Server.ID]++
	}
	for id, n := range perServer {
		if n != testSlots-1 {
			t.Errorf("server %s has %d requests that yield", id, n)
		}
	}
	if len(perServer) < 2*perDomain {
		t.Errorf("%d servers are used, %d of the region have room", len(perServer), 2*perDomain)
	}
	urgent := yielding
	urgent.Yields = false
	if choice, refusal := b.Choose(0, urgent); refusal != nil || choice.loadBefore >= testSlots {
		t.Error("an urgent request finds no free slot")
	}
	if len(b.overloads) > 0 {
		t.Error("a request that yields counts as refused for want of room")
	}
}

// TestQueueLimit checks that a request with a limit on its time in a server's queue is refused
// where one without would queue. Otherwise less urgent requests with long objectives fill the
// queues that urgent ones have to wait in.
func TestQueueLimit(t *testing.T) {
	q := testQuery(0)
	q.TimeLeft, q.Objective, q.LatencyLimit = 60_000, 2000, 60_000
	count := func(q Query) int {
		b := newTestBalancer(1)
		for n := 0; ; n++ {
			if _, refusal := b.Choose(0, q); refusal != nil || n == 1000 {
				return n
			}
		}
	}
	unlimited := count(q)
	q.QueueLimit = 400
	if limited := count(q); limited >= unlimited || limited < 2*testSlots {
		t.Errorf("%d requests were accepted with a limit, %d without", limited, unlimited)
	}
}
