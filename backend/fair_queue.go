package backend

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// FairQueue queues items per workspace and schedules them by deficit round
	// robin, so that a workspace that floods the queue delays only itself. It is
	// not safe for concurrent use.
	FairQueue[T any] struct {
		config FairQueueConfig
		// queues holds the workspaces that have items, and active their names in
		// round-robin order.
		queues map[string]*workspaceQueue[T]
		active []string
		size   int
	}

	// FairQueueConfig configures a FairQueue.
	FairQueueConfig struct {
		// MaxItems limits the items of all workspaces together.
		MaxItems int
		// MaxItemsPerWorkspace limits the items of one workspace.
		MaxItemsPerWorkspace int
	}

	workspaceQueue[T any] struct {
		// weight is the quantum: the number of items served per round.
		weight  int
		deficit int
		// quantumDue is set while the quantum of the current round has not been
		// added to the deficit.
		quantumDue bool
		items      []queuedItem[T]
	}

	queuedItem[T any] struct {
		value    T
		deadline clock.Millis
	}
)

// NewFairQueue returns an empty queue.
func NewFairQueue[T any](config FairQueueConfig) *FairQueue[T] {
	return &FairQueue[T]{config: config, queues: make(map[string]*workspaceQueue[T])}
}

// Len returns the number of items, expired ones included.
func (q *FairQueue[T]) Len() int {
	return q.size
}

// Push appends an item to a workspace's queue and sets the workspace's weight. It
// returns false if a limit has been reached.
func (q *FairQueue[T]) Push(workspace string, weight int, deadline clock.Millis, value T) bool {
	w, ok := q.queues[workspace]
	if q.size >= q.config.MaxItems || (ok && len(w.items) >= q.config.MaxItemsPerWorkspace) {
		return false
	}
	if !ok {
		w = &workspaceQueue[T]{quantumDue: true}
		q.queues[workspace] = w
		q.active = append(q.active, workspace)
	}
	w.weight = max(weight, 1)
	w.items = append(w.items, queuedItem[T]{value: value, deadline: deadline})
	q.size++
	return true
}

// Pop removes and returns the next item. It passes expired items that it comes
// across to expired, which may be nil.
func (q *FairQueue[T]) Pop(now clock.Millis, expired func(T)) (T, bool) {
	for len(q.active) > 0 {
		w := q.queues[q.active[0]]
		q.dropExpired(w, now, expired)
		if len(w.items) == 0 {
			q.removeFirst()
			continue
		}
		if w.quantumDue {
			w.deficit += w.weight
			w.quantumDue = false
		}
		if w.deficit <= 0 {
			w.quantumDue = true
			q.active = append(q.active[1:], q.active[0])
			continue
		}
		w.deficit--
		return q.popItem(w), true
	}
	var none T
	return none, false
}

// popItem removes the first item of the first active workspace.
func (q *FairQueue[T]) popItem(w *workspaceQueue[T]) T {
	value := w.items[0].value
	w.items = w.items[1:]
	q.size--
	if len(w.items) == 0 {
		q.removeFirst()
	}
	return value
}

func (q *FairQueue[T]) dropExpired(w *workspaceQueue[T], now clock.Millis, expired func(T)) {
	kept := w.items[:0]
	for _, item := range w.items {
		if item.deadline > now {
			kept = append(kept, item)
			continue
		}
		q.size--
		if expired != nil {
			expired(item.value)
		}
	}
	w.items = kept
}

// removeFirst removes the first active workspace, and its deficit with it.
func (q *FairQueue[T]) removeFirst() {
	delete(q.queues, q.active[0])
	q.active = q.active[1:]
}
