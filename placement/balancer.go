package placement

import (
	"math/rand/v2"
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/cespare/xxhash/v2"
)

type (
	// BalancerConfig configures a Balancer.
	BalancerConfig struct {
		// FailureDomain and Region locate this instance.
		FailureDomain string
		Region        string
		// Regions lists every region in which callers' requests arrive.
		Regions []string
		// AssumeWarm is set where other instances, or an earlier process of
		// this one, may have sent requests to the servers before. The servers
		// in the first list are then assumed to be warm for the objects that
		// rank them first.
		AssumeWarm bool
		// ColdOverage and ColdSlack widen the limit of a cold server: in any
		// one second it accepts its rate times the overage, plus the slack.
		ColdOverage float64
		ColdSlack   float64
		// MaxShift bounds how much the share of a region's requests that run in
		// another region may change within a short time; zero means no bound.
		MaxShift float64
		// Crashes is told about restarted servers; it may be nil.
		Crashes *CrashTracker
		// Random is the source of randomness; nil means a newly seeded one.
		Random *rand.Rand
	}

	// Balancer tracks the backend servers and their observed state, and assigns
	// requests to them. It is safe for concurrent use. While it holds its own
	// lock it takes only the lock of Crashes.
	Balancer struct {
		config BalancerConfig

		mu            sync.Mutex
		servers       map[string]*serverState
		services      map[string]*serviceServers
		limits        map[string]routing.Service
		evacuated     values.Set[string]
		memberHashes  []uint64
		selfHash      uint64
		latencyModels map[string]*latencyModel
		fanouts       map[fanoutKey]*fanout
		shifts        shiftLimiter
		// domainLoads is keyed by service and failure domain.
		domainLoads map[string]*domainLoad
		roundTrips  map[string]clock.Millis
		notices     notices
		// noticesPrunedAt is when expired notices were last removed.
		noticesPrunedAt clock.Millis
		// fleetVersion counts the changes of the list of instances.
		fleetVersion int
		// rankings and selected are used again for each request.
		rankings []ranking
		selected []candidate
		// overloads is keyed by service.
		overloads        map[string]*overload
		needlessRefusals int
		counts           Counts
		events           []Event
		// rampHeld is set if the ramp of a server has kept it from being a candidate of the
		// present choice, ignoreRamps while ramps are left aside.
		rampHeld, ignoreRamps bool
		listReceived          bool
	}

	// Fleet lists the instances that share the servers' limits.
	Fleet struct {
		// Self is the name of this instance.
		Self string
		// Members are the names of all instances that may send requests.
		Members []string
	}
)

const (
	// minConnections is the smallest number of connections to a server that an
	// instance may open.
	minConnections = 2
	// connectionPercent is the part of a service's connection limit that is
	// divided among the instances, in percent.
	connectionPercent = 90
)

// NewBalancer returns a balancer without servers.
func NewBalancer(config BalancerConfig) *Balancer {
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Balancer{
		config:        config,
		servers:       make(map[string]*serverState),
		services:      make(map[string]*serviceServers),
		latencyModels: make(map[string]*latencyModel),
		fanouts:       make(map[fanoutKey]*fanout),
		domainLoads:   make(map[string]*domainLoad),
		shifts:        shiftLimiter{maxShift: config.MaxShift},
		roundTrips:    make(map[string]clock.Millis),
		notices:       make(notices),
		overloads:     make(map[string]*overload),
	}
}

// SetServers replaces the list of servers. Servers that are missing from the
// list receive no further requests.
func (b *Balancer) SetServers(now clock.Millis, list []Server) {
	listed := make(map[string]struct{}, len(list))
	for _, info := range list {
		listed[info.ID] = struct{}{}
	}
	b.mu.Lock()
	var removed []string
	for id := range b.servers {
		if _, ok := listed[id]; !ok {
			removed = append(removed, id)
		}
	}
	b.mu.Unlock()
	b.UpdateServers(now, list, removed)
}

// UpdateServers adds or changes servers and removes others, by their IDs, of which each may
// occur once. The rest of the list stays as it is.
func (b *Balancer) UpdateServers(now clock.Millis, changed []Server, removed []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	services := b.servicesOf(changed)
	for _, id := range removed {
		if s, ok := b.servers[id]; ok {
			services = services.With(s.info.Service)
			b.ungroup(s)
			b.notices.unlist(now, s.info.incarnation())
			delete(b.servers, id)
		}
	}
	regrouped := b.ungroupChanged(changed)
	for i, info := range changed {
		server := b.upsertServer(now, info)
		if regrouped[i] {
			services = services.With(info.Service)
			b.group(server)
		}
	}
	b.sortRings(services)
	b.pruneNotices(now)
	b.replan(services)
	b.listReceived = b.listReceived || len(changed) > 0
}

// servicesOf returns the services of the listed servers that a list changes.
func (b *Balancer) servicesOf(changed []Server) values.Set[string] {
	services := values.NewSet[string]()
	for _, info := range changed {
		if old, ok := b.servers[info.ID]; ok && !old.info.isGroupedLike(info) {
			services = services.With(old.info.Service)
		}
	}
	return services
}

