package steering

import (
	"fmt"
	"math/rand/v2"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

type (
	// modelFleet runs the rate limiters of a fleet on a simulated clock, with messages that
	// are delayed, overtake one another and are lost, clocks that differ, and views of the
	// fleet that lag and differ.
	modelFleet struct {
		random    *rand.Rand
		limit     quota.Limit
		now       clock.Millis
		instances []*modelInstance
		// lossPercent and latePercent are the percentages of messages that are lost, and
		// that are late by up to three seconds, each way.
		lossPercent, latePercent int
		// events holds what is due, by time.
		events map[clock.Millis][]func()
		// level is that of a bucket which leaks at the fleet's rate and takes what is
		// given out; highest is its highest level.
		level, highest    float64
		leakedAt          clock.Millis
		admitted, refused int
	}

	// modelInstance is an instance with its process.
	modelInstance struct {
		fleet   *modelFleet
		name    string
		limiter *RateLimiter
		// offset is how far its clock is ahead.
		offset clock.Millis
		// running holds the names of the instances that it takes for running.
		running map[string]bool
		up      bool
		// stoppingAt is when it began to stop, or zero.
		stoppingAt clock.Millis
		// pausedUntil is when a paused process goes on.
		pausedUntil clock.Millis
		// partFrom is when the process may use its part, by its clock, and gaveUpAt when it
		// gave it up; zero if it has not.
		partFrom, gaveUpAt clock.Millis
		// starts counts its processes.
		starts int
	}
)

const (
	modelStep      = 10 * clock.Millis(1)
	modelWorkspace = "w"
	// modelClockError is the largest relative error of a rate that the millisecond
	// steps of the clocks cause.
	modelClockError = 0.002
)

func newModelFleet(random *rand.Rand, size int, limit quota.Limit) *modelFleet {
	f := &modelFleet{random: random, limit: limit, now: 100 * clock.Second, leakedAt: 100 * clock.Second, events: make(map[clock.Millis][]func())}
	for n := range size {
		i := &modelInstance{fleet: f, name: fmt.Sprint("i", n), offset: clock.Millis(random.IntN(1_000_000))}
		f.instances = append(f.instances, i)
	}
	for _, i := range f.instances {
		i.start()
		for _, other := range f.instances {
			i.running[other.name] = true
		}
	}
	return f
}

// Now implements clock.Clock.
func (i *modelInstance) Now() clock.Millis { return i.fleet.now + i.offset }

// start starts a new process that is not in others' views yet.
func (i *modelInstance) start() {
	i.up, i.stoppingAt, i.pausedUntil = true, 0, 0
	i.running = make(map[string]bool)
	for _, other := range i.fleet.instances {
		if other != i && other.up && other.stoppingAt == 0 {
			i.running[other.name] = true
		}
	}
	i.partFrom = i.Now() + quota.PartTerm
	if i.gaveUpAt > 0 {
		i.partFrom = max(i.Now(), i.gaveUpAt+i.offset+quota.PartTerm)
	}
	i.gaveUpAt = 0
	i.starts++
	i.limiter = NewRateLimiter(RateLimiterConfig{
		Clock: i, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), BucketOwner: i.owner, Self: i.name, SelfAddress: i.name, Process: ProcessID(i.incarnation()),
		Limit: func(string) (quota.Limit, bool) { return i.fleet.limit, true }, Part: i.ownPart,
	})
}

func (i *modelInstance) incarnation() string { return fmt.Sprint(i.name, "-", i.starts) }

// tellAll tells all other instances of a new process, and reports whether all know.
func (i *modelInstance) tellAll() bool {
	all := true
	for _, other := range i.fleet.instances {
		if other == i {
			continue
		}
		if !other.up || i.fleet.now < other.pausedUntil {
			all = false
			continue
		}
		other.limiter.RecordProcess(&wire.FleetInstance{Instance: i.name, Incarnation: i.incarnation()})
	}
	return all
}

func (i *modelInstance) ownPart() float64 {
	if i.Now() < i.partFrom || i.gaveUpAt > 0 {
		return 0
	}
	return 1 / float64(len(i.fleet.instances))
}

// owner returns the bucket owner in this instance's view.
func (i *modelInstance) owner(workspace string) *wire.FleetInstance {
	best, highest := i.name, uint64(0)
	for name := range i.running {
		if score := xxhash.Sum64String(name + "/" + workspace); score >= highest {
			best, highest = name, score
		}
	}
	return &wire.FleetInstance{Instance: best, PeerAddress: best}
}

func (f *modelFleet) at(when clock.Millis, call func()) {
	when -= when % modelStep
	f.events[max(when, f.now+modelStep)] = append(f.events[max(when, f.now+modelStep)], call)
}

// spread changes all views of an instance, each after a delay of its own.
func (f *modelFleet) spread(name string, running bool) {
	for _, i := range f.instances {
		f.at(f.now+clock.Millis(f.random.IntN(2000)), func() {
			if running {
				i.running[name] = true
			} else if i.name != name {
				delete(i.running, name)
			}
		})
	}
}

