package emulator

import (
	"container/heap"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// eventQueue runs events on a simulated clock, in the order of their times.
	// Events of the same time run in the order in which they were scheduled.
	eventQueue struct {
		pending      eventHeap
		lastSequence int
		// now is the simulated time.
		now clock.Millis
	}

	// event is a function to be called at a simulated time.
	event struct {
		at       clock.Millis
		sequence int
		run      func()
	}

	// eventHeap implements heap.Interface.
	eventHeap []event
)

// schedule adds an event that runs after a delay.
func (e *eventQueue) schedule(delay clock.Millis, run func()) {
	e.lastSequence++
	heap.Push(&e.pending, event{at: e.now + delay, sequence: e.lastSequence, run: run})
}

// run processes events until none is left.
func (e *eventQueue) run() {
	for len(e.pending) > 0 {
		next := heap.Pop(&e.pending).(event)
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
	return h[i].sequence < h[j].sequence
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