// ungroupChanged takes the servers that a list changes out of their groups. It returns,
// in the order of the list, which servers must be put into a group.
func (b *Balancer) ungroupChanged(changed []Server) []bool {
	regrouped := make([]bool, len(changed))
	for i, info := range changed {
		old, ok := b.servers[info.ID]
		regrouped[i] = !ok || !old.info.isGroupedLike(info)
		if ok && regrouped[i] {
			b.ungroup(old)
		}
	}
	return regrouped
}

// upsertServer adds a server or updates its listed properties, and returns its state. A
// server with a new start time or address starts with fresh state.
func (b *Balancer) upsertServer(now clock.Millis, info Server) *serverState {
	s, ok := b.servers[info.ID]
	started := false
	if !ok || s.info.StartUnixMs != info.StartUnixMs || s.info.Address != info.Address {
		if ok {
			b.endServer(now, s)
		}
		s, started = b.startServer(now, info), b.listReceived
		b.servers[info.ID] = s
	}
	coldUntil := s.coldUntil
	if info.ColdFor > 0 {
		s.coldUntil = max(s.coldUntil, now+info.ColdFor)
	}
	if s.info.FailureDomain != info.FailureDomain || s.info.Service != info.Service {
		s.domainLoad = b.domainLoadOf(info)
	}
	s.info = info
	if started || s.coldUntil > max(coldUntil, now) {
		b.beginRamp(now, s, rampStarted)
	}
	return s
}

// endServer forgets a server in whose place another start of it is listed.
func (b *Balancer) endServer(now clock.Millis, s *serverState) {
	b.notices.unlist(now, s.info.incarnation())
	if b.config.Crashes != nil {
		b.config.Crashes.RecordDown(now, s.info.ID)
	}
}

// startServer returns the state of a server that was not listed before.
func (b *Balancer) startServer(now clock.Millis, info Server) *serverState {
	s := &serverState{
		idHash:        xxhash.Sum64String(info.ID),
		latencyFactor: 1,
		listedAt:      now,
		reportedAt:    now - maxReportAge,
		lastServed:    make(map[uint64]clock.Millis),
		domainLoad:    b.domainLoadOf(info),
	}
	if known := b.notices[info.incarnation()]; known != nil {
		known.unlisted = false
		s.notice = known
	}
	s.coldTokens.updatedAt = now
	if !b.listReceived && b.config.AssumeWarm {
		s.listedAt = now - assumedWarmAge
	}
	if b.listReceived {
		s.coldUntil = now + b.limits[info.Service].ColdStart
	}
	return s
}

// SetServices replaces the limits of the services.
func (b *Balancer) SetServices(services map[string]routing.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = services
}

// SetColdLimits changes the overage and slack of cold servers.
func (b *Balancer) SetColdLimits(overage, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.ColdOverage, b.config.ColdSlack = overage, slack
}

// SetMaxShift changes the bound on the share of shifted requests.
func (b *Balancer) SetMaxShift(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shifts.maxShift = share
}

// SetEvacuated replaces the set of failure domains that receive no requests.
// The servers of a domain that returns to service count as cold.
func (b *Balancer) SetEvacuated(now clock.Millis, domains values.Set[string]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.evacuated.Equal(domains) {
		return
	}
	b.evacuated = domains
	services := values.NewSet[string]()
	for _, s := range b.servers {
		if s.evacuated == domains.Has(s.info.FailureDomain) {
			continue
		}
		if s.evacuated {
			s.coldUntil = max(s.coldUntil, now+b.limits[s.info.Service].ColdStart)
			b.beginRamp(now, s, rampReturned)
		}
		services = services.With(s.info.Service)
		region := b.services[s.info.Service].region(s.info.Region)
		region.slots -= s.acceptedSlots
		b.accept(s)
		region.slots += s.acceptedSlots
	}
	b.replan(services)
}

// SetFleet replaces the list of instances that share the servers' limits.
func (b *Balancer) SetFleet(fleet Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleetVersion++
	b.selfHash = xxhash.Sum64String(fleet.Self)
	b.memberHashes = b.memberHashes[:0]
	for _, name := range fleet.Members {
		if name != fleet.Self {
			b.memberHashes = append(b.memberHashes, xxhash.Sum64String(name))
		}
	}
}

// MarkCold records a server's own report of how long it stays cold.
func (b *Balancer) MarkCold(now clock.Millis, id string, coldFor clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[id]; ok && now+coldFor > s.coldUntil {
		s.coldUntil = now + coldFor
		b.beginRamp(now, s, rampWasCold)
	}
}

// MaxConnections returns how many connections this instance may open to one
// server of a service.
func (b *Balancer) MaxConnections(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limits[service].MaxConnections
	if limit == 0 {
		return minConnections
	}
	return max(minConnections, limit*connectionPercent/100/(len(b.memberHashes)+1))
}

// mixHashes combines two hashes into one.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
