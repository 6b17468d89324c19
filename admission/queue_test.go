package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"pgregory.net/rapid"
)

// drainQueue serves all entries in order and returns their values.
func drainQueue(q *Queue[string]) []string {
	var out []string
	for q.Len() > 0 {
		q.Dispatch(1, func(value string) bool { out = append(out, value); return true })
	}
	return out
}

// TestQueueOrder checks the order by priority, then by what workspaces have had, then by
// deadline. A wrong order would serve urgent requests after others, or let one workspace fill
// the capacity.
func TestQueueOrder(t *testing.T) {
	cases := map[string]struct {
		places []Place
		want   []string
	}{
		"urgent first": {
			places: []Place{{Priority: 2, Workspace: "a"}, {Priority: 0, Workspace: "a"}, {Priority: 1, Workspace: "b"}},
			want:   []string{"1", "2", "0"},
		},
		"least of its share first": {
			places: []Place{{Workspace: "a", Used: 2, Cost: 1}, {Workspace: "b", Used: 0.5, Cost: 1}},
			want:   []string{"1", "0"},
		},
		"workspaces take turns by their shares": {
			places: []Place{
				{Workspace: "a", Cost: 1, Deadline: 1}, {Workspace: "a", Cost: 1, Deadline: 2}, {Workspace: "a", Cost: 1, Deadline: 3},
				{Workspace: "b", Cost: 0.6, Deadline: 4}, {Workspace: "b", Cost: 0.6, Deadline: 5}, {Workspace: "b", Cost: 0.6, Deadline: 6},
			},
			want: []string{"0", "3", "4", "1", "5", "2"},
		},
		"least time left first": {
			places: []Place{{Workspace: "a", Deadline: 30}, {Workspace: "a", Deadline: 10}, {Workspace: "b", Deadline: 20}},
			want:   []string{"1", "2", "0"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := NewQueue[string](100)
			for i, p := range c.places {
				q.Push(p, fmt.Sprint(i))
			}
			if got := drainQueue(q); !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestFullQueueKeepsTheUrgent checks that a full queue turns away a request that is no more
// urgent than all others, and displaces one of the least urgent for one that is.
func TestFullQueueKeepsTheUrgent(t *testing.T) {
	q := NewQueue[string](2)
	q.Push(Place{Priority: 1, Workspace: "a"}, "first")
	q.Push(Place{Priority: 2, Workspace: "a"}, "second")
	if added, displaced := q.Push(Place{Priority: 2, Workspace: "b"}, "third"); added != nil || displaced != nil {
		t.Error("a request that is not more urgent was added to a full queue")
	}
	if _, displaced := q.Push(Place{Priority: 0, Workspace: "b"}, "fourth"); displaced == nil || displaced.Value != "second" {
		t.Error("the least urgent request was not displaced")
	}
	if got, want := drainQueue(q), []string{"fourth", "first"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestQueueNeverLosesRequests applies random operations and checks that each request leaves
// the queue exactly once, and the first one that is offered capacity is of the most urgent
// priority that waits.
func TestQueueNeverLosesRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := queueModel{queue: NewQueue[int](20), queued: make(map[int]*Entry[int])}
		for id := range rapid.IntRange(1, 120).Draw(t, "operations") {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				m.push(t, id)
			case 2:
				m.dispatch(t, rapid.IntRange(0, 3).Draw(t, "taker"))
			case 3:
				m.removeAny(t)
			}
			if m.queue.Len() != len(m.queued) {
				t.Fatalf("%d requests wait, want %d", m.queue.Len(), len(m.queued))
			}
		}
	})
}

// queueModel is a queue and what must be in it.
type queueModel struct {
	queue  *Queue[int]
	queued map[int]*Entry[int]
}

func (m *queueModel) leave(t *rapid.T, id int) {
	if m.queued[id] == nil {
		t.Fatalf("request %d left twice", id)
	}
	delete(m.queued, id)
}

func (m *queueModel) push(t *rapid.T, id int) {
	place := Place{Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Cost: 1, Deadline: clock.Millis(id)}
	place.Workspace = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
	added, displaced := m.queue.Push(place, id)
	if displaced != nil {
		m.leave(t, displaced.Value)
	}
	if added != nil {
		m.queued[id] = added
	}
}

// dispatch offers capacity to three requests, of which one takes it.
func (m *queueModel) dispatch(t *rapid.T, taker int) {
	first, tried := math.MaxInt, 0
	for _, e := range m.queued {
		first = min(first, e.class.priority)
	}
	m.queue.Dispatch(3, func(id int) bool {
		if tried == 0 && m.queued[id].class.priority != first {
			t.Fatalf("a request of priority %d was first, one of %d waits", m.queued[id].class.priority, first)
		}
		tried++
		if tried == taker {
			m.leave(t, id)
		}
		return tried == taker
	})
}

func (m *queueModel) removeAny(t *rapid.T) {
	for id, entry := range m.queued {
		if !m.queue.Remove(entry) || m.queue.Remove(entry) {
			t.Fatal("a queued entry was not removed exactly once")
		}
		m.leave(t, id)
		return
	}
}

// BenchmarkQueue measures one decision on who waits, the arrival of a request and the choice of
// the next one, with 10,000 requests waiting.
func BenchmarkQueue(b *testing.B) {
	const waiting = 10_000
	for name, workspaces := range map[string]int{"one workspace": 1, "75 workspaces": 75, "5000 workspaces": 5000} {
		b.Run(name, func(b *testing.B) {
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint("w", i)
			}
			c := NewController(nil)
			q := NewQueue[int](waiting + 1)
			push := func(i int) {
				now := clock.Millis(100_000 + i/10)
				r := Request{Service: "s", Route: "r", Workspace: names[i*7919%workspaces], Priority: i % 4, Objective: 500}
				c.Standing(now, r)
				q.Push(c.Place(now, r, now+clock.Millis(i*31%5000)), i)
			}
			for i := range waiting {
				push(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				push(waiting + i)
				q.Dispatch(1, func(int) bool { return true })
			}
		})
	}
}

// BenchmarkRequestWithRoom measures what the decisions cost a request that finds room at once.
func BenchmarkRequestWithRoom(b *testing.B) {
	c, room := NewController(nil), NewRoom[int](512)
	names := make([]string, 75)
	for i := range names {
		names[i] = fmt.Sprint("w", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		now := clock.Millis(100_000 + i)
		r := Request{Service: "s", Route: "r", Workspace: names[i%75], Priority: i % 4, Objective: 500}
		room.OfferAhead("s", r.Priority, func(int) bool { return false })
		standing := c.Standing(now, r)
		c.RecordArrival(now, r, standing, false)
		c.RecordSent(now, r, standing)
		c.RecordEnd(now, "s")
		room.Offer("s", 3, func(int) bool { return false })
	}
}
