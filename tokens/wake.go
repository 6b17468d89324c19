package tokens

import "time"

// fetch exchanges messages with the owner of a workspace's bucket at once. If that is this
// instance, requests wait for its own bucket.
func (l *Limiter) fetch(workspace string) {
	now := l.config.Clock.Now()
	l.mu.Lock()
	tokens := l.tokensOf(now, workspace)
	address := l.ownerAddress(now, tokens)
	own := address == l.config.SelfAddress
	isWaking := own && tokens.waking
	tokens.waking = tokens.waking || own
	l.mu.Unlock()
	if !own {
		l.exchange(address, []string{workspace})
		return
	}
	if isWaking {
		return
	}
	time.Sleep(noPartPause.Duration())
	l.wakeWaiters(workspace)
}

// wakeWaiters wakes the requests that wait for this instance's own bucket.
func (l *Limiter) wakeWaiters(workspace string) {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens := l.tokensOf(now, workspace)
	tokens.waking = false
	tokens.pendingWaiters, tokens.waiters = append(tokens.pendingWaiters, tokens.waiters...), nil
	tokens.wakePending()
}
