// Package backend is the HTTP client for backend servers. It chooses a server for
// each request, keeps within this instance's share of the servers' limits, retries
// where that is safe, and validates the responses.
package backend

import (
	"net/netip"
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
)

type (
	// PoolConfig configures a Pool.
	PoolConfig struct {
		Clock clock.Clock
		Log   hclog.Logger
		// Source is the local address of new connections; the zero address means
		// any.
		Source netip.Addr
		// ServerLimits returns this instance's shares of a server's slots and
		// connections. It may be called with the pool's lock held.
		ServerLimits func(*wire.BackendServer) (slots, connections int)
		// RegionLimit returns this instance's share of the concurrent requests
		// that a region may run. It may be called with the pool's lock held.
		RegionLimit func(region string) int
		// BroadcastSuspect tells the peers about a request that crashes servers.
		// It blocks until they have acknowledged it, or for a short time at most.
		BroadcastSuspect func(*wire.Suspect)
		// Memory limits what responses hold while they are read; nil means no limit.
		Memory *memory.Account
		// AssertInvariants makes the pool panic when an invariant does not hold.
		AssertInvariants bool
	}

	// Pool holds the backend servers of all services and runs requests on them.
	// The fleet's lock may be taken while the pool's lock is held, but not the
	// other way round.
	Pool struct {
		config     PoolConfig
		quarantine *Quarantine
		budgets    *RetryBudgets
		// reports is the memory of the load reports that are being read.
		reports *memory.Account

		mu       sync.Mutex
		servers  map[string]*server
		services map[string]*serviceState
		regions  map[string]*regionLoad
		// listed is set once the first server list has been received.
		listed bool
	}

	// regionLoad counts the requests that this instance runs in one region. The
	// limit is its share of the region's capacity.
	regionLoad struct {
		inFlight int
		limit    int
	}

	// serviceState holds the servers of one service and the queue of the requests
	// that wait for a slot.
	serviceState struct {
		servers []*server
		queue   *FairQueue[*waiter]
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
		reports:    memory.NewAccount(memory.LimitsOfResponses(maxReportBytes)),
		servers:    make(map[string]*server),
		services:   make(map[string]*serviceState),
		regions:    make(map[string]*regionLoad),
	}
}

// Quarantine returns the quarantine of requests that crash servers.
func (p *Pool) Quarantine() *Quarantine {
	return p.quarantine
}

// UpdateServers updates the pool with the platform's server list and the names of the
// servers that a rule drains. A server that is no longer listed gets no further
// requests.
func (p *Pool) UpdateServers(list []*wire.BackendServer, drained values.Set[string]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	listed := make(map[string]struct{}, len(list))
	for _, info := range list {
		listed[info.GetName()] = struct{}{}
		s := p.upsertServer(info, now)
		s.leaving = info.GetLeaving()
		s.drainedByRule = drained.Has(info.GetName())
	}
	for name, s := range p.servers {
		if _, ok := listed[name]; !ok {
			s.leaving = true
		}
	}
	p.listed = true
}

// upsertServer returns the state of a server. It creates a new state if the server
// is new or its address has changed. The caller must hold the lock.
func (p *Pool) upsertServer(info *wire.BackendServer, now clock.Millis) *server {
	s, ok := p.servers[info.GetName()]
	if ok && s.info().GetAddress() == info.GetAddress() {
		s.listing.Store(info)
		return s
	}
	if ok {
		p.removeServer(s)
	}
	s = &server{slowStartDone: !p.listed, addedAt: now, region: p.region(info.GetRegion())}
	s.listing.Store(info)
	s.slots, s.maxConnections = p.config.ServerLimits(info)
	p.servers[info.GetName()] = s
	service := p.service(info.GetService())
	service.servers = append(service.servers, s)
	return s
}