func (f *modelFleet) find(name string) *modelInstance {
	for _, i := range f.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

// give records tokens that are given out.
func (f *modelFleet) give(tokens float64) {
	f.level = max(0, f.level-f.limit.RatePerS*(1+modelClockError)*(f.now-f.leakedAt).Seconds())
	f.leakedAt = f.now
	f.level += tokens
	f.highest = max(f.highest, f.level)
}

// delay draws the time that a message takes, or reports that it is lost.
func (f *modelFleet) delay() (clock.Millis, bool) {
	if f.random.IntN(100) < f.lossPercent {
		return 0, false
	}
	if f.random.IntN(100) < f.latePercent {
		return clock.Millis(f.random.IntN(3000)), true
	}
	return clock.Millis(f.random.IntN(80)), true
}

// exchange sends a message to a peer, as RateLimiter.exchange does.
func (i *modelInstance) exchange(address string, workspaces []string) {
	f, limiter, sentAt := i.fleet, i.limiter, i.Now()
	ask := limiter.buildAsk(address, workspaces)
	if len(ask.GetWants()) == 0 && ask.GetRenew() == nil {
		return
	}
	answered := false
	finish := func(grant *wire.TokenGrant) {
		if answered || i.limiter != limiter || !i.up {
			return
		}
		answered = true
		due := limiter.applyGrant(address, sentAt, ask, grant)
		f.at(f.now+due.pause, func() {
			for next, list := range due.byPeer {
				if i.limiter == limiter && i.up {
					i.exchange(next, list)
				}
			}
		})
	}
	f.at(f.now+clock.Millis(exchangeTimeout.Milliseconds()), func() { finish(nil) })
	if took, ok := f.delay(); ok {
		f.at(f.now+took, func() { f.find(address).receive(ask, finish) })
	}
}

// receive handles a message and responds, once the process is not paused.
func (i *modelInstance) receive(ask *wire.TokenAsk, respond func(*wire.TokenGrant)) {
	if !i.up {
		return
	}
	if i.fleet.now < i.pausedUntil {
		limiter := i.limiter
		i.fleet.at(i.pausedUntil, func() {
			if i.limiter == limiter {
				i.receive(ask, respond)
			}
		})
		return
	}
	grant := i.limiter.HandleTokenAsk(ask)
	for _, part := range grant.GetParts() {
		i.fleet.give(part.GetTokens())
	}
	if took, ok := i.fleet.delay(); ok {
		i.fleet.at(i.fleet.now+took, func() { respond(grant) })
	}
}

// serve has a request arrive, which may wait for a token.
func (i *modelInstance) serve() {
	f, limiter := i.fleet, i.limiter
	var wait <-chan struct{}
	i.record(func() (admitted bool) {
		admitted, wait = limiter.takeOrWait(modelWorkspace)
		return admitted
	}, &wait)
	if wait == nil {
		return
	}
	i.exchange(limiter.ownerAddress(i.Now(), modelWorkspace), []string{modelWorkspace})
	f.at(f.now+clock.Millis(maxTokenWait.Milliseconds()), func() {
		if i.limiter == limiter && i.up && f.now >= i.pausedUntil {
			i.record(func() bool { return limiter.take(modelWorkspace) }, nil)
		}
	})
}

// record counts whether a request gets a token, and whether that one was given out by this
// instance's own bucket. A request that waits is not counted yet.
func (i *modelInstance) record(take func() bool, wait *<-chan struct{}) {
	held := i.limiter.tokensOf(i.Now(), modelWorkspace).Tokens()
	admitted := take()
	switch {
	case admitted:
		i.fleet.admitted++
		if i.limiter.workspaces[modelWorkspace].Tokens() == held {
			i.fleet.give(1)
		}
	case wait == nil || *wait == nil:
		i.fleet.refused++
	}
}

// run plays the fleet for a time, with requests at a multiple of the rate.
func (f *modelFleet) run(length clock.Millis, load float64) {
	due := 0.0
	for end := f.now + length; f.now < end; f.now += modelStep {
		for _, call := range f.events[f.now] {
			call()
		}
		delete(f.events, f.now)
		for n, i := range f.instances {
			if !i.up || f.now < i.pausedUntil {
				continue
			}
			if (f.now/modelStep+clock.Millis(7*n))%40 == 0 {
				i.limiter.SyncBuckets([]string{modelWorkspace})
				for address, workspaces := range i.limiter.workspacesByPeer() {
					i.exchange(address, workspaces)
				}
			}
		}
		for due += f.limit.RatePerS * load * modelStep.Seconds(); due >= 1; due-- {
			if i := f.instances[f.random.IntN(len(f.instances))]; i.up && f.now >= i.pausedUntil {
				i.serve()
			}
		}
	}
}

// stop plans a graceful stop and the start of a new process after it.
func (f *modelFleet) stop(i *modelInstance) {
	if !i.up || i.stoppingAt > 0 {
		return
	}
	i.stoppingAt = f.now
	delete(i.running, i.name)
	f.spread(i.name, false)
	f.at(f.now+3*clock.Second, func() { i.gaveUpAt = f.now })
	f.at(f.now+4*clock.Second, func() {
		i.up = false
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
	if i.tellAll() {
		i.partFrom = i.Now()
	}
	limiter := i.limiter
	f.at(i.partFrom-i.offset, func() {
		if i.limiter == limiter && i.up && i.stoppingAt == 0 {
			i.running[i.name] = true
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
