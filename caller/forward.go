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

// shiftRamps ramps up the share of traffic that each shift rule moves, from zero at the
// time when this process first saw the rule. After a restart the ramps begin again.
type shiftRamps struct {
	mu sync.Mutex
	// firstSeen is keyed by the rule's name, service and regions.
	firstSeen map[string]clock.Millis
}

const (
	minute = 60 * clock.Second
	// minPeerFreeSlots is the number of free slots that a peer needs to be forwarded
	// requests.
	minPeerFreeSlots = 1
)

func newShiftRamps() *shiftRamps {
	return &shiftRamps{firstSeen: make(map[string]clock.Millis)}
}

// currentShare returns the share of a service's traffic that a shift moves now. It grows
// by the rule's cap per minute up to the rule's share.
func (s *shiftRamps) currentShare(now clock.Millis, shift *wire.ShiftRule) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := shift.GetName() + "\x00" + shift.GetService() + "\x00" + shift.GetFrom() + "\x00" + shift.GetTo()
	startedAt, ok := s.firstSeen[id]
	if !ok {
		startedAt = now
		s.firstSeen[id] = now
	}
	ramp := shift.GetCapPerMin() * float64(now-startedAt) / float64(minute)
	return min(shift.GetShare(), ramp)
}

// forwardTarget returns the peer to forward a job to, or nothing if it runs here. A job is
// forwarded because of a shift rule, or because this instance has no free slot for the
// service or already queues requests for it; then peers in this region are preferred.
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

// shiftTarget draws whether a shift rule moves a request for a service, and returns the
// rule's target region.
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

// pickPeer picks a random peer, weighted by its free slots for a service. Peers that are
// stopping or have no link capacity are skipped. An empty region means any.
func (e *Executor) pickPeer(service, region string) values.Option[peer.Member] {
	var members []peer.Member
	var weights []int
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
		weights = append(weights, free)
		total += free
	}
	if total == 0 {
		return values.None[peer.Member]()
	}
	draw := rand.IntN(total)
	for i, member := range members {
		if draw < weights[i] {
			return values.Some(member)
		}
		draw -= weights[i]
	}
	return values.None[peer.Member]()
}

// freeSlots returns the number of free slots for a service in an instance's load.
func freeSlots(load []*wire.ServiceLoad, service string) int {
	for _, l := range load {
		if l.GetService() == service {
			return int(l.GetFreeSlots())
		}
	}
	return 0
}

// workspaceWeight returns a workspace's weight, or 0 if the rules do not contain it.
func workspaceWeight(state *wire.State, workspace string) int {
	return int(rules.Workspace(state.GetRules(), workspace).GetWeight())
}