// region returns the load of a region and creates it if there is none. The caller
// must hold the lock.
func (p *Pool) region(name string) *regionLoad {
	r, ok := p.regions[name]
	if !ok {
		r = &regionLoad{limit: p.config.RegionLimit(name)}
		p.regions[name] = r
	}
	return r
}

// removeServer removes a replaced server from its service. The caller must hold the
// lock.
func (p *Pool) removeServer(s *server) {
	service := p.service(s.info().GetService())
	for i, other := range service.servers {
		if other == s {
			service.servers = append(service.servers[:i:i], service.servers[i+1:]...)
			break
		}
	}
	s.leaving = true
	s.closeIdle()
}

// service returns the state of a service and creates it if there is none. The caller
// must hold the lock.
func (p *Pool) service(name string) *serviceState {
	state, ok := p.services[name]
	if !ok {
		state = &serviceState{queue: NewFairQueue[*waiter](FairQueueConfig{
			MaxItems:             maxQueued,
			MaxItemsPerWorkspace: maxQueuedPerWorkspace,
		})}
		p.services[name] = state
	}
	return state
}

// RefreshLimits updates this instance's shares of all limits. It fetches them without
// holding the pool's lock.
func (p *Pool) RefreshLimits() {
	type share struct{ slots, maxConnections int }
	p.mu.Lock()
	regions := make([]string, 0, len(p.regions))
	for name := range p.regions {
		regions = append(regions, name)
	}
	infos := make([]*wire.BackendServer, 0, len(p.servers))
	for _, s := range p.servers {
		infos = append(infos, s.info())
	}
	p.mu.Unlock()
	shares := make(map[string]share, len(infos))
	for _, info := range infos {
		slots, maxConnections := p.config.ServerLimits(info)
		shares[info.GetName()] = share{slots, maxConnections}
	}
	regionLimits := make(map[string]int, len(regions))
	for _, name := range regions {
		regionLimits[name] = p.config.RegionLimit(name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, limit := range regionLimits {
		p.regions[name].limit = limit
	}
	for name, share := range shares {
		s := p.servers[name]
		s.slots = share.slots
		s.maxConnections = share.maxConnections
		s.trimIdle()
	}
	p.dispatchAll()
}

// ServiceLoads returns this instance's free and held slots of every service. Queued
// calls are subtracted from the free slots.
func (p *Pool) ServiceLoads() []*wire.ServiceLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	out := make([]*wire.ServiceLoad, 0, len(p.services))
	for name, service := range p.services {
		load := &wire.ServiceLoad{Service: name}
		for _, s := range service.servers {
			c := s.candidate(now)
			load.HeldSlots += int32(s.slots)
			if hasFreeSlot(c) {
				load.FreeSlots += int32(c.Slots - c.InFlight)
			}
		}
		load.FreeSlots = max(0, load.GetFreeSlots()-int32(service.queue.Len()))
		out = append(out, load)
	}
	return out
}

// HasCapacity reports whether a service has a free slot and no queued calls.
func (p *Pool) HasCapacity(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.service(name)
	return service.queue.Len() == 0 && service.hasFreeSlot(p.config.Clock.Now())
}

// Candidates describes the servers of a service, for operators.
func (p *Pool) Candidates(service string) []*wire.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	var out []*wire.Candidate
	for _, s := range p.service(service).servers {
		c := s.candidate(now)
		out = append(out, &wire.Candidate{
			BackendServer: c.Name,
			Region:        s.info().GetRegion(),
			UsableSlots:   int32(c.Slots),
			InFlight:      int32(c.InFlight),
			LatencyMs:     int64(c.Latency),
			Excluded:      c.ExclusionReason,
		})
	}
	return out
}

// assertInvariant logs an error if an invariant does not hold, and panics if the
// settings ask for it.
func (p *Pool) assertInvariant(holds bool, format string, args ...any) {
	if holds {
		return
	}
	err := errorSpace.NewType("invariant").New(format, args...)
	p.config.Log.Error("invariant broken", "error", err)
	if p.config.AssertInvariants {
		panic(err)
	}
}
