package tokens

import (
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
)

// waiter is a request that waits for a token. The Limiter's lock guards it.
type waiter struct {
	// woken is closed when the request is to try again.
	woken chan struct{}
	// hasToken is set if a token was taken for the request when it was woken. Otherwise one
	// that arrives before it tries again could take the token.
	hasToken bool
}

// take takes a token that was fetched or, if there is none, one of this instance's own bucket,
// and reports whether it got one.
func (t *workspaceTokens) take(now clock.Millis) bool {
	return t.Spend() || t.bucket.Take(now, 1) >= 1
}

// addWaiter returns the waiter of a request that begins to wait.
func (t *workspaceTokens) addWaiter() *waiter {
	added := &waiter{woken: make(chan struct{})}
	t.waiters = append(t.waiters, added)
	return added
}

// removeWaiter removes the waiter of a request that waits no longer, so that no token is taken
// for it.
func (t *workspaceTokens) removeWaiter(removed *waiter) {
	isRemoved := func(w *waiter) bool { return w == removed }
	t.waiters = slices.DeleteFunc(t.waiters, isRemoved)
	t.pendingWaiters = slices.DeleteFunc(t.pendingWaiters, isRemoved)
}

// keepPending has the requests that wait for the exchange that has ended wait for the next.
func (t *workspaceTokens) keepPending() {
	t.waiters, t.pendingWaiters = append(t.pendingWaiters, t.waiters...), nil
}

// wakeFirst wakes up to a number of the requests that wait for the exchange that has ended, in
// the order of their arrival. Those for which there is a fetched token get it.
func (t *workspaceTokens) wakeFirst(count int) {
	for ; count > 0 && len(t.pendingWaiters) > 0; count-- {
		first := t.pendingWaiters[0]
		first.hasToken = t.Spend()
		close(first.woken)
		t.pendingWaiters = t.pendingWaiters[1:]
	}
}

// wakePending wakes the requests that wait for the exchange that has ended.
func (t *workspaceTokens) wakePending() {
	t.wakeFirst(len(t.pendingWaiters))
	t.pendingWaiters = nil
}
