package placement

import (
	"strings"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

// started returns three servers for each domain with a start time.
func started(startUnixMs int64) []Server {
	list := testServers(3)
	for i := range list {
		list[i].StartUnixMs = startUnixMs
	}
	return list
}

// receives reports whether any of many objects is sent to a server.
func (b *Balancer) receives(now clock.Millis, id string) bool {
	for object := uint64(1); object < 300; object++ {
		choice, refusal := b.Choose(now, testQuery(object))
		if refusal != nil {
			continue
		}
		b.Done(now, choice, Result{Outcome: Canceled})
		if choice.Server.ID == id {
			return true
		}
	}
	return false
}

// TestLeavingOutlastsLists checks that a server that has said that it leaves gets nothing
// more, whatever the lists say, until another start of it is listed.
func TestLeavingOutlastsLists(t *testing.T) {
	const leaver = "a1-0"
	without := func(list []Server) []Server { return list[1:] }
	cases := map[string]struct {
		// since is applied after the notice.
		since func(*Balancer)
		want  bool
	}{
		"nothing more":           {since: func(*Balancer) {}},
		"the same list":          {since: func(b *Balancer) { b.SetServers(10, started(5)) }},
		"an outage of the store": {since: func(b *Balancer) { b.SetServers(90_000, started(5)) }},
		"the entry lapses and is back": {since: func(b *Balancer) {
			b.SetServers(10, without(started(5)))
			b.SetServers(2500, started(5))
		}},
		"a changed fleet and an evacuation": {since: func(b *Balancer) {
			b.SetFleet(Fleet{Self: "i0", Members: []string{"i0"}})
			b.SetEvacuated(10, values.NewSet("b1"))
			b.SetEvacuated(20, values.NewSet[string]())
		}},
		"a late notice of an earlier start": {since: func(b *Balancer) {
			b.MarkLeaving(10, Departure{Incarnation: Incarnation{ID: leaver, StartUnixMs: 4}, Age: 60_000})
		}},
		"another start": {since: func(b *Balancer) { b.SetServers(10, started(6)) }, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancerOf(started(5))
			if !b.receives(5, leaver) {
				t.Fatal("the server gets nothing before its notice")
			}
			if !b.MarkLeaving(5, Departure{Incarnation: Incarnation{ID: leaver, StartUnixMs: 5}}) {
				t.Fatal("the notice is not news")
			}
			c.since(b)
			if got := b.receives(95_000, leaver); got != c.want {
				t.Errorf("the server gets requests: %v, want %v", got, c.want)
			}
		})
	}
}

// TestNoticeBeforeEntry checks that a peer's notice holds for a server that is listed only
// later, and that it is passed on only while the list does not show it.
func TestNoticeBeforeEntry(t *testing.T) {
	b := newTestBalancerOf(started(5)[1:])
	b.MarkLeaving(10, Departure{Incarnation: Incarnation{ID: "a1-0", StartUnixMs: 5}, Age: 500})
	if n := len(b.Departures(20)); n != 0 {
		t.Errorf("%d departures of servers that are not listed", n)
	}
	b.SetServers(20, started(5))
	if b.receives(9_000, "a1-0") {
		t.Error("a server that left gets requests")
	}
	departures := b.Departures(9_000)
	if len(departures) != 1 || departures[0].Age != 9_490 {
		t.Errorf("got departures %+v, want one of age 9,490 ms", departures)
	}
	list := started(5)
	list[0].Draining = true
	b.SetServers(9_040, list)
	if n := len(b.Departures(9_050)); n != 0 {
		t.Errorf("%d departures that the list shows already", n)
	}
}

// TestGoneServerIsTriedAgain checks that a server whose address another one answered at is
// tried again if the list keeps it: the answer may have been wrong.
func TestGoneServerIsTriedAgain(t *testing.T) {
	b := newTestBalancer(3)
	b.MarkGone(0, Incarnation{ID: "a1-0"})
	b.SetServers(1, testServers(3))
	if b.receives(goneTime-1, "a1-0") {
		t.Error("the server gets requests at once")
	}
	if !b.receives(goneTime, "a1-0") {
		t.Error("the server gets no requests later on")
	}
}

