package admission

import (
	"sync"
	"sync/atomic"
)

// Room holds the waiting requests of all services, each in its service's queue. It is safe for
// concurrent use. While nothing waits it takes no lock.
type Room[T any] struct {
	capacity int
	waiting  atomic.Int64

	mu     sync.Mutex
	queues map[string]*Queue[T]
}

// NewRoom returns a room for a number of requests to each service.
func NewRoom[T any](capacity int) *Room[T] {
	return &Room[T]{capacity: capacity, queues: make(map[string]*Queue[T])}
}

// Len returns the number of waiting requests.
func (r *Room[T]) Len() int {
	return int(r.waiting.Load())
}

// Enter adds a request to its service's queue, as Queue.Push does, and returns the number of
// requests that wait there.
func (r *Room[T]) Enter(service string, p Place, value T) (added, displaced *Entry[T], waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.queues[service]
	if !ok {
		q = NewQueue[T](r.capacity)
		r.queues[service] = q
	}
	added, displaced = q.Push(p, value)
	if added != nil && displaced == nil {
		r.waiting.Add(1)
	}
	return added, displaced, q.Len()
}

// Leave removes a request that stops waiting. It reports whether the request still waited;
// if not, it was offered capacity and took it, or was displaced.
func (r *Room[T]) Leave(service string, e *Entry[T]) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.queues[service].Remove(e) {
		return false
	}
	r.waiting.Add(-1)
	return true
}

// Offer offers a service's capacity to its first waiting requests, as Queue.Dispatch does. Try
// is called with the room locked.
func (r *Room[T]) Offer(service string, tries int, try func(T) bool) {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if q, ok := r.queues[service]; ok {
		r.waiting.Add(-int64(q.Dispatch(tries, try)))
	}
}

// OfferAhead is like Offer for the first request, if one of a priority that arrives now comes
// after it.
func (r *Room[T]) OfferAhead(service string, priority int, try func(T) bool) {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.queues[service]
	if !ok {
		return
	}
	if first := q.First(); first != nil && first.class.priority <= priority {
		r.waiting.Add(-int64(q.Dispatch(1, try)))
	}
}

// OfferAll is like Offer for every service.
func (r *Room[T]) OfferAll(tries int, try func(T) bool) {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.queues {
		r.waiting.Add(-int64(q.Dispatch(tries, try)))
	}
}
