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

// shiftRamps remembers when this process first saw each shift rule, so that a
// shift grows from nothing at its cap, also after a restart.
type shiftRamps struct {
	mu        sync.Mutex
	firstSeen map[string]clock.Millis
}

const (
	minute = 60 * clock.Second
	// minPeerFreeSlots is how many free slots a peer needs to be passed requests.
	minPeerFreeSlots = 1
)

func newShiftRamps() *shiftRamps {
	return &shiftRamps{firstSeen: make(map[string]clock.Millis)}
}

// currentShare returns the part of a service's traffic that a shift moves now.
func (s *shiftRamps) currentShare(now clock.Millis, shift *wire.ShiftRule) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := shift.GetName() + "\x00" + shift.GetService() + "\x00" + shift.GetFrom() + "\x00" + shift.GetTo()
	since, ok := s.firstSeen[id]
	if !ok {
		since = now
		s.firstSeen[id] = now
	}
	grown := shift.GetCapPerMin() * float64(now-since) / float64(minute)
	return min(shift.GetShare(), grown)
}

// forwardTarget chooses the peer that is to run a job, if it is not to run here: by an
// operator's shift, or because no backend server here has room.
func (e *Executor) forwardTarget(job Job) values.Option[peer.Member] {
	if job.Forwarded {
		return values.None[peer.Member]()
	}
	if region, ok := e.shiftTarget(job.Service).Get(); ok {
		if member, ok := e.pickPeer(job.Service, region).Get(); ok {
			return values.Some(member)
		}
	}
	if e.config.Pool.HasCapacity(job.Service) {
		return values.None[peer.Member]()
	}
	own := e.config.Fleet.Region()
	if member, ok := e.pickPeer(job.Service, own).Get(); ok {
		return values.Some(member)
	}
	return e.pickPeer(job.Service, "")
}

// shiftTarget returns the region to which an operator's shift moves this request.
func (e *Executor) shiftTarget(service string) values.Option[string] {
	now := e.config.Clock.Now()
	for _, shift := range e.config.Fleet.State().GetRules().GetShifts() {
		if shift.GetService() != service || shift.GetFrom() != e.config.Fleet.Region() {
			continue
		}
		if rand.Float64() < e.ramps.currentShare(now, shift) {
			return values.Some(shift.GetTo())
		}
	}
	return values.None[string]()
}

// pickPeer draws a peer with free slots of a service, weighted by their
// number. An empty region means any.
func (e *Executor) pickPeer(service, region string) values.Option[peer.Member] {
	var members []peer.Member
	var slots []int
	total := 0
	for _, member := range e.config.Fleet.Members() {
		free := freeSlots(member.Load, service)
		if member.Stopping || free < minPeerFreeSlots || (region != "" && member.Seat.GetRegion() != region) {
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

func workspaceWeight(state *wire.State, workspace string) int {
	return int(rules.Workspace(state.GetRules(), workspace).GetWeight())
}
