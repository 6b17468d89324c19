package backend

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// FairQueue holds waiting items of several workspaces and hands them out by
	// deficit round robin, so that a workspace that floods the queue only
	// delays itself. It is not safe for concurrent use.
	FairQueue[T any] struct {
		config FairQueueConfig
		lanes  map[string]*lane[T]
		// ring holds the names of the lanes that have items, in turn order.
		ring []string
		size int
	}

	// FairQueueConfig configures a Queue.
	FairQueueConfig struct {
		// MaxItems bounds the queue.
		MaxItems int
		// MaxItemsPerWorkspace bounds the items of one workspace.
		MaxItemsPerWorkspace int
	}

	lane[T any] struct {
		weight  int
		deficit int
		fresh   bool
		items   []queued[T]
	}

	queued[T any] struct {
		value    T
		deadline clock.Millis
	}
)

// NewFairQueue returns an empty queue.
func NewFairQueue[T any](config FairQueueConfig) *FairQueue[T] {
	return &FairQueue[T]{config: config, lanes: make(map[string]*lane[T])}
}

// Len returns the number of items.
func (q *FairQueue[T]) Len() int {
	return q.size
}

// Push adds an item of a workspace. It reports whether there was room.
func (q *FairQueue[T]) Push(workspace string, weight int, deadline clock.Millis, value T) bool {
	l, ok := q.lanes[workspace]
	if q.size >= q.config.MaxItems || (ok && len(l.items) >= q.config.MaxItemsPerWorkspace) {
		return false
	}
	if !ok {
		l = &lane[T]{fresh: true}
		q.lanes[workspace] = l
		q.ring = append(q.ring, workspace)
	}
	l.weight = max(weight, 1)
	l.items = append(l.items, queued[T]{value: value, deadline: deadline})
	q.size++
	return true
}

// Pop removes the next item. Items whose deadline has passed go to expired,
// which may be nil.
func (q *FairQueue[T]) Pop(now clock.Millis, expired func(T)) (T, bool) {
	for len(q.ring) > 0 {
		l := q.lanes[q.ring[0]]
		q.dropExpired(l, now, expired)
		if len(l.items) == 0 {
			q.removeFirst()
			continue
		}
		if l.fresh {
			l.deficit += l.weight
			l.fresh = false
		}
		if l.deficit <= 0 {
			l.fresh = true
			q.ring = append(q.ring[1:], q.ring[0])
			continue
		}
		l.deficit--
		return q.take(l), true
	}
	var none T
	return none, false
}

func (q *FairQueue[T]) take(l *lane[T]) T {
	value := l.items[0].value
	l.items = l.items[1:]
	q.size--
	if len(l.items) == 0 {
		q.removeFirst()
	}
	return value
}

func (q *FairQueue[T]) dropExpired(l *lane[T], now clock.Millis, expired func(T)) {
	kept := l.items[:0]
	for _, item := range l.items {
		if item.deadline > now {
			kept = append(kept, item)
			continue
		}
		q.size--
		if expired != nil {
			expired(item.value)
		}
	}
	l.items = kept
}

func (q *FairQueue[T]) removeFirst() {
	delete(q.lanes, q.ring[0])
	q.ring = q.ring[1:]
}