// TestMaySend checks the last look before a request is sent, at a server that was fine
// when it was chosen.
func TestMaySend(t *testing.T) {
	cases := map[string]struct {
		since func(*Balancer, Incarnation)
		want  bool
	}{
		"nothing happened": {since: func(*Balancer, Incarnation) {}, want: true},
		"it says that it leaves": {since: func(b *Balancer, i Incarnation) {
			b.MarkLeaving(10, Departure{Incarnation: i})
		}},
		"it asks for a pause":  {since: func(b *Balancer, i Incarnation) { b.Pause(10, i, 500) }},
		"it is listed no more": {since: func(b *Balancer, _ Incarnation) { b.SetServers(10, nil) }},
		"it started again":     {since: func(b *Balancer, _ Incarnation) { b.SetServers(10, started(6)) }},
		"it is listed as draining": {since: func(b *Balancer, i Incarnation) {
			list := started(5)
			for n := range list {
				list[n].Draining = list[n].ID == i.ID
			}
			b.SetServers(10, list)
		}},
		"its domain is evacuated": {since: func(b *Balancer, _ Incarnation) {
			b.SetEvacuated(10, values.NewSet("a1", "a2", "b1", "b2"))
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancerOf(started(5))
			choice, refusal := b.Choose(5, testQuery(7))
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			c.since(b, choice.Server.incarnation())
			if got := b.MaySend(20, choice); got != c.want {
				t.Errorf("MaySend: %v, want %v", got, c.want)
			}
		})
	}
}

// TestPause checks that a server that asked for a pause gets nothing until it has passed,
// then one request at a time and, step by step, as many as before.
func TestPause(t *testing.T) {
	b := newTestBalancer(3)
	b.warmUp(t, 1)
	i := Incarnation{ID: "a1-0"}
	if !b.Pause(1000, i, 3000) || b.Pause(1100, i, 500) {
		t.Fatal("want one pause that begins")
	}
	if b.receives(3999, i.ID) {
		t.Error("the server gets requests during its pause")
	}
	if !b.receives(4000, i.ID) {
		t.Error("the server gets no request after its pause")
	}
	most := func(now clock.Millis) int {
		n := b.notices[i]
		inFlight := 0
		for inFlight < 100 && !n.bars(now, inFlight, testSlots) {
			inFlight++
		}
		return inFlight
	}
	if early, middle, late := most(4000), most(4000+pauseRampTime*2/3), most(4000+pauseRampTime); early != 1 || middle != 2 || late != 100 {
		t.Errorf("%d, %d and %d requests at a time after the pause, want 1, 2 and no limit", early, middle, late)
	}
}

// TestRefusalCountsExclusions checks that a refusal without any server counts why.
func TestRefusalCountsExclusions(t *testing.T) {
	list := testServers(2)
	list[0].Draining = true
	b := newTestBalancerOf(list)
	b.SetEvacuated(0, values.NewSet("a2"))
	b.MarkLeaving(0, Departure{Incarnation: list[1].incarnation()})
	b.MarkGone(0, list[4].incarnation())
	b.servers[list[5].ID].recordFailure(0)
	q := testQuery(1)
	q.Exclude = values.NewSet(list[6].ID, list[7].ID)
	_, refusal := b.Choose(1, q)
	want := Exclusions{Counted: 8, NotAccepting: 3, Leaving: 1, Gone: 1, Tried: 2, Failing: 1}
	if refusal == nil || *refusal.Exclusions != want {
		t.Errorf("got refusal %+v, want one that counts %+v", refusal, want)
	}
}

// TestAllServersPause checks that requests are refused at once while all servers pause,
// with the time left as a guide and spread out, and that they are served again after that.
func TestAllServersPause(t *testing.T) {
	b := newTestBalancer(2)
	for n, s := range testServers(2) {
		b.Pause(1000, s.incarnation(), 4000+clock.Millis(n)*100)
	}
	delays := values.NewSet[clock.Millis]()
	for object := range uint64(50) {
		_, refusal := b.Choose(2000, testQuery(object+1))
		if refusal == nil || !strings.Contains(refusal.Reason, "pause") {
			t.Fatalf("got refusal %+v", refusal)
		}
		if refusal.RetryAfter < 3000 || refusal.RetryAfter > 4000 {
			t.Fatalf("retry after %d ms, want 3,000 to 4,000 ms", refusal.RetryAfter)
		}
		if refusal.Exclusions.Paused != refusal.Exclusions.Counted {
			t.Fatalf("the refusal counts %+v, want pauses only", refusal.Exclusions)
		}
		delays = delays.With(refusal.RetryAfter)
	}
	if delays.Len() < 10 {
		t.Errorf("50 callers return at %d times, want at least 10", delays.Len())
	}
	for object := range uint64(50) {
		choice, refusal := b.Choose(5000+pauseRampTime+1000, testQuery(object+1))
		if refusal != nil {
			t.Fatalf("refused after the pauses: %s", refusal.Reason)
		}
		b.Done(8000, choice, Result{Outcome: Canceled})
	}
}
