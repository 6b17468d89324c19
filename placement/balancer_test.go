package placement

import (
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
	"pgregory.net/rapid"
)

const (
	testService = "desk"
	testSlots   = 3
)

var testRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

// newTestBalancer returns a balancer of an instance in domain a1, with
// perDomain servers in each failure domain.
func newTestBalancer(perDomain int) *Balancer {
	return newTestBalancerOf(testServers(perDomain))
}

// newTestBalancerOf is like newTestBalancer for the given servers.
func newTestBalancerOf(list []Server) *Balancer {
	b := NewBalancer(BalancerConfig{FailureDomain: "a1", Region: "a", Regions: []string{"a", "b"}, ColdOverage: 1.5, ColdSlack: 5})
	b.SetServices(map[string]routing.Service{testService: {Name: testService, MaxConnections: 100, ColdStart: 3000, ColdRatePerS: 6}})
	b.SetFleet(Fleet{Self: "i0", Members: []string{"i0", "i1", "i2"}})
	b.SetServers(0, list)
	return b
}

func testServers(perDomain int) []Server {
	var list []Server
	for _, domain := range []string{"a1", "a2", "b1", "b2"} {
		for i := range perDomain {
			list = append(list, Server{
				ID: fmt.Sprintf("%s-%d", domain, i), Service: testService, Address: "x", FailureDomain: domain,
				Region: testRegions[domain], Slots: testSlots,
			})
		}
	}
	return list
}

func testQuery(object uint64) Query {
	return Query{
		Service: testService, Route: "r", Object: object, Idempotent: true, TimeLeft: 5000, Objective: 300, LatencyLimit: 300,
		RegionAllowed: func(string) bool { return true }, Exclude: values.NewSet[string](),
	}
}

func TestChooseExcludes(t *testing.T) {
	cases := map[string]struct {
		prepare  func(*Balancer)
		query    func(*Query)
		excluded func(Server) bool
	}{
		"draining servers": {
			prepare: func(b *Balancer) {
				list := testServers(3)
				list[0].Draining = true
				b.SetServers(0, list)
			},
			excluded: func(s Server) bool { return s.ID == "a1-0" },
		},
		"removed servers": {
			prepare:  func(b *Balancer) { b.SetServers(0, testServers(3)[1:]) },
			excluded: func(s Server) bool { return s.ID == "a1-0" },
		},
		"evacuated domains": {
			prepare:  func(b *Balancer) { b.SetEvacuated(0, values.NewSet("a1", "b2")) },
			excluded: func(s Server) bool { return s.FailureDomain == "a1" || s.FailureDomain == "b2" },
		},
		"regions that are not allowed": {
			query:    func(q *Query) { q.RegionAllowed = func(region string) bool { return region == "b" } },
			excluded: func(s Server) bool { return s.Region == "a" },
		},
		"excluded servers": {
			query:    func(q *Query) { q.Exclude = values.NewSet("a1-0", "a1-1") },
			excluded: func(s Server) bool { return s.ID == "a1-0" || s.ID == "a1-1" },
		},
		"servers that said that they leave": {
			prepare:  func(b *Balancer) { b.MarkLeaving(0, Departure{Incarnation: Incarnation{ID: "a1-2"}}) },
			excluded: func(s Server) bool { return s.ID == "a1-2" },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			balancer := newTestBalancer(3)
			if c.prepare != nil {
				c.prepare(balancer)
			}
			for object := uint64(1); object < 300; object++ {
				q := testQuery(object)
				if c.query != nil {
					c.query(&q)
				}
				choice, refusal := balancer.Choose(0, q)
				if refusal != nil {
					t.Fatalf("object %d: %s", object, refusal.Reason)
				}
				if c.excluded(choice.Server) {
					t.Fatalf("object %d was sent to excluded server %s", object, choice.Server.ID)
				}
				balancer.Done(0, choice, Result{Outcome: Answered})
			}
		})
	}
}

// TestObjectsKeepTheirServers checks that each object is sent to the same
// server every time, and that removing a server moves only its objects.
func TestObjectsKeepTheirServers(t *testing.T) {
	place := func(balancer *Balancer, object uint64) string {
		choice, refusal := balancer.Choose(100, testQuery(object))
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		balancer.Done(100, choice, Result{Outcome: Canceled})
		return choice.Server.ID
	}
	before := newTestBalancer(4)
	after := newTestBalancer(4)
	after.MarkLeaving(0, Departure{Incarnation: Incarnation{ID: "a1-0"}})
	for object := uint64(1); object < 500; object++ {
		old, current := place(before, object), place(after, object)
		if old != "a1-0" && old != current {
			t.Fatalf("object %d moved from %s to %s", object, old, current)
		}
	}
}

