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

// newTestTable returns a table at domain a1 with some servers in each domain.
func newTestTable(perDomain int) *Balancer {
	t := NewBalancer(BalancerConfig{FailureDomain: "a1", Region: "a", Regions: []string{"a", "b"}, ColdOverage: 1.5, ColdSlack: 5})
	t.SetServices(map[string]routing.Service{testService: {Name: testService, MaxConnections: 100, ColdStart: 3000, ColdRatePerS: 6}})
	t.SetFleet(Fleet{Self: "i0", Members: []string{"i0", "i1", "i2"}})
	t.SetServers(0, testServers(perDomain))
	return t
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

func TestChooseLeavesOut(t *testing.T) {
	cases := map[string]struct {
		prepare func(*Balancer)
		query   func(*Query)
		never   func(Server) bool
	}{
		"draining servers": {
			prepare: func(t *Balancer) {
				list := testServers(3)
				list[0].Draining = true
				t.SetServers(0, list)
			},
			never: func(s Server) bool { return s.ID == "a1-0" },
		},
		"servers that went": {
			prepare: func(t *Balancer) { t.SetServers(0, testServers(3)[1:]) },
			never:   func(s Server) bool { return s.ID == "a1-0" },
		},
		"evacuated domains": {
			prepare: func(t *Balancer) { t.SetEvacuated(0, values.NewSet("a1", "b2")) },
			never:   func(s Server) bool { return s.FailureDomain == "a1" || s.FailureDomain == "b2" },
		},
		"regions that are not homes": {
			query: func(q *Query) { q.RegionAllowed = func(region string) bool { return region == "b" } },
			never: func(s Server) bool { return s.Region == "a" },
		},
		"servers tried before": {
			query: func(q *Query) { q.Exclude = values.NewSet("a1-0", "a1-1") },
			never: func(s Server) bool { return s.ID == "a1-0" || s.ID == "a1-1" },
		},
		"misdirected servers": {
			prepare: func(t *Balancer) { t.MarkDraining("a1-2") },
			never:   func(s Server) bool { return s.ID == "a1-2" },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTestTable(3)
			if c.prepare != nil {
				c.prepare(table)
			}
			for object := uint64(1); object < 300; object++ {
				q := testQuery(object)
				if c.query != nil {
					c.query(&q)
				}
				choice, refusal := table.Choose(0, q)
				if refusal != nil {
					t.Fatalf("object %d: %s", object, refusal.Reason)
				}
				if c.never(choice.Server) {
					t.Fatalf("object %d went to %s", object, choice.Server.ID)
				}
				table.Done(0, choice, Result{Outcome: Answered})
			}
		})
	}
}

// TestObjectsStay checks that an object keeps its server and that the loss of a
// server moves the objects of that server only.
func TestObjectsStay(t *testing.T) {
	place := func(table *Balancer, object uint64) string {
		choice, refusal := table.Choose(100, testQuery(object))
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		table.Done(100, choice, Result{Outcome: GivenUp})
		return choice.Server.ID
	}
	before := newTestTable(4)
	after := newTestTable(4)
	after.MarkDraining("a1-0")
	for object := uint64(1); object < 500; object++ {
		was, is := place(before, object), place(after, object)
		if was != "a1-0" && was != is {
			t.Fatalf("object %d moved from %s to %s", object, was, is)
		}
	}
}

// warmUp has an object's requests answered one after the other, as quickly as
// half the objective.
func (t *Balancer) warmUp(tb testing.TB, object uint64) {
	for range 10 {
		choice, refusal := t.Choose(10, testQuery(object))
		if refusal != nil {
			tb.Fatal(refusal.Reason)
		}
		t.Done(160, choice, Result{Outcome: Answered})
	}
}

// TestFullServersRefuse fills the servers: beyond the objective, requests are
// refused at once instead of waiting, and a caller that has come back is not.
func TestFullServersRefuse(t *testing.T) {
	table := newTestTable(1)
	table.warmUp(t, 7)
	refused := 0
	for range 200 {
		choice, refusal := table.Choose(10, testQuery(7))
		if refusal == nil {
			if choice.ExpectedLatency > 300 && choice.record.load(10) > testSlots {
				t.Fatalf("waits for %d ms with an objective of 300", choice.ExpectedLatency)
			}
			continue
		}
		refused++
		if refusal.RetryAfter <= 0 {
			t.Fatal("the refusal does not say when to come back")
		}
	}
	if refused == 0 {
		t.Fatal("nothing was refused")
	}
	again := testQuery(7)
	again.LatencyLimit = again.TimeLeft
	if _, refusal := table.Choose(10, again); refusal != nil {
		t.Fatalf("a caller that has come back was refused: %s", refusal.Reason)
	}
}

// TestGuessedTimesRefuseNothing has as many requests arrive at a fresh instance as
// the servers have slots: while it has seen no answer, it does not know that
// waiting takes too long.
func TestGuessedTimesRefuseNothing(t *testing.T) {
	table := newTestTable(2)
	var choices []*Choice
	for object := range uint64(2 * 4 * testSlots) {
		choice, refusal := table.Choose(10, testQuery(object%5+1))
		if refusal != nil {
			t.Fatalf("request %d was refused: %s", object, refusal.Reason)
		}
		choices = append(choices, choice)
	}
	for _, choice := range choices {
		table.Done(160, choice, Result{Outcome: Answered})
	}
	table.warmUp(t, 1)
	refused := false
	for range 50 * testSlots {
		_, refusal := table.Choose(160, testQuery(1))
		refused = refused || refusal != nil
	}
	if !refused {
		t.Fatal("nothing was refused by an instance that knows how long requests take")
	}
}

