package backend

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
)

type (
	// PoolConfig configures a Pool.
	PoolConfig struct {
		Clock clock.Clock
		Log   hclog.Logger
		// Source is the address to call from; the zero address means any.
		Source netip.Addr
		// ServerLimits returns this instance's part of a server's slots and of its
		// connections.
		ServerLimits func(*wire.BackendServer) (slots, connections int)
		// RegionLimit returns this instance's part of the requests that a
		// region may run at once.
		RegionLimit func(region string) int
		// BroadcastSuspect tells the peers about a request that crashes servers. It
		// returns once they know, or after a short while.
		BroadcastSuspect func(*wire.Suspect)
		// AssertInvariants stops the process when a limit is exceeded.
		AssertInvariants bool
	}

	// Pool keeps the backend servers of all services and runs requests on
	// them. The fleet's lock may be taken under its own, never the other way.
	Pool struct {
		config     PoolConfig
		quarantine *Quarantine
		budgets    *RetryBudgets

		mu       sync.Mutex
		servers  map[string]*server
		services map[string]*serviceTable
		regions  map[string]*regionLoad
		listed   bool
	}

	// regionLoad is what this instance runs in one region, and its part of the
	// region's capacity.
	regionLoad struct {
		inFlight int
		units    int
	}

	// serviceTable is the servers of one service and the requests that wait
	// for them.
	serviceTable struct {
		servers []*server
		queue   *FairQueue[*waiting]
	}

	waiting struct {
		call   *Call
		grant  chan *server
		except values.Set[string]
	}
)

const (
	maxQueued             = 2000
	maxQueuedPerWorkspace = 400
)

// NewPool returns a pool without servers.
func NewPool(config PoolConfig) *Pool {
	return &Pool{
		config:     config,
		quarantine: NewQuarantine(config.Clock),
		budgets:    NewRetryBudgets(),
		servers:    make(map[string]*server),
		services:   make(map[string]*serviceTable),
		regions:    make(map[string]*regionLoad),
	}
}

// Quarantine returns the pool's record of requests that crash servers.
func (p *Pool) Quarantine() *Quarantine {
	return p.quarantine
}

// UpdateServers takes in the platform's list of servers and the names of those that a
// rule drains. Servers that are no longer listed get nothing more.
func (p *Pool) UpdateServers(list []*wire.BackendServer, drained values.Set[string]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	listed := make(map[string]struct{}, len(list))
	for _, info := range list {
		listed[info.GetName()] = struct{}{}
		s := p.open(info, now)
		s.leaving = info.GetLeaving()
		s.drained = drained.Has(info.GetName())
	}
	for name, s := range p.servers {
		if _, ok := listed[name]; !ok {
			s.leaving = true
		}
	}
	p.listed = true
}

// open returns the record of a server and makes one for a new server or for
// one whose address has changed. The caller holds the lock.
func (p *Pool) open(info *wire.BackendServer, now clock.Millis) *server {
	s, ok := p.servers[info.GetName()]
	if ok && s.info.GetAddress() == info.GetAddress() {
		s.info = info
		return s
	}
	if ok {
		p.remove(s)
	}
	s = &server{info: info, warm: !p.listed, coldSince: now, region: p.region(info.GetRegion())}
	s.units, s.connections = p.config.ServerLimits(info)
	p.servers[info.GetName()] = s
	table := p.table(info.GetService())
	table.servers = append(table.servers, s)
	return s
}

func (p *Pool) region(name string) *regionLoad {
	r, ok := p.regions[name]
	if !ok {
		r = &regionLoad{units: p.config.RegionLimit(name)}
		p.regions[name] = r
	}
	return r
}

func (p *Pool) remove(s *server) {
	table := p.table(s.info.GetService())
	for i, other := range table.servers {
		if other == s {
			table.servers = append(table.servers[:i:i], table.servers[i+1:]...)
			break
		}
	}
	s.leaving = true
	s.closeIdle()
}

func (p *Pool) table(service string) *serviceTable {
	t, ok := p.services[service]
	if !ok {
		t = &serviceTable{queue: NewFairQueue[*waiting](FairQueueConfig{
			MaxItems:             maxQueued,
			MaxItemsPerWorkspace: maxQueuedPerWorkspace,
		})}
		p.services[service] = t
	}
	return t
}

