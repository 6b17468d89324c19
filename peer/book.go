package peer

import (
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/lending"
)

type (
	// book is one workspace's ledger and the requests that wait for a token.
	book struct {
		workspace string
		clock     clock.Clock

		mu      sync.Mutex
		ledger  *lending.Ledger
		waiters []*waiter
		pumping bool
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
	pumpInterval = 4 * time.Millisecond
	// maxWaiters bounds the requests of one workspace that wait for a token.
	maxWaiters = 64
)

// admit takes a token at once, or enters the queue of those who wait for one.
// The channel yields the result; it is nil when the queue is full.
func (b *book) admit(now, deadline clock.Millis) (admitted bool, wait <-chan bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.RecordRequest(now)
	if len(b.waiters) == 0 && b.ledger.Admit(now) {
		return true, nil
	}
	if len(b.waiters) >= maxWaiters || deadline <= now {
		return false, nil
	}
	w := &waiter{deadline: deadline, admitted: make(chan bool, 1)}
	b.waiters = append(b.waiters, w)
	if !b.pumping {
		b.pumping = true
		go b.pump()
	}
	return false, w.admitted
}

// pump serves the waiters in order until none is left.
func (b *book) pump() {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !b.pumpOnce(b.clock.Now()) {
			return
		}
	}
}

func (b *book) pumpOnce(now clock.Millis) bool {
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
	b.pumping = false
	return false
}