// warmUp answers ten requests for an object one after the other, each in half
// the objective.
func (b *Balancer) warmUp(tb testing.TB, object uint64) {
	for range 10 {
		choice, refusal := b.Choose(10, testQuery(object))
		if refusal != nil {
			tb.Fatal(refusal.Reason)
		}
		b.Done(160, choice, Result{Outcome: Answered})
	}
}

// TestFullServersRefuse checks that requests are refused at once when queueing
// would exceed the objective, and that a retry with a higher latency limit is
// still accepted.
func TestFullServersRefuse(t *testing.T) {
	balancer := newTestBalancer(1)
	balancer.warmUp(t, 7)
	refused := 0
	for range 200 {
		choice, refusal := balancer.Choose(10, testQuery(7))
		if refusal == nil {
			if choice.ExpectedLatency > 300 && choice.state.load(10) > testSlots {
				t.Fatalf("expected latency %d ms of a queued request exceeds the objective of 300 ms", choice.ExpectedLatency)
			}
			continue
		}
		refused++
		if refusal.RetryAfter <= 0 {
			t.Fatal("the refusal has no RetryAfter")
		}
	}
	if refused == 0 {
		t.Fatal("no request was refused")
	}
	retry := testQuery(7)
	retry.LatencyLimit = retry.TimeLeft
	if _, refusal := balancer.Choose(10, retry); refusal != nil {
		t.Fatalf("a retry was refused: %s", refusal.Reason)
	}
}

// TestNoRefusalsBeforeLatenciesAreLearned sends as many requests as there are
// slots to a new instance. Without any measured latency it must not refuse them
// for an estimated queueing time.
func TestNoRefusalsBeforeLatenciesAreLearned(t *testing.T) {
	balancer := newTestBalancer(2)
	var choices []*Choice
	for object := range uint64(2 * 4 * testSlots) {
		choice, refusal := balancer.Choose(10, testQuery(object%5+1))
		if refusal != nil {
			t.Fatalf("request %d was refused: %s", object, refusal.Reason)
		}
		choices = append(choices, choice)
	}
	for _, choice := range choices {
		balancer.Done(160, choice, Result{Outcome: Answered})
	}
	balancer.warmUp(t, 1)
	refused := false
	for range 50 * testSlots {
		_, refusal := balancer.Choose(160, testQuery(1))
		refused = refused || refusal != nil
	}
	if !refused {
		t.Fatal("no request was refused after latencies were learned")
	}
}

// TestIdleServersTakeOverflow fills the servers of one object. As long as other
// servers of the region have free slots and respond within the objective,
// requests must not queue, be refused or leave the region.
func TestIdleServersTakeOverflow(t *testing.T) {
	balancer := newTestBalancer(2)
	for object := range uint64(100) {
		balancer.warmUp(t, object)
	}
	for _, region := range []string{"a", "b"} {
		balancer.fanoutOf(10, testService, region).count = serversPerRegion
	}
	region := ""
	for n := range 2 * 2 * testSlots {
		choice, refusal := balancer.Choose(10, testQuery(7))
		if refusal != nil {
			t.Fatalf("request %d was refused: %s", n, refusal.Reason)
		}
		if region == "" {
			region = choice.Server.Region
		}
		if choice.Server.Region != region {
			t.Fatalf("request %d moved from region %s to %s", n, region, choice.Server.Region)
		}
		if load := choice.state.load(10); load > testSlots {
			t.Fatalf("request %d: load %d exceeds the %d slots of server %s", n, load, testSlots, choice.Server.ID)
		}
	}
}

// TestDeclineKeepsRoomBelowItsLoad has a server decline what was sent beside its full slots.
// Once most of those requests have ended, it must not count as full at a lower load.
func TestDeclineKeepsRoomBelowItsLoad(t *testing.T) {
	list := testServers(1)[:1]
	list[0].Slots = 8
	balancer := newTestBalancerOf(list)
	var choices []*Choice
	for range 12 {
		choice, refusal := balancer.Choose(10, testQuery(7))
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		choices = append(choices, choice)
	}
	for _, choice := range choices[:7] {
		balancer.Done(60, choice, Result{Outcome: Answered, HasLoad: true, Load: 1})
	}
	for _, choice := range choices[8:] {
		balancer.Done(61, choice, Result{Outcome: Declined, HasLoad: true, Load: 1})
	}
	const later = 61 + declineBackoff
	if state := choices[7].state; state.isFull(later) {
		t.Errorf("the server counts as full at a load of %d, it declined at %d", state.knownLoad(later), 8)
	}
}