// RefreshLimits sets this instance's part of every server's limits.
func (p *Pool) RefreshLimits() {
	type part struct{ slots, connections int }
	p.mu.Lock()
	regions := make([]string, 0, len(p.regions))
	for name := range p.regions {
		regions = append(regions, name)
	}
	infos := make([]*wire.BackendServer, 0, len(p.servers))
	for _, s := range p.servers {
		infos = append(infos, s.info)
	}
	p.mu.Unlock()
	parts := make(map[string]part, len(infos))
	for _, info := range infos {
		slots, connections := p.config.ServerLimits(info)
		parts[info.GetName()] = part{slots, connections}
	}
	regionUnits := make(map[string]int, len(regions))
	for _, name := range regions {
		regionUnits[name] = p.config.RegionLimit(name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, units := range regionUnits {
		p.regions[name].units = units
	}
	for name, part := range parts {
		s := p.servers[name]
		s.units = part.slots
		s.connections = part.connections
		s.trimIdle()
	}
	p.dispatchAll()
}

// acquire takes a unit of a server for a call, waiting in the workspace's turn
// when none is free.
func (p *Pool) acquire(ctx context.Context, call *Call, except values.Set[string]) (*server, error) {
	p.mu.Lock()
	now := p.config.Clock.Now()
	table := p.table(call.Service)
	if table.queue.Len() == 0 {
		if s := p.place(now, table, except); s != nil {
			p.mu.Unlock()
			return s, nil
		}
	}
	w := &waiting{call: call, grant: make(chan *server, 1), except: except}
	room := table.queue.Push(call.Workspace, call.Weight, call.Deadline, w)
	p.mu.Unlock()
	if !room {
		return nil, ErrNoCapacity.New("the queue of service %s is full", call.Service)
	}
	return p.await(ctx, w)
}

func (p *Pool) await(ctx context.Context, w *waiting) (*server, error) {
	timer := time.NewTimer((w.call.Deadline - p.config.Clock.Now()).Duration())
	defer timer.Stop()
	select {
	case s := <-w.grant:
		return s, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.call.abandoned = true
	select {
	case s := <-w.grant:
		p.free(s)
	default:
	}
	return nil, ErrNoCapacity.New("no backend server of service %s had room in time", w.call.Service)
}

// place chooses a server for a call and takes a unit of it. The caller holds
// the lock.
func (p *Pool) place(now clock.Millis, table *serviceTable, except values.Set[string]) *server {
	candidates := make([]Candidate, len(table.servers))
	for i, s := range table.servers {
		candidates[i] = s.candidate(now)
		if except.Has(s.info.GetName()) {
			candidates[i].ExclusionReason = "tried already"
		}
	}
	i := Choose(now, candidates, rand.IntN)
	if i < 0 {
		return nil
	}
	s := table.servers[i]
	s.inFlight++
	s.region.inFlight++
	s.triedAt = now
	p.check(s.inFlight <= s.units, "server %s has %d requests, its part is %d", s.info.GetName(), s.inFlight, s.units)
	p.check(s.region.inFlight <= s.region.units, "region %s has %d requests, this instance's part is %d", s.info.GetRegion(), s.region.inFlight, s.region.units)
	return s
}

// release gives a unit back and serves the next request that waits.
func (p *Pool) release(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free(s)
}

func (p *Pool) free(s *server) {
	s.inFlight--
	s.region.inFlight--
	p.check(s.inFlight >= 0, "server %s has %d requests", s.info.GetName(), s.inFlight)
	p.dispatch(p.table(s.info.GetService()))
}

func (p *Pool) dispatchAll() {
	for _, table := range p.services {
		p.dispatch(table)
	}
}

// dispatch hands free units to the requests that wait. The caller holds the lock.
func (p *Pool) dispatch(table *serviceTable) {
	now := p.config.Clock.Now()
	for table.queue.Len() > 0 && table.hasRoom(now) {
		w, ok := table.queue.Pop(now, nil)
		if !ok {
			return
		}
		if w.call.abandoned {
			continue
		}
		s := p.place(now, table, w.except)
		if s == nil {
			table.queue.Push(w.call.Workspace, w.call.Weight, w.call.Deadline, w)
			return
		}
		w.grant <- s
	}
}

func (t *serviceTable) hasRoom(now clock.Millis) bool {
	for _, s := range t.servers {
		if hasRoom(s.candidate(now)) {
			return true
		}
	}
	return false
}

// DispatchQueued serves waiting requests whose servers have come back into use.
func (p *Pool) DispatchQueued() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatchAll()
}

// ServiceLoads lists the free and held slots of every service.
func (p *Pool) ServiceLoads() []*wire.ServiceLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	out := make([]*wire.ServiceLoad, 0, len(p.services))
	for name, table := range p.services {
		load := &wire.ServiceLoad{Service: name}
		for _, s := range table.servers {
			c := s.candidate(now)
			load.HeldSlots += int32(s.units)
			if hasRoom(c) {
				load.FreeSlots += int32(c.Slots - c.InFlight)
			}
		}
		load.FreeSlots = max(0, load.GetFreeSlots()-int32(table.queue.Len()))
		out = append(out, load)
	}
	return out
}

// HasCapacity reports whether a request of a service would be placed at once.
func (p *Pool) HasCapacity(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	table := p.table(service)
	return table.queue.Len() == 0 && table.hasRoom(p.config.Clock.Now())
}

// Candidates describes the servers of a service for an operator.
func (p *Pool) Candidates(service string) []*wire.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	var out []*wire.Candidate
	for _, s := range p.table(service).servers {
		c := s.candidate(now)
		out = append(out, &wire.Candidate{
			BackendServer: c.Name,
			Region:        s.info.GetRegion(),
			UsableSlots:   int32(c.Slots),
			InFlight:      int32(c.InFlight),
			LatencyMs:     int64(c.Latency),
			Excluded:      c.ExclusionReason,
		})
	}
	return out
}

// check stops the process when an invariant is broken and the settings ask so.
func (p *Pool) check(holds bool, format string, args ...any) {
	if holds {
		return
	}
	err := errorSpace.NewType("invariant").New(format, args...)
	p.config.Log.Error("invariant broken", "error", err)
	if p.config.AssertInvariants {
		panic(err)
	}
}
