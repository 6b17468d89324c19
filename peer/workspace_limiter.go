package peer

import (
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/lending"
)

type (
	// workspaceLimiter holds one workspace's token ledger, the requests that
	// wait for a token, and the state of loan requests to peers.
	workspaceLimiter struct {
		workspace string
		clock     clock.Clock

		mu      sync.Mutex
		ledger  *lending.Ledger
		waiters []*waiter
		// serving is set while serveWaiters runs.
		serving bool
		// asks maps a peer's incarnation to the state of loan requests to it.
		asks map[string]askState
	}

	// waiter is a request that waits for a token until its deadline.
	waiter struct {
		deadline clock.Millis
		admitted chan bool
	}

	// askState tells when the next loan request may be sent to a peer.
	askState struct {
		running bool
		// nextAt applies to requests for new loans, not to renewals.
		nextAt  clock.Millis
		backOff clock.Millis
	}
)

const (
	waiterCheckInterval = 4 * time.Millisecond
	// maxWaiters bounds how many requests of one workspace wait for a token.
	maxWaiters = 64
)

// admit takes a token at once, or else queues the request. The channel delivers
// the result of the wait; it is nil if the request was admitted at once, the
// queue is full or the deadline has passed.
func (w *workspaceLimiter) admit(now, deadline clock.Millis) (admitted bool, wait <-chan bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.RecordRequest(now)
	if len(w.waiters) == 0 && w.ledger.Admit(now) {
		return true, nil
	}
	if len(w.waiters) >= maxWaiters || deadline <= now {
		return false, nil
	}
	waiting := &waiter{deadline: deadline, admitted: make(chan bool, 1)}
	w.waiters = append(w.waiters, waiting)
	if !w.serving {
		w.serving = true
		go w.serveWaiters()
	}
	return false, waiting.admitted
}

// serveWaiters admits the waiters in order of arrival until none is left.
func (w *workspaceLimiter) serveWaiters() {
	ticker := time.NewTicker(waiterCheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !w.admitWaiters(w.clock.Now()) {
			return
		}
	}
}

// admitWaiters answers the waiters at the head of the queue that are past their
// deadline or get a token. It reports whether any waiter is left.
func (w *workspaceLimiter) admitWaiters(now clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.waiters) > 0 {
		first := w.waiters[0]
		switch {
		case first.deadline <= now:
			first.admitted <- false
		case w.ledger.Admit(now):
			first.admitted <- true
		default:
			return true
		}
		w.waiters = w.waiters[1:]
	}
	w.serving = false
	return false
}

// beginAsk reports whether to send a peer a loan request now and, if so, marks
// the request as running. The caller holds the lock.
func (w *workspaceLimiter) beginAsk(now clock.Millis, peer string, needsMore, renewal bool) bool {
	ask := w.asks[peer]
	due := renewal || (needsMore && now >= ask.nextAt)
	if ask.running || !due {
		return false
	}
	ask.running = true
	w.asks[peer] = ask
	return true
}

// endAsk records the end of a loan request. The back-off doubles, up to
// maxAskBackOff, each time that a peer lends nothing. The caller holds the lock.
func (w *workspaceLimiter) endAsk(now clock.Millis, peer string, lent bool) {
	ask := w.asks[peer]
	ask.running = false
	ask.backOff = min(max(ask.backOff*2, minAskBackOff), maxAskBackOff)
	if lent {
		ask.backOff = minAskBackOff
	}
	ask.nextAt = now + ask.backOff
	w.asks[peer] = ask
}
