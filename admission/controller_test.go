package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

var (
	urgent  = Request{Service: "s", Route: "urgent", Workspace: "w", Priority: 0, Objective: 500}
	relaxed = Request{Service: "s", Route: "relaxed", Workspace: "w", Priority: 2, Objective: 2000}
)

func newTestController() *Controller {
	return NewController(rand.New(rand.NewPCG(1, 1)))
}

// arrive records requests of which none, or each, finds no room.
func arrive(c *Controller, now clock.Millis, r Request, count int, short bool) {
	for range count {
		c.RecordArrival(now, r, c.Standing(now, r), short)
	}
}

// TestShortageOfUrgentRequestsMakesOthersYield checks that less urgent requests give up
// capacity as soon as urgent ones find none, and get it back within the term of a level.
// Otherwise either the urgent ones are refused or the capacity stays idle.
func TestShortageOfUrgentRequestsMakesOthersYield(t *testing.T) {
	c := newTestController()
	now := 100 * clock.Second
	arrive(c, now, relaxed, 20, false)
	if s := c.Standing(now, relaxed); s.Yields || s.HasLevel {
		t.Fatalf("a request yields without a shortage: %+v", s)
	}
	arrive(c, now, urgent, 2, true)
	if s := c.Standing(now, relaxed); s.Yields {
		t.Errorf("requests yield to a type that needs less than they would leave: %+v", s)
	}
	arrive(c, now, urgent, 3, true)
	if s := c.Standing(now, relaxed); !s.Yields || s.QueueLimit != urgent.Objective/queueDivisor {
		t.Errorf("a less urgent request does not yield: %+v", s)
	}
	if s := c.Standing(now, urgent); s.Yields || s.QueueLimit != 0 {
		t.Errorf("an urgent request yields: %+v", s)
	}
	// Requests that yield find no room, which must not keep the level up.
	arrive(c, now+LevelTerm-1, relaxed, 50, true)
	if s := c.Standing(now+LevelTerm, relaxed); s.HasLevel {
		t.Errorf("the level lasts beyond its term: %+v", s)
	}
}

// TestSurgeOfOneWorkspace has one of several workspaces send seven times its usual rate, or
// all of them twice. Only the one, and none of the many, may count as beyond its share.
func TestSurgeOfOneWorkspace(t *testing.T) {
	cases := map[string]struct {
		factor func(workspace int) int
		over   int
	}{
		"as usual":                    {factor: func(int) int { return 1 }},
		"all send twice":              {factor: func(int) int { return 2 }},
		"one sends sevenfold":         {factor: func(w int) int { return 1 + 6*max(0, 1-w) }, over: 1},
		"the largest sends sevenfold": {factor: func(w int) int { return 1 + 6*max(0, w-8) }, over: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newShares(0)
			send := func(from, to clock.Millis, factor func(int) int) {
				for now := from; now < to; now += 100 {
					for w := range 10 {
						// Workspace w usually sends w+1 requests each two seconds.
						usual := (now/100)%20 <= clock.Millis(w)
						for range factor(w) * map[bool]int{true: 1}[usual] {
							name := fmt.Sprint(w)
							s.record(now, name, s.isOver(now, name, initialShare))
						}
					}
				}
			}
			send(0, 120*clock.Second, func(int) int { return 1 })
			send(120*clock.Second, 124*clock.Second, c.factor)
			over := 0
			for w := range 10 {
				if s.isOver(124*clock.Second, fmt.Sprint(w), initialShare) {
					over++
				}
			}
			if over != c.over {
				t.Errorf("%d workspaces count as beyond their share, want %d", over, c.over)
			}
		})
	}
}

// TestOverShareFillsLessOfTheQueues has a workspace send seven times its usual rate while its
// request type finds no room. Only this workspace's requests may be held out of servers'
// queues, and they must not keep the level up.
func TestOverShareFillsLessOfTheQueues(t *testing.T) {
	c := newTestController()
	request := func(workspace string) Request {
		return Request{Service: "s", Route: "r", Workspace: workspace, Objective: 800}
	}
	now := clock.Millis(0)
	for ; now < 60*clock.Second; now += 100 {
		for _, name := range []string{"a", "b", "c"} {
			for range 1 + 6*map[bool]int{true: 1}[name == "a" && now >= 57*clock.Second] {
				c.RecordSent(now, request(name), Standing{})
			}
		}
	}
	arrive(c, now, request("b"), 2, true)
	if s := c.Standing(now, request("a")); !s.Over || s.Yields || s.QueueLimit != 800/queueDivisor {
		t.Errorf("the workspace beyond its share has %+v", s)
	}
	if s := c.Standing(now, request("b")); s.Over || s.Yields || s.QueueLimit != 0 {
		t.Errorf("another workspace has %+v", s)
	}
	arrive(c, now+200, request("a"), 50, true)
	if s := c.Standing(now+LevelTerm, request("b")); s.HasLevel {
		t.Errorf("the level lasts beyond its term: %+v", s)
	}
}

