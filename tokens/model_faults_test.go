package tokens

import "github.com/bulrushferry/bulrushferry/clock"

// stop plans a graceful stop and the start of a new process after it.
func (f *modelFleet) stop(i *modelInstance) {
	if !i.up || i.stoppingAt > 0 {
		return
	}
	i.stoppingAt = f.now
	delete(i.running, i.name)
	f.spread(i.name, false)
	f.at(f.now+3*clock.Second, func() {
		i.gaveUpAt = f.now
		if f.now >= i.pausedUntil {
			i.inform(i.limiter.Refresh())
		}
	})
	f.at(f.now+4*clock.Second, func() {
		i.up, i.isPartFree = false, i.limiter.lessor.IsFree()
		f.at(f.now+clock.Millis(100+f.random.IntN(2000)), func() { f.restart(i) })
	})
}

// kill ends a process, and starts a new one after a while.
func (f *modelFleet) kill(i *modelInstance) {
	if !i.up || i.stoppingAt > 0 {
		return
	}
	i.up = false
	f.spread(i.name, false)
	f.at(f.now+clock.Millis(100+f.random.IntN(4000)), func() { f.restart(i) })
}

// restart starts a new process, which others learn of once it may use its part.
func (f *modelFleet) restart(i *modelInstance) {
	i.start()
	limiter := i.limiter
	f.at(i.partFrom-i.offset, func() {
		if i.limiter == limiter && i.up && i.stoppingAt == 0 {
			i.see(i)
			f.spread(i.name, true)
		}
	})
}

// disturb schedules random stops, kills, pauses and changed views.
func (f *modelFleet) disturb(length clock.Millis) {
	for at := f.now; at < f.now+length; at += clock.Millis(100 + f.random.IntN(1500)) {
		i := f.instances[f.random.IntN(len(f.instances))]
		switch f.random.IntN(4) {
		case 0:
			f.at(at, func() { f.stop(i) })
		case 1:
			f.at(at, func() { f.kill(i) })
		case 2:
			f.at(at, func() { i.pausedUntil = f.now + clock.Millis(f.random.IntN(4000)) })
		default:
			other := f.instances[f.random.IntN(len(f.instances))]
			f.at(at, func() { delete(i.running, other.name) })
			f.at(at+clock.Millis(f.random.IntN(5000)), func() { i.running[other.name] = other.up })
		}
	}
}
