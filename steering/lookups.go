package steering

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/directory"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

type (
	// lookups answers callers' look-ups of instances. It is safe for concurrent use.
	lookups struct {
		clock        clock.Clock
		members      *fleet.Members
		controlState *ControlState
		log          hclog.Logger
		metrics      metrics.Registry
		startedAt    clock.Millis
		// held counts the look-ups that wait for an instance to become ready.
		held atomic.Int64

		mu sync.Mutex
		// recent is the last view, and recentAt when it was taken.
		recent   directory.View
		recentAt clock.Millis
		shared   directory.SharedAddresses
		// logged holds when a line was last written, and unlogged how many look-ups
		// there were since then, by the reason.
		logged   map[string]clock.Millis
		unlogged map[string]int
	}
)

const (
	// startTime is how long after its start an instance holds look-ups until it knows a
	// ready instance.
	startTime = 10 * clock.Second
	// maxLookupHold limits that wait. Callers expect an answer within a second.
	maxLookupHold = 400 * time.Millisecond
	// lookupRecheck is how often a held look-up is tried again.
	lookupRecheck = 25 * time.Millisecond
	// maxHeldLookups limits the look-ups that wait at a time.
	maxHeldLookups = 64
	// viewAge is how long a view with ready instances is used. Reading thousands of
	// members takes milliseconds.
	viewAge = 50 * clock.Millis(1)
	// lateLookup is the time in this process after which an answer counts as late.
	lateLookup = 500 * time.Millisecond
	// lookupLogInterval is the time between two log lines for the same reason.
	lookupLogInterval = 5 * clock.Second
	// lateReason is the reason that is logged for late answers.
	lateReason = "late"

	millicoresPerCore = 1000
)

func newLookups(members *fleet.Members, state *ControlState, log hclog.Logger, registry metrics.Registry) *lookups {
	return &lookups{
		clock: clock.BootTime{}, members: members, controlState: state, log: log.Named("lookup"), metrics: registry,
		startedAt: clock.BootTime{}.Now(), logged: make(map[string]clock.Millis), unlogged: make(map[string]int),
	}
}

// isReady reports whether this instance accepts requests: it has authority and is not
// stopping.
func (l *lookups) isReady() bool {
	return !l.members.Self().GetStopping() && l.controlState.HasAuthority()
}

// answer returns the answer to a look-up. While no instance is known to be ready, just after
// a start, it waits for one for a short time.
func (l *lookups) answer(caller directory.Caller, received time.Time) directory.Answer {
	now := l.clock.Now()
	l.mu.Lock()
	caller.Shared = l.shared.Record(caller.Address, now)
	l.mu.Unlock()
	view := l.view(now)
	answer := directory.Choose(caller, view)
	if isUnready(answer) && now-l.startedAt < startTime {
		defer l.held.Add(-1)
		if l.held.Add(1) <= maxHeldLookups {
			for time.Since(received) < maxLookupHold && isUnready(answer) {
				time.Sleep(lookupRecheck)
				view = l.view(l.clock.Now())
				answer = directory.Choose(caller, view)
			}
		}
	}
	l.record(caller, view, answer, time.Since(received))
	return answer
}

// isUnready reports whether no instance is known to be ready.
func isUnready(answer directory.Answer) bool {
	return answer.Cause == directory.NotReady || answer.Cause == directory.Nobody
}

// record counts a look-up and logs, at a bounded rate, why its answer is not a full one or
// late.
func (l *lookups) record(caller directory.Caller, view directory.View, answer directory.Answer, took time.Duration) {
	metrics.GetOrRegisterCounter("lookups."+string(answer.Cause), l.metrics).Inc(1)
	reason := string(answer.Cause)
	if took > lateLookup {
		metrics.GetOrRegisterCounter("lookups."+lateReason, l.metrics).Inc(1)
		reason = lateReason
	}
	if reason == string(directory.Full) {
		return
	}
	now := l.clock.Now()
	l.mu.Lock()
	l.unlogged[reason]++
	count := l.unlogged[reason]
	last, ok := l.logged[reason]
	if ok && now-last < lookupLogInterval {
		l.mu.Unlock()
		return
	}
	l.logged[reason], l.unlogged[reason] = now, 0
	l.mu.Unlock()
	l.log.Warn("look-up without a full answer in time", "reason", reason, "lookups", count, "caller", caller.Address, "region", caller.Region, "domain", caller.Domain,
		"named", len(answer.Addresses), "ready", len(view.Ready), "last_heard", len(view.LastHeard), "unready", len(view.Unready),
		"self_ready", view.SelfReady, "joined", l.controlState.Joined(), "took_ms", took.Milliseconds(), "up_ms", int64(now-l.startedAt))
}

// view returns what this instance knows of the fleet. It takes a new view if the last one is
// too old, has no ready instance, or if this instance has become or ceased to be ready.
func (l *lookups) view(now clock.Millis) directory.View {
	ready := l.isReady()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.recentAt >= viewAge || len(l.recent.Ready) == 0 || ready != l.recent.SelfReady {
		l.recent, l.recentAt = l.takeView(now, ready), now
	}
	return l.recent
}

// takeView reads the members.
func (l *lookups) takeView(now clock.Millis, selfReady bool) directory.View {
	self := l.members.Self()
	alive := l.members.Alive(now)
	view := directory.View{Self: self.GetInstance(), SelfReady: selfReady, Isolated: len(alive) == 0}
	for _, info := range alive {
		if info.GetReady() && !info.GetStopping() {
			view.Ready = append(view.Ready, directoryInstance(info))
		}
	}
	if selfReady {
		view.Ready = append(view.Ready, directoryInstance(self))
	}
	if view.Isolated {
		for _, info := range l.members.LastHeard(now) {
			if info.GetReady() && !info.GetStopping() {
				view.LastHeard = append(view.LastHeard, directoryInstance(info))
			}
		}
	}
	if len(view.Ready) == 0 {
		for _, info := range append(l.members.Running(), self) {
			if !info.GetStopping() && info.GetCallerAddress() != "" {
				view.Unready = append(view.Unready, directoryInstance(info))
			}
		}
	}
	return view
}

// directoryInstance returns the instance that a membership entry describes.
func directoryInstance(info *wire.FleetInstance) directory.Instance {
	return directory.Instance{
		Name:      info.GetInstance(),
		Address:   info.GetCallerAddress(),
		Region:    info.GetRegion(),
		Domain:    info.GetFailureDomain(),
		NearLimit: info.GetNearLimit() != "",
		Capacity: directory.Capacity{
			Cores:        float64(info.GetCpuMillicores()) / millicoresPerCore,
			MemoryMB:     float64(info.GetMemoryMb()),
			LinkMbitPerS: float64(info.GetLinkMbitPerS()),
			Descriptors:  float64(info.GetMaxDescriptors()),
		},
	}
}