// TestColdServerRateLimit lets every instance of a fleet send to a newly
// started server as fast as it may, at random times. The server must never
// receive more than its limit within one second.
func TestColdServerRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "instances")
		names := make([]string, count)
		for i := range names {
			names[i] = fmt.Sprintf("instance-%d", i)
		}
		balancers := make([]*Balancer, count)
		for i := range balancers {
			balancers[i] = NewBalancer(BalancerConfig{FailureDomain: "a1", Region: "a", Regions: []string{"a", "b"}, ColdOverage: 1.5, ColdSlack: 5})
			balancers[i].SetServices(map[string]routing.Service{testService: {ColdStart: 3000, ColdRatePerS: 6.6}})
			balancers[i].SetFleet(Fleet{Self: names[i], Members: names})
			balancers[i].SetServers(0, []Server{{ID: "old", Service: testService, FailureDomain: "a2", Region: "a", Slots: 3}})
			balancers[i].SetServers(1000, []Server{{ID: "new", Service: testService, FailureDomain: "a1", Region: "a", Slots: 1000}})
		}
		var sent []clock.Millis
		for now := clock.Millis(1000); now < 4000; now += clock.Millis(rapid.IntRange(1, 60).Draw(t, "pause")) {
			for _, balancer := range balancers {
				if choice, refusal := balancer.Choose(now, testQuery(0)); refusal == nil {
					sent = append(sent, now)
					balancer.Done(now, choice, Result{Outcome: Answered})
				}
			}
		}
		limit := 6.6*1.5 + 5
		for i := range sent {
			inSecond := 0
			for _, at := range sent[i:] {
				if at-sent[i] < clock.Second {
					inSecond++
				}
			}
			if float64(inSecond) > limit {
				t.Fatalf("%d requests within a second from %d ms, limit %.1f", inSecond, sent[i], limit)
			}
		}
	})
}

// TestFailingServersRecover has all servers but one fail for a while. Their
// failure rates must decay without traffic, so that they receive requests again
// afterwards.
func TestFailingServersRecover(t *testing.T) {
	balancer := newTestBalancer(3)
	var now clock.Millis
	countUsed := func(outcome func(Server) Outcome) int {
		used := make(map[string]struct{})
		for object := uint64(1); object < 200; object++ {
			now += 5
			choice, refusal := balancer.Choose(now, testQuery(object))
			if refusal != nil {
				continue
			}
			used[choice.Server.ID] = struct{}{}
			balancer.Done(now+1, choice, Result{Outcome: outcome(choice.Server)})
		}
		return len(used)
	}
	allAnswer := func(Server) Outcome { return Answered }
	before := countUsed(allAnswer)
	for range 10 {
		countUsed(func(s Server) Outcome {
			if s.ID == "a1-0" {
				return Answered
			}
			return Failed
		})
	}
	now += 5 * clock.Second
	if after := countUsed(allAnswer); after < before {
		t.Errorf("%d servers receive requests after the failures, %d before", after, before)
	}
}

// TestAssumeWarm compares the latency that the first process of a fleet expects
// of a server with the one expected by a process that joins a running fleet:
// only the former treats the server's objects as cold.
func TestAssumeWarm(t *testing.T) {
	expected := func(assumeWarm bool) clock.Millis {
		balancer := NewBalancer(BalancerConfig{FailureDomain: "a1", Region: "a", Regions: []string{"a"}, AssumeWarm: assumeWarm})
		balancer.SetServers(10*clock.Second, testServers(1)[:1])
		choice, refusal := balancer.Choose(10*clock.Second, testQuery(1))
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		return choice.ExpectedLatency
	}
	if cold, warm := expected(false), expected(true); warm >= cold {
		t.Errorf("expected latency is %d ms with AssumeWarm, %d ms without", warm, cold)
	}
}

func TestRegionPlan(t *testing.T) {
	cases := map[string]struct {
		capacity map[string]float64
		want     map[string]float64
	}{
		"enough capacity":                 {map[string]float64{"a": 10, "b": 10, "c": 10}, map[string]float64{"a": 1}},
		"half is sent elsewhere":          {map[string]float64{"a": 5, "b": 10, "c": 15}, map[string]float64{"a": 0.5, "c": 0.5}},
		"in proportion to spare capacity": {map[string]float64{"a": 4, "b": 12, "c": 14}, map[string]float64{"a": 0.4, "b": 0.2, "c": 0.4}},
		"no servers in home region":       {map[string]float64{"b": 10, "c": 10}, map[string]float64{"b": 0.5, "c": 0.5}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newRegionPlan("a", []string{"a", "b", "c"}, c.capacity)
			for region := range c.capacity {
				if diff := p.weights[region] - c.want[region]; diff > 0.01 || diff < -0.01 {
					t.Errorf("%s gets %.2f, want %.2f", region, p.weights[region], c.want[region])
				}
			}
		})
	}
}
