package admission

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Queue orders waiting requests by priority, then fairly over workspaces, then by
	// deadline. Among workspaces it is a start-time fair queue: the next request is that of
	// the workspace which has had the least of its share. Every operation takes time
	// logarithmic in the number of waiting requests. It is not safe for concurrent use.
	Queue[T any] struct {
		capacity int
		size     int
		// classes are sorted by priority. Those without requests are kept: there are only
		// as many as the configuration has priorities.
		classes []*class[T]
	}

	// Entry is a waiting request.
	Entry[T any] struct {
		Value T

		deadline clock.Millis
		class    *class[T]
		flow     *flow[T]
		// index is the entry's place in the flow's heap; -1 while it is not queued.
		index int
	}

	// Place determines where a request waits.
	Place struct {
		// Priority is the request's priority; 0 is the most urgent.
		Priority  int
		Workspace string
		// Used is what the workspace has had lately in relation to its share.
		Used float64
		// Cost is how much one request more adds to Used.
		Cost float64
		// Deadline is when the request's time ends.
		Deadline clock.Millis
	}

	// class holds the waiting requests of one priority.
	class[T any] struct {
		priority    int
		flows       flowHeap[T]
		byWorkspace map[string]*flow[T]
	}

	// flow holds the waiting requests of one workspace and priority.
	flow[T any] struct {
		workspace string
		used      float64
		cost      float64
		entries   entryHeap[T]
		index     int
	}

	flowHeap[T any]  []*flow[T]
	entryHeap[T any] []*Entry[T]
)

// NewQueue returns an empty queue for a number of requests.
func NewQueue[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return q.size
}

// Push adds a request. If the queue is full, it displaces a request of the least urgent
// priority, which is returned, if that is less urgent; otherwise the request is not added and
// the returned entry is nil.
func (q *Queue[T]) Push(p Place, value T) (added, displaced *Entry[T]) {
	if q.size >= q.capacity {
		displaced = q.last()
		if displaced.class.priority <= p.Priority {
			return nil, nil
		}
		q.Remove(displaced)
	}
	c := q.class(p.Priority)
	f, ok := c.byWorkspace[p.Workspace]
	if !ok {
		f = &flow[T]{workspace: p.Workspace, used: p.Used}
	}
	f.cost = p.Cost
	added = &Entry[T]{Value: value, deadline: p.Deadline, class: c, flow: f}
	q.Return(added)
	return added, displaced
}

// First returns the first entry, or nil if none waits.
func (q *Queue[T]) First() *Entry[T] {
	for _, c := range q.classes {
		if len(c.flows) > 0 {
			return c.flows[0].entries[0]
		}
	}
	return nil
}

// Remove removes an entry and reports whether it was in the queue.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.index < 0 {
		return false
	}
	f, c := e.flow, e.class
	heap.Remove(&f.entries, e.index)
	q.size--
	if len(f.entries) > 0 {
		heap.Fix(&c.flows, f.index)
		return true
	}
	heap.Remove(&c.flows, f.index)
	delete(c.byWorkspace, f.workspace)
	return true
}

// Return puts an entry back that was removed and not served, in its place.
func (q *Queue[T]) Return(e *Entry[T]) {
	c := e.class
	if known, ok := c.byWorkspace[e.flow.workspace]; ok {
		e.flow = known
		heap.Push(&known.entries, e)
		heap.Fix(&c.flows, known.index)
	} else {
		c.byWorkspace[e.flow.workspace] = e.flow
		heap.Push(&e.flow.entries, e)
		heap.Push(&c.flows, e.flow)
	}
	q.size++
}

// Charge counts a request of the entry's workspace as served, so that others come before its
// next one.
func (q *Queue[T]) Charge(e *Entry[T]) {
	if f, ok := e.class.byWorkspace[e.flow.workspace]; ok {
		f.used += f.cost
		heap.Fix(&e.class.flows, f.index)
	}
}

// Dispatch offers capacity to up to a number of requests in their order. Those that take it,
// for which try returns true, are removed and charged to their workspaces. It returns how many
// did.
func (q *Queue[T]) Dispatch(tries int, try func(T) bool) int {
	taken := 0
	var passed []*Entry[T]
	for range min(tries, q.size) {
		e := q.First()
		q.Remove(e)
		if try(e.Value) {
			q.Charge(e)
			taken++
		} else {
			passed = append(passed, e)
		}
	}
	for _, e := range passed {
		q.Return(e)
	}
	return taken
}

// class returns the class of a priority.
func (q *Queue[T]) class(priority int) *class[T] {
	at, found := slices.BinarySearchFunc(q.classes, priority, func(c *class[T], priority int) int { return cmp.Compare(c.priority, priority) })
	if !found {
		q.classes = slices.Insert(q.classes, at, &class[T]{priority: priority, byWorkspace: make(map[string]*flow[T])})
	}
	return q.classes[at]
}

// last returns one of the entries that would be served last: the last leaves of the heaps of
// the least urgent priority. The queue must not be empty.
func (q *Queue[T]) last() *Entry[T] {
	for i := len(q.classes) - 1; ; i-- {
		if flows := q.classes[i].flows; len(flows) > 0 {
			entries := flows[len(flows)-1].entries
			return entries[len(entries)-1]
		}
	}
}

// Len implements heap.Interface.
func (h flowHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].used != h[j].used {
		return h[i].used < h[j].used
	}
	return h[i].entries[0].deadline < h[j].entries[0].deadline
}

// Swap implements heap.Interface.
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}

// Len implements heap.Interface.
func (h entryHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h entryHeap[T]) Less(i, j int) bool { return h[i].deadline < h[j].deadline }

// Swap implements heap.Interface.
func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap[T]) Push(x any) {
	e := x.(*Entry[T])
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.index = -1
	return e
}