// TestReturnsAreSpread refuses the callers of two priorities at once. They must come back
// spread over time, no faster than capacity is expected, the urgent ones first, and each
// within a third of its time. Otherwise all of them are refused again.
func TestReturnsAreSpread(t *testing.T) {
	c := newTestController()
	now := 100 * clock.Second
	for i := range 200 {
		c.RecordEnd(now-4*clock.Second+clock.Millis(i*20), "s")
	}
	const callers = 20
	const latest = 3 * clock.Second
	sum := map[int]clock.Millis{}
	arrivals := make([]int, latest/clock.Second+1)
	for i := range callers {
		for _, r := range []Request{relaxed, urgent} {
			back := c.Refuse(now, r, clock.Millis(i%3*50), latest)
			if back.After < clock.Millis(i%3*50) || back.After > latest {
				t.Fatalf("a caller is to return after %d ms", back.After)
			}
			sum[r.Priority] += back.After
			arrivals[back.After/clock.Second]++
		}
	}
	if sum[0]*3 > sum[2]*2 {
		t.Errorf("urgent callers return after %d ms, others after %d", sum[0]/callers, sum[2]/callers)
	}
	// Requests end at 50/s, of which returnPart is for those that return.
	if slices.Max(arrivals) > 18 {
		t.Errorf("%v callers return in each second", arrivals)
	}
}

// TestLevelsOfOthers checks what an instance takes in of others' levels: plausible ones that
// are not too old, of which the strictest holds, for no longer than their term counted from
// the shortage.
func TestLevelsOfOthers(t *testing.T) {
	const now = 100 * clock.Second
	level := func(priority int, share float64, age clock.Millis) ReportedLevel {
		return ReportedLevel{Service: "s", Level: Level{Priority: priority, Share: share}, Age: age}
	}
	cases := map[string]struct {
		own      bool
		reported []ReportedLevel
		at       clock.Millis
		yields   bool
	}{
		"no peer is heard":               {at: now},
		"only the own level":             {own: true, at: now, yields: true},
		"one of a peer":                  {reported: []ReportedLevel{level(1, 1, 100)}, at: now, yields: true},
		"halves differ, the strict wins": {reported: []ReportedLevel{level(1, 1, 0), level(3, 1, 0)}, at: now, yields: true},
		"its process has ended":          {reported: []ReportedLevel{level(1, 1, 1000)}, at: now + LevelTerm - 1000},
		"told again and again":           {reported: []ReportedLevel{level(1, 1, 1000), level(1, 1, 1900)}, at: now + LevelTerm - 1000},
		"too old":                        {reported: []ReportedLevel{level(1, 1, LevelTerm)}, at: now},
		"a negative age":                 {reported: []ReportedLevel{level(1, 1, -1)}, at: now},
		"a negative priority":            {reported: []ReportedLevel{level(-1, 1, 0)}, at: now},
		"a huge priority":                {reported: []ReportedLevel{level(math.MaxInt32, 1, 0)}, at: now},
		"no share":                       {reported: []ReportedLevel{level(1, 0, 0)}, at: now},
		"a share that is no number":      {reported: []ReportedLevel{level(1, math.NaN(), 0)}, at: now},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			controller := newTestController()
			if c.own {
				arrive(controller, now, urgent, 2, true)
			}
			for _, r := range c.reported {
				controller.Record(now, r)
			}
			if s := controller.Standing(c.at, relaxed); s.Yields != c.yields {
				t.Errorf("got %+v", s)
			}
		})
	}
}

// TestLevelsEndAmongInstances has two instances go on telling each other the level of a third
// that has ended, without knowing how long messages take. It must expire nevertheless.
func TestLevelsEndAmongInstances(t *testing.T) {
	now := 100 * clock.Second
	a, b := newTestController(), newTestController()
	a.Record(now, ReportedLevel{Service: "s", Level: Level{Priority: 0, Share: 1}})
	for until := now + LevelTerm; now < until; now += 50 {
		for _, pair := range [][2]*Controller{{a, b}, {b, a}} {
			for _, r := range pair[0].Levels(now) {
				pair[1].Record(now, r)
			}
		}
	}
	if len(a.Levels(now)) > 0 || len(b.Levels(now)) > 0 {
		t.Error("the level has not expired")
	}
}

// TestShareFollowsRefusals checks that a lasting shortage lowers the share of a level, down
// to its bound, and that room raises it.
func TestShareFollowsRefusals(t *testing.T) {
	c := newTestController()
	now := 100 * clock.Second
	shareAfter := func(seconds int, short bool) float64 {
		for range seconds * 10 {
			now += 100
			arrive(c, now, urgent, 2, short)
		}
		return c.Standing(now, urgent).Level.Share
	}
	if share := shareAfter(20, true); share != MinShare {
		t.Errorf("the share is %g after a long shortage, want %g", share, MinShare)
	}
	if share := shareAfter(2, false); share > MinShare+3*shareStep || share < MinShare {
		t.Errorf("the share is %g after two seconds with room", share)
	}
}
