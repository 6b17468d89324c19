package peer

import (
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/share"
)

type (
	// workspaceLimiter is one workspace's ledger and the requests that wait for a token.
	workspaceLimiter struct {
		workspace string
		clock     clock.Clock

		mu      sync.Mutex
		ledger  *share.Ledger
		waiters []*waiter
		serving bool
		asks    map[string]askState
	}

	waiter struct {
		deadline clock.Millis
		admitted chan bool
	}

	// askState is when a peer may be asked again.
	askState struct {
		running bool
		nextAt  clock.Millis
		backOff clock.Millis
	}
)

const (
	waiterCheckInterval = 4 * time.Millisecond
	// maxWaiters bounds the requests of one workspace that wait for a token.
	maxWaiters = 64
)

// admit takes a token at once, or enters the queue of those who wait for one.
// The channel yields the result; it is nil when the queue is full.
func (b *workspaceLimiter) admit(now, deadline clock.Millis) (admitted bool, wait <-chan bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Observe(now)
	if len(b.waiters) == 0 && b.ledger.Admit(now) {
		return true, nil
	}
	if len(b.waiters) >= maxWaiters || deadline <= now {
		return false, nil
	}
	waiting := &waiter{deadline: deadline, admitted: make(chan bool, 1)}
	b.waiters = append(b.waiters, waiting)
	if !b.serving {
		b.serving = true
		go b.serveWaiters()
	}
	return false, waiting.admitted
}

// serveWaiters serves the waiters in order until none is left.
func (b *workspaceLimiter) serveWaiters() {
	ticker := time.NewTicker(waiterCheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !b.admitWaiters(b.clock.Now()) {
			return
		}
	}
}

func (b *workspaceLimiter) admitWaiters(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiters) > 0 {
		first := b.waiters[0]
		switch {
		case first.deadline <= now:
			first.admitted <- false
		case b.ledger.Admit(now):
			first.admitted <- true
		default:
			return true
		}
		b.waiters = b.waiters[1:]
	}
	b.serving = false
	return false
}