// TestFreeSlotsRelieve has an object's servers filled up: while others of the
// region have free slots and answer within the objective, none waits, none is
// refused and none leaves the region.
func TestFreeSlotsRelieve(t *testing.T) {
	table := newTestTable(2)
	for object := range uint64(100) {
		table.warmUp(t, object)
	}
	table.copiesOf(10, testService).count = copiesPerRegion
	region := ""
	for n := range 2 * 2 * testSlots {
		choice, refusal := table.Choose(10, testQuery(7))
		if refusal != nil {
			t.Fatalf("request %d was refused: %s", n, refusal.Reason)
		}
		if region == "" {
			region = choice.Server.Region
		}
		if choice.Server.Region != region {
			t.Fatalf("request %d moves from region %s to %s", n, region, choice.Server.Region)
		}
		if load := choice.record.load(10); load > testSlots {
			t.Fatalf("request %d is one of %d on the %d slots of server %s", n, load, testSlots, choice.Server.ID)
		}
	}
}

// TestColdServersAreSpared has all instances of a fleet send to a server that
// has just started, as fast as they may, at random times: in no second does it
// get more than its limit.
func TestColdServersAreSpared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "instances")
		names := make([]string, count)
		for i := range names {
			names[i] = fmt.Sprintf("instance-%d", i)
		}
		tables := make([]*Balancer, count)
		for i := range tables {
			tables[i] = NewBalancer(BalancerConfig{FailureDomain: "a1", Region: "a", Regions: []string{"a", "b"}, ColdOverage: 1.5, ColdSlack: 5})
			tables[i].SetServices(map[string]routing.Service{testService: {ColdStart: 3000, ColdRatePerS: 6.6}})
			tables[i].SetFleet(Fleet{Self: names[i], Members: names})
			tables[i].SetServers(0, []Server{{ID: "old", Service: testService, FailureDomain: "a2", Region: "a", Slots: 3}})
			tables[i].SetServers(1000, []Server{{ID: "new", Service: testService, FailureDomain: "a1", Region: "a", Slots: 1000}})
		}
		var sent []clock.Millis
		for now := clock.Millis(1000); now < 4000; now += clock.Millis(rapid.IntRange(1, 60).Draw(t, "pause")) {
			for _, table := range tables {
				if choice, refusal := table.Choose(now, testQuery(0)); refusal == nil {
					sent = append(sent, now)
					table.Done(now, choice, Result{Outcome: Answered})
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

// TestGreyServersComeBack has all servers but one fail for a while: afterwards
// they get their objects again, though nothing was sent to them meanwhile.
func TestGreyServersComeBack(t *testing.T) {
	table := newTestTable(3)
	var now clock.Millis
	spread := func(outcome func(Server) Outcome) int {
		used := make(map[string]struct{})
		for object := uint64(1); object < 200; object++ {
			now += 5
			choice, refusal := table.Choose(now, testQuery(object))
			if refusal != nil {
				continue
			}
			used[choice.Server.ID] = struct{}{}
			table.Done(now+1, choice, Result{Outcome: outcome(choice.Server)})
		}
		return len(used)
	}
	good := func(Server) Outcome { return Answered }
	before := spread(good)
	for range 10 {
		spread(func(s Server) Outcome {
			if s.ID == "a1-0" {
				return Answered
			}
			return Failed
		})
	}
	now += 5 * clock.Second
	if after := spread(good); after < before {
		t.Errorf("%d servers are used after the trouble, %d before", after, before)
	}
}

// TestServersOfARunningFleetAreWarm compares what a first process and one that
// joins a running fleet expect of a server: only the first one's is cold.
func TestServersOfARunningFleetAreWarm(t *testing.T) {
	expected := func(used bool) clock.Millis {
		table := NewBalancer(BalancerConfig{FailureDomain: "a1", Region: "a", Regions: []string{"a"}, AssumeWarm: used})
		table.SetServers(10*clock.Second, testServers(1)[:1])
		choice, refusal := table.Choose(10*clock.Second, testQuery(1))
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		return choice.ExpectedLatency
	}
	if fresh, used := expected(false), expected(true); used >= fresh {
		t.Errorf("a used server is expected to answer in %d ms, a fresh one in %d ms", used, fresh)
	}
}

func TestPlan(t *testing.T) {
	cases := map[string]struct {
		capacity map[string]float64
		want     map[string]float64
	}{
		"room for all":         {map[string]float64{"a": 10, "b": 10, "c": 10}, map[string]float64{"a": 1}},
		"a half goes abroad":   {map[string]float64{"a": 5, "b": 10, "c": 15}, map[string]float64{"a": 0.5, "c": 0.5}},
		"in parts of the room": {map[string]float64{"a": 4, "b": 12, "c": 14}, map[string]float64{"a": 0.4, "b": 0.2, "c": 0.4}},
		"no servers at home":   {map[string]float64{"b": 10, "c": 10}, map[string]float64{"b": 0.5, "c": 0.5}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPlan("a", []string{"a", "b", "c"}, c.capacity)
			for region := range c.capacity {
				if diff := p.weights[region] - c.want[region]; diff > 0.01 || diff < -0.01 {
					t.Errorf("%s gets %.2f, want %.2f", region, p.weights[region], c.want[region])
				}
			}
		})
	}
}
