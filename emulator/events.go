package emulator

import (
	"container/heap"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// events are what is to happen, in the order of time; of what happens at one
	// time, what was planned first comes first.
	events struct {
		list  eventHeap
		count int
		now   clock.Millis
	}

	event struct {
		at     clock.Millis
		number int
		run    func()
	}

	eventHeap []event
)

// after plans something.
func (e *events) after(span clock.Millis, run func()) {
	e.count++
	heap.Push(&e.list, event{at: e.now + span, number: e.count, run: run})
}

// run lets everything happen.
func (e *events) run() {
	for len(e.list) > 0 {
		next := heap.Pop(&e.list).(event)
		e.now = next.at
		next.run()
	}
}

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
