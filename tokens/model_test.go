package tokens

import (
	"fmt"
	"math/rand/v2"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
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
		// transit is the longest time that a message takes otherwise.
		transit clock.Millis
		// events holds what is due, by time.
		events map[clock.Millis][]func()
		// level is that of a bucket which leaks at the fleet's rate and takes what is
		// given out; highest is its highest level.
		level, highest float64
		leakedAt       clock.Millis
		// mostInUse is the largest sum of the fractions of the limit that were in use at any
		// time.
		mostInUse         float64
		admitted, refused int
		// countFrom is the time of arrival from which requests are counted.
		countFrom clock.Millis
	}

	// modelInstance is an instance with its process.
	modelInstance struct {
		fleet   *modelFleet
		name    string
		limiter *Limiter
		members *fleet.Members
		// offset is how far its clock is ahead.
		offset clock.Millis
		// running holds the names of the instances that it takes for running, processes
		// their processes.
		running   map[string]bool
		processes map[string]*wire.FleetInstance
		up        bool
		// stoppingAt is when it began to stop, or zero.
		stoppingAt clock.Millis
		// pausedUntil is when a paused process goes on.
		pausedUntil clock.Millis
		// partFrom is when the process may use its part, by its clock, and gaveUpAt when it
		// gave it up; zero if it has not.
		partFrom, gaveUpAt clock.Millis
		// isPartFree is set if its last process had taken its part back when it ended.
		isPartFree bool
		startedAt  clock.Millis
		// knownEntries holds the hashes of the entries that it has got from others.
		knownEntries map[uint64]bool
		// starts counts its processes.
		starts int
		// joining is set until it has read the platform's list, before which it does not serve.
		joining bool
		// cutOff is set if no message reaches it or leaves it.
		cutOff bool
	}
)

// modelKey is the key of the workspace of the model.
var modelKey = quota.Key(modelWorkspace)

const (
	modelStep      = 10 * clock.Millis(1)
	modelWorkspace = "w"
	// modelTerm is the term of leases in small fleets, modelGossip the interval of gossip and
	// modelFanout the number of peers that are asked each time.
	modelTerm   = 1260 * clock.Millis(1)
	modelGossip = 500 * clock.Millis(1)
	modelFanout = 3
	// modelClockError is the largest relative error of a rate that the millisecond
	// steps of the clocks cause.
	modelClockError = 0.002
)

func newModelFleet(random *rand.Rand, size int, limit quota.Limit) *modelFleet {
	f := &modelFleet{random: random, limit: limit, transit: 80, now: 100 * clock.Second, leakedAt: 100 * clock.Second, events: make(map[clock.Millis][]func())}
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
	for _, i := range f.instances {
		for _, other := range f.instances {
			i.see(other)
		}
	}
	return f
}

// Now implements clock.Clock.
func (i *modelInstance) Now() clock.Millis { return i.fleet.now + i.offset }

// start starts a new process that is not in others' views yet.
func (i *modelInstance) start() {
	i.up, i.stoppingAt, i.pausedUntil, i.startedAt = true, 0, 0, i.Now()
	i.running = make(map[string]bool)
	for _, other := range i.fleet.instances {
		if other != i && other.up && other.stoppingAt == 0 {
			i.running[other.name] = true
		}
	}
	i.partFrom = quota.LeaseEnd(i.Now(), modelTerm)
	if i.isPartFree {
		i.partFrom = i.Now()
	}
	i.gaveUpAt, i.isPartFree = 0, false
	i.starts++
	i.members = fleet.NewMembers(&wire.FleetInstance{Instance: i.name, Incarnation: i.incarnation(), PeerAddress: i.name, StartedMs: int64(i.fleet.now), Start: wire.Start_START_REPLACED}, clock.Second)
	i.knownEntries = make(map[uint64]bool)
	i.processes = make(map[string]*wire.FleetInstance)
	for _, other := range i.fleet.instances {
		if other.members != nil {
			i.processes[other.name] = other.members.Self()
		}
	}
	i.limiter = NewLimiter(Config{
		Clock: i, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Fleet: i, Self: i.name, SelfAddress: i.name, Process: fleet.ProcessID(i.incarnation()),
		Limit: func(string) (quota.Limit, bool) { return i.fleet.limit, true },
	})
}

func (i *modelInstance) incarnation() string { return fmt.Sprint(i.name, "-", i.starts) }

func (f *modelFleet) at(when clock.Millis, call func()) {
	when -= when % modelStep
	f.events[max(when, f.now+modelStep)] = append(f.events[max(when, f.now+modelStep)], call)
}

