package caller

import (
	"math/rand/v2"
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

// shifter remembers when this process first saw each shift rule, so that a
// shift grows from nothing at its cap, also after a restart.
type shifter struct {
	mu    sync.Mutex
	since map[string]clock.Millis
}

const (
	minute = 60 * clock.Second
	// minSpillSlots is how many free slots a peer needs to be passed requests.
	minSpillSlots = 1
)

func newShifter() *shifter {
	return &shifter{since: make(map[string]clock.Millis)}
}

// share returns the part of a service's traffic that a shift moves now.
func (s *shifter) share(now clock.Millis, shift *wire.ShiftRule) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := shift.GetName() + "\x00" + shift.GetService() + "\x00" + shift.GetFrom() + "\x00" + shift.GetTo()
	since, ok := s.since[id]
	if !ok {
		since = now
		s.since[id] = now
	}
	grown := shift.GetCapPerMin() * float64(now-since) / float64(minute)
	return min(shift.GetShare(), grown)
}

// spill chooses the peer that is to run a job, if it is not to run here: by an
// operator's shift, or because no backend server here has room.
func (e *Executor) spill(job Job) values.Option[peer.Member] {
	if job.Forwarded {
		return values.None[peer.Member]()
	}
	if region, ok := e.shifted(job.Service).Get(); ok {
		if member, ok := e.freePeer(job.Service, region).Get(); ok {
			return values.Some(member)
		}
	}
	if e.config.Pool.HasCapacity(job.Service) {
		return values.None[peer.Member]()
	}
	own := e.config.Fleet.Region()
	if member, ok := e.freePeer(job.Service, own).Get(); ok {
		return values.Some(member)
	}
	return e.freePeer(job.Service, "")
}

// shifted returns the region to which an operator's shift moves this request.
func (e *Executor) shifted(service string) values.Option[string] {
	now := e.config.Clock.Now()
	for _, shift := range e.config.Fleet.State().GetRules().GetShifts() {
		if shift.GetService() != service || shift.GetFrom() != e.config.Fleet.Region() {
			continue
		}
		if rand.Float64() < e.shifts.share(now, shift) {
			return values.Some(shift.GetTo())
		}
	}
	return values.None[string]()
}

// freePeer draws a peer with free slots of a service, weighted by their
// number. An empty region means any.
func (e *Executor) freePeer(service, region string) values.Option[peer.Member] {
	var members []peer.Member
	var slots []int
	total := 0
	for _, member := range e.config.Fleet.Members() {
		free := freeSlots(member.Load, service)
		if member.Stopping || free < minSpillSlots || (region != "" && member.Seat.GetRegion() != region) {
			continue
		}
		if !e.config.LinkLimiter.HasCapacity(member.Seat.GetRegion()) {
			continue
		}
		members = append(members, member)
		slots = append(slots, free)
		total += free
	}
	if total == 0 {
		return values.None[peer.Member]()
	}
	draw := rand.IntN(total)
	for i, member := range members {
		if draw < slots[i] {
			return values.Some(member)
		}
		draw -= slots[i]
	}
	return values.None[peer.Member]()
}

func freeSlots(load []*wire.ServiceLoad, service string) int {
	for _, l := range load {
		if l.GetService() == service {
			return int(l.GetFreeSlots())
		}
	}
	return 0
}

func weightOf(state *wire.State, workspace string) int {
	return int(rules.Workspace(state.GetRules(), workspace).GetWeight())
}
