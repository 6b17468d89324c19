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
		// loanRequests maps a peer's incarnation to the state of loan requests to it.
		loanRequests map[string]loanRequestState
	}

	// waiter is a request that waits for a token until its deadline.
	waiter struct {
		deadline clock.Millis
		admitted chan bool
	}

	// loanRequestState tells when the next loan request may be sent to a peer.
	loanRequestState struct {
		running bool
		// nextAt applies to requests for new loans, not to extensions.
		nextAt  clock.Millis
		backoff clock.Millis
	}
)

const (
	waiterCheckInterval = 4 * time.Millisecond
	// maxWaiters limits how many requests of one workspace wait for a token.
	maxWaiters = 64
)

// admit takes a token if there is one, and otherwise queues the request. The
// channel delivers the result of the wait; it is nil if the request was admitted at
// once, the queue is full or the deadline has passed.
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

// admitWaiters removes waiters from the head of the queue while there are tokens
// for them or their deadlines have passed. It reports whether any waiter is left.
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

// beginLoanRequest reports whether to send a peer a loan request now and, if so,
// marks the request as running. An extension need not wait for the backoff. The
// caller must hold the lock.
func (w *workspaceLimiter) beginLoanRequest(now clock.Millis, peer string, needsMore, extension bool) bool {
	state := w.loanRequests[peer]
	due := extension || (needsMore && now >= state.nextAt)
	if state.running || !due {
		return false
	}
	state.running = true
	w.loanRequests[peer] = state
	return true
}

// endLoanRequest records the end of a loan request. The backoff doubles, up to
// maxLoanBackoff, each time that a peer lends nothing. The caller must hold the
// lock.
func (w *workspaceLimiter) endLoanRequest(now clock.Millis, peer string, lent bool) {
	state := w.loanRequests[peer]
	state.running = false
	state.backoff = min(max(state.backoff*2, minLoanBackoff), maxLoanBackoff)
	if lent {
		state.backoff = minLoanBackoff
	}
	state.nextAt = now + state.backoff
	w.loanRequests[peer] = state
}