// spread changes all views of an instance, each after a delay of its own.
func (f *modelFleet) spread(name string, running bool) {
	for _, i := range f.instances {
		f.at(f.now+clock.Millis(f.random.IntN(2000)), func() {
			if running {
				i.see(f.find(name))
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

// give records tokens that are given out, or taken back if they are negative.
func (f *modelFleet) give(tokens float64) {
	f.level = max(0, f.level-f.limit.RatePerS*(1+modelClockError)*(f.now-f.leakedAt).Seconds())
	f.leakedAt = f.now
	f.level = max(0, f.level+tokens)
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
	return clock.Millis(f.random.IntN(int(f.transit))), true
}

// exchange sends a message to a peer, as Limiter.exchange does.
func (i *modelInstance) exchange(address string, workspaces []string) {
	f, limiter, sentAt := i.fleet, i.limiter, i.Now()
	ask := limiter.buildAsk(address, workspaces)
	if ask == nil {
		return
	}
	answered := false
	finish := func(grant *wire.TokenGrant) {
		if answered || i.limiter != limiter || !i.up {
			return
		}
		answered = true
		due := limiter.applyGrant(address, sentAt, ask, grant)
		i.inform(due.inform)
		f.at(f.now+due.pause, func() {
			for next, list := range due.byPeer {
				if i.limiter == limiter && i.up {
					i.exchange(next, list)
				}
			}
		})
	}
	f.at(f.now+clock.Millis(exchangeTimeout.Milliseconds()), func() { finish(nil) })
	other := f.find(address)
	f.send(i, other, func() {
		grant := other.handle(ask)
		f.send(other, i, func() { finish(grant) })
	})
}

// handle handles a message to this instance and records the tokens that it gives out and takes
// back. The lease is taken over first, which may change the bucket, too.
func (i *modelInstance) handle(ask *wire.TokenAsk) *wire.TokenGrant {
	wants := ask.GetWants()
	ask.Wants = nil
	recorded := i.limiter.HandleTokenAsk(ask)
	ask.Wants = wants
	before := i.bucketTokens()
	grant := i.limiter.HandleTokenAsk(ask)
	i.fleet.give(before - i.bucketTokens())
	grant.Returned = recorded.GetReturned()
	return grant
}

// bucketTokens returns the tokens in this instance's bucket.
func (i *modelInstance) bucketTokens() float64 {
	tokens, _ := i.limiter.tokensOf(i.Now(), modelWorkspace).bucket.State(i.Now())
	return tokens
}

// inform tells peers of a changed lease.
func (i *modelInstance) inform(addresses []string) {
	for _, address := range addresses {
		i.exchange(address, nil)
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
			if (f.now/modelStep+clock.Millis(7*n))%(modelGossip/modelStep) == 0 {
				i.gossip()
			}
			if (f.now/modelStep+clock.Millis(7*n))%25 == 0 {
				i.inform(i.limiter.Refresh())
			}
			if (f.now/modelStep+clock.Millis(7*n))%40 == 0 {
				for address, workspaces := range i.limiter.dueExchanges() {
					i.exchange(address, workspaces)
				}
			}
		}
		f.mostInUse = max(f.mostInUse, f.inUse())
		for due += f.limit.RatePerS * load * modelStep.Seconds(); due >= 1; due-- {
			if i := f.instances[f.random.IntN(len(f.instances))]; i.up && !i.joining && f.now >= i.pausedUntil {
				i.serve()
			}
		}
	}
}

// inUse returns the sum of the fractions of the limit that buckets are filled by, also at
// processes that are paused, which may go on at any time.
func (f *modelFleet) inUse() float64 {
	sum := 0.0
	for _, i := range f.instances {
		if i.up {
			i.limiter.syncLeases(i.Now())
			sum += i.limiter.fraction(modelKey)
		}
	}
	return sum
}

// check fails the test if more tokens were granted than one bucket would have, or if a share
// was in use twice at any time, which tokens lost elsewhere could conceal.
func (f *modelFleet) check(t interface{ Errorf(string, ...any) }) {
	if f.highest > f.limit.Burst+1e-6 {
		t.Errorf("%d instances gave out %.1f tokens more than the rate in some window, the burst is %.0f", len(f.instances), f.highest, f.limit.Burst)
	}
	if f.mostInUse > 1+1e-6 {
		t.Errorf("%.3f of the limit was in use at the same time among %d instances", f.mostInUse, len(f.instances))
	}
}
