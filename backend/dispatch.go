package backend

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

// waiter is a call in the queue.
type waiter struct {
	call *Call
	// assigned receives the server on which a slot was taken for the call.
	assigned chan *server
	tried    values.Set[string]
}

// acquire takes a slot on a server that is not in tried. If none is free, or other
// calls are queued, the call waits in the service's fair queue.
func (p *Pool) acquire(ctx context.Context, call *Call, tried values.Set[string]) (*server, error) {
	p.mu.Lock()
	now := p.config.Clock.Now()
	service := p.service(call.Service)
	if service.queue.Len() == 0 {
		if s := p.assign(now, service, tried); s != nil {
			p.mu.Unlock()
			return s, nil
		}
	}
	w := &waiter{call: call, assigned: make(chan *server, 1), tried: tried}
	queued := service.queue.Push(call.Workspace, call.Weight, call.Deadline, w)
	p.mu.Unlock()
	if !queued {
		return nil, ErrNoCapacity.New("the queue of service %s is full", call.Service)
	}
	return p.await(ctx, w)
}

// await waits until a queued call is assigned a server, its deadline passes or the
// context ends.
func (p *Pool) await(ctx context.Context, w *waiter) (*server, error) {
	timer := time.NewTimer((w.call.Deadline - p.config.Clock.Now()).Duration())
	defer timer.Stop()
	select {
	case s := <-w.assigned:
		return s, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.call.abandoned = true
	select {
	case s := <-w.assigned:
		p.releaseLocked(s)
	default:
	}
	return nil, ErrNoCapacity.New("no backend server of service %s had room in time", w.call.Service)
}

// assign chooses a server that is not in tried and takes a slot on it. It returns
// nil if there is none. The caller must hold the lock.
func (p *Pool) assign(now clock.Millis, service *serviceState, tried values.Set[string]) *server {
	candidates := make([]Candidate, len(service.servers))
	for i, s := range service.servers {
		candidates[i] = s.candidate(now)
		if tried.Has(s.info().GetName()) {
			candidates[i].ExclusionReason = "tried already"
		}
	}
	i := Choose(now, candidates, rand.IntN)
	if i < 0 {
		return nil
	}
	s := service.servers[i]
	s.inFlight++
	s.region.inFlight++
	s.lastChosenAt = now
	p.assertInvariant(s.inFlight <= s.slots, "server %s has %d requests, its part is %d", s.info().GetName(), s.inFlight, s.slots)
	p.assertInvariant(s.region.inFlight <= s.region.limit, "region %s has %d requests, this instance's part is %d", s.info().GetRegion(), s.region.inFlight, s.region.limit)
	return s
}

// release gives a slot back and assigns free slots to queued calls.
func (p *Pool) release(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(s)
}

// releaseLocked is like release. The caller must hold the lock.
func (p *Pool) releaseLocked(s *server) {
	s.inFlight--
	s.region.inFlight--
	p.assertInvariant(s.inFlight >= 0, "server %s has %d requests", s.info().GetName(), s.inFlight)
	p.dispatch(p.service(s.info().GetService()))
}

// dispatchAll dispatches the queues of all services. The caller must hold the lock.
func (p *Pool) dispatchAll() {
	for _, service := range p.services {
		p.dispatch(service)
	}
}

// dispatch assigns free slots to queued calls. It stops at the first call to which
// no server can be assigned and moves it to the end of its workspace's queue. The
// caller must hold the lock.
func (p *Pool) dispatch(service *serviceState) {
	now := p.config.Clock.Now()
	for service.queue.Len() > 0 && service.hasFreeSlot(now) {
		w, ok := service.queue.Pop(now, nil)
		if !ok {
			return
		}
		if w.call.abandoned {
			continue
		}
		s := p.assign(now, service, w.tried)
		if s == nil {
			service.queue.Push(w.call.Workspace, w.call.Weight, w.call.Deadline, w)
			return
		}
		w.assigned <- s
	}
}

func (s *serviceState) hasFreeSlot(now clock.Millis) bool {
	for _, server := range s.servers {
		if hasFreeSlot(server.candidate(now)) {
			return true
		}
	}
	return false
}

// DispatchQueued assigns free slots to queued calls. It must be called
// periodically, since servers return to use without an event, such as at the end of
// a backoff.
func (p *Pool) DispatchQueued() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatchAll()
}
