// Package lookup answers callers' look-ups of instances from what this instance knows of the
// fleet. Package directory chooses the instances.
package lookup

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/directory"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

type (
	// Server answers callers' look-ups of instances. It is safe for concurrent use.
	Server struct {
		config    ServerConfig
		startedAt clock.Millis
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

	// ServerConfig configures a Server.
	ServerConfig struct {
		Clock   clock.Clock
		Log     hclog.Logger
		Metrics metrics.Registry
		Members Members
		// HasAuthority reports whether this instance may serve requests.
		HasAuthority func() bool
		// Joined reports whether this instance has joined the fleet.
		Joined func() bool
	}

	// Members provides the membership entries of the fleet.
	Members interface {
		// Self returns this instance's entry.
		Self() *wire.FleetInstance
		// Alive returns the entries of the other instances that have been heard from
		// recently.
		Alive(now clock.Millis) []*wire.FleetInstance
		// LastHeard returns the entries of those that were alive when the last of them
		// was heard from.
		LastHeard(now clock.Millis) []*wire.FleetInstance
		// Running returns the entries of the other instances that may be running.
		Running() []*wire.FleetInstance
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

// NewServer returns the Server of an instance that starts now.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, startedAt: config.Clock.Now(), logged: make(map[string]clock.Millis), unlogged: make(map[string]int)}
}

// IsReady reports whether this instance accepts requests: it has authority and is not
// stopping.
func (s *Server) IsReady() bool {
	return !s.config.Members.Self().GetStopping() && s.config.HasAuthority()
}

// Answer returns the answer to a look-up. While no instance is known to be ready, just after
// a start, it waits for one for a short time.
func (s *Server) Answer(caller directory.Caller, received time.Time) directory.Answer {
	now := s.config.Clock.Now()
	s.mu.Lock()
	caller.Shared = s.shared.Record(caller.Address, now)
	s.mu.Unlock()
	view := s.view(now)
	answer := directory.Choose(caller, view)
	if isUnready(answer) && now-s.startedAt < startTime {
		defer s.held.Add(-1)
		if s.held.Add(1) <= maxHeldLookups {
			for time.Since(received) < maxLookupHold && isUnready(answer) {
				time.Sleep(lookupRecheck)
				view = s.view(s.config.Clock.Now())
				answer = directory.Choose(caller, view)
			}
		}
	}
	s.record(caller, view, answer, time.Since(received))
	return answer
}

// isUnready reports whether no instance is known to be ready.
func isUnready(answer directory.Answer) bool {
	return answer.Cause == directory.NotReady || answer.Cause == directory.Nobody
}

// record counts a look-up and logs, at a bounded rate, why its answer is not a full one or
// late.
func (s *Server) record(caller directory.Caller, view directory.View, answer directory.Answer, took time.Duration) {
	metrics.GetOrRegisterCounter("lookups."+string(answer.Cause), s.config.Metrics).Inc(1)
	reason := string(answer.Cause)
	if took > lateLookup {
		metrics.GetOrRegisterCounter("lookups."+lateReason, s.config.Metrics).Inc(1)
		reason = lateReason
	}
	if reason == string(directory.Full) {
		return
	}
	now := s.config.Clock.Now()
	s.mu.Lock()
	s.unlogged[reason]++
	count := s.unlogged[reason]
	last, ok := s.logged[reason]
	if ok && now-last < lookupLogInterval {
		s.mu.Unlock()
		return
	}
	s.logged[reason], s.unlogged[reason] = now, 0
	s.mu.Unlock()
	s.config.Log.Warn("look-up without a full answer in time", "reason", reason, "lookups", count, "caller", caller.Address, "region", caller.Region, "domain", caller.Domain,
		"named", len(answer.Addresses), "ready", len(view.Ready), "last_heard", len(view.LastHeard), "unready", len(view.Unready),
		"self_ready", view.SelfReady, "joined", s.config.Joined(), "took_ms", took.Milliseconds(), "up_ms", int64(now-s.startedAt))
}

// view returns what this instance knows of the fleet. It takes a new view if the last one is
// too old, has no ready instance, or if this instance has become or ceased to be ready.
func (s *Server) view(now clock.Millis) directory.View {
	ready := s.IsReady()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.recentAt >= viewAge || len(s.recent.Ready) == 0 || ready != s.recent.SelfReady {
		s.recent, s.recentAt = s.takeView(now, ready), now
	}
	return s.recent
}

// takeView reads the members.
func (s *Server) takeView(now clock.Millis, selfReady bool) directory.View {
	self := s.config.Members.Self()
	alive := s.config.Members.Alive(now)
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
		for _, info := range s.config.Members.LastHeard(now) {
			if info.GetReady() && !info.GetStopping() {
				view.LastHeard = append(view.LastHeard, directoryInstance(info))
			}
		}
	}
	if len(view.Ready) == 0 {
		for _, info := range append(s.config.Members.Running(), self) {
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
