package tokens

import "github.com/bulrushferry/bulrushferry/clock"

// serve has a request arrive, which may wait for a token.
func (i *modelInstance) serve() {
	limiter, arrivedAt := i.limiter, i.fleet.now
	var waiting *waiter
	i.record(arrivedAt, nil, func() (admitted bool) {
		admitted, waiting = limiter.takeOrWait(modelWorkspace)
		return admitted
	}, &waiting)
	if waiting == nil {
		return
	}
	i.await(waiting, i.fleet.now+limiter.tokenWait(), arrivedAt)
}

// await has a request wait until it is woken or has waited for long enough, as Limiter.Admit
// does, unless the process ends before.
func (i *modelInstance) await(waiting *waiter, until, arrivedAt clock.Millis) {
	f, limiter := i.fleet, i.limiter
	i.fetch()
	var look func()
	look = func() {
		if i.limiter != limiter || !i.up {
			return
		}
		isWoken := false
		select {
		case <-waiting.woken:
			isWoken = true
		default:
		}
		switch {
		case f.now < i.pausedUntil || (!isWoken && f.now < until):
			f.at(f.now+modelStep, look)
		case f.now >= until:
			i.record(arrivedAt, waiting, func() bool { return limiter.takeAtLast(modelWorkspace, waiting) }, nil)
		default:
			var again *waiter
			i.record(arrivedAt, waiting, func() (admitted bool) {
				admitted, again = limiter.takeOrWaitAgain(modelWorkspace, waiting)
				return admitted
			}, &again)
			if again != nil {
				i.await(again, until, arrivedAt)
			}
		}
	}
	look()
}

// fetch asks the owner of the bucket for tokens, as Limiter.fetch does.
func (i *modelInstance) fetch() {
	limiter := i.limiter
	address := limiter.ownerAddress(i.Now(), limiter.tokensOf(i.Now(), modelWorkspace))
	if address != i.name {
		i.exchange(address, []string{modelWorkspace})
		return
	}
	i.fleet.at(i.fleet.now+noPartPause, func() { limiter.wakeWaiters(modelWorkspace) })
}

// record counts whether a request gets a token, and whether that one was given out by this
// instance's own bucket. The request may have waited before. One that waits is not counted yet.
func (i *modelInstance) record(arrivedAt clock.Millis, before *waiter, take func() bool, next **waiter) {
	held := i.limiter.tokensOf(i.Now(), modelWorkspace).Tokens()
	admitted := take()
	isFetched := before != nil && before.hasToken
	isCounted := arrivedAt >= i.fleet.countFrom
	switch {
	case admitted:
		if isCounted {
			i.fleet.admitted++
		}
		if !isFetched && i.limiter.workspaces[modelWorkspace].Tokens() == held {
			i.fleet.give(1)
		}
	case (next == nil || *next == nil) && isCounted:
		i.fleet.refused++
	}
}
