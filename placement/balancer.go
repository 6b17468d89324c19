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
	// BalancerConfig configures a Table.
	BalancerConfig struct {
		// FailureDomain and Region are those of this instance.
		FailureDomain string
		Region        string
		// Regions are all regions that callers come from.
		Regions []string
		// AssumeWarm is set where the servers that are listed first have served
		// requests before, through other instances or a former process.
		AssumeWarm bool
		// ColdOverage and ColdSlack widen a cold server's rate: over any
		// second it bears rate times overage plus slack.
		ColdOverage float64
		ColdSlack   float64
		// MaxShift is the largest part of a region's requests that may change
		// the region in which they run within a short time; zero means no bound.
		MaxShift float64
		// Crashes is told of servers that have started again; it may be nil.
		Crashes *CrashTracker
		// Random draws what is left to chance; nil takes a fresh seed.
		Random *rand.Rand
	}

	// Balancer holds the backend servers and what is known of them. It is safe
	// for concurrent use; only the lock of Crashes is taken under its own.
	Balancer struct {
		config BalancerConfig

		mu        sync.Mutex
		servers   map[string]*record
		services  map[string]*serviceServers
		limits    map[string]routing.Service
		evacuated values.Set[string]
		members   []uint64
		self      uint64
		work      map[string]*workTimes
		copies    map[string]*copies
		detours   detours
		// crowds holds the crowding of each service and failure domain.
		crowds   map[string]*crowding
		distance map[string]clock.Millis
		started  bool
	}

	// Fleet says which instances share the servers' limits.
	Fleet struct {
		// Self is the name of this instance.
		Self string
		// Members are the names of all instances that may send requests.
		Members []string
	}
)

// NewBalancer returns an empty table.
func NewBalancer(config BalancerConfig) *Balancer {
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Balancer{
		config:   config,
		servers:  make(map[string]*record),
		services: make(map[string]*serviceServers),
		work:     make(map[string]*workTimes),
		copies:   make(map[string]*copies),
		crowds:   make(map[string]*crowding),
		detours:  detours{share: config.MaxShift},
		distance: make(map[string]clock.Millis),
	}
}

// SetServers takes in the list of all servers. Servers that are not listed any more
// get nothing more.
func (t *Balancer) SetServers(now clock.Millis, list []Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]struct{}, len(list))
	for _, info := range list {
		listed[info.ID] = struct{}{}
		t.put(now, info)
	}
	for id := range t.servers {
		if _, ok := listed[id]; !ok {
			delete(t.servers, id)
		}
	}
	t.regroup()
	t.started = t.started || len(list) > 0
}

// put adds a server or renews what is listed of it. A server that has started
// again is a new one.
func (t *Balancer) put(now clock.Millis, info Server) {
	r, ok := t.servers[info.ID]
	if !ok || r.info.StartUnixMs != info.StartUnixMs || r.info.Address != info.Address {
		r = &record{
			hash:       xxhash.Sum64String(info.ID),
			bias:       1,
			since:      now,
			reportedAt: now - reportAge,
			served:     make(map[uint64]clock.Millis),
			crowd:      t.crowd(info),
		}
		r.cold.updatedAt = now
		r.coldUntil = now + info.ColdFor
		if !t.started && t.config.AssumeWarm {
			r.since = now - settledAge
		}
		if t.started {
			r.coldUntil = max(r.coldUntil, now+t.limits[info.Service].ColdStart)
		}
		if ok && t.config.Crashes != nil {
			t.config.Crashes.RecordDown(now, info.ID)
		}
		t.servers[info.ID] = r
	}
	if info.ColdFor > 0 {
		r.coldUntil = max(r.coldUntil, now+info.ColdFor)
	}
	r.info = info
}

// SetServices takes in the limits of the services.
func (t *Balancer) SetServices(services map[string]routing.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = services
}

// SetColdLimits changes how a cold server's rate is widened.
func (t *Balancer) SetColdLimits(overage, slack float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.ColdOverage, t.config.ColdSlack = overage, slack
}

// SetMaxShift changes the bound on requests that change their region.
func (t *Balancer) SetMaxShift(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detours.share = share
}

// SetEvacuated takes in the failure domains that get nothing. The servers of one
// that is taken back count as cold.
func (t *Balancer) SetEvacuated(now clock.Millis, domains values.Set[string]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.servers {
		domain := r.info.FailureDomain
		if t.evacuated.Has(domain) && !domains.Has(domain) {
			r.coldUntil = max(r.coldUntil, now+t.limits[r.info.Service].ColdStart)
		}
	}
	t.evacuated = domains
	t.regroup()
}

// SetFleet takes in the instances that share the servers' limits.
func (t *Balancer) SetFleet(fleet Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = xxhash.Sum64String(fleet.Self)
	t.members = t.members[:0]
	for _, name := range fleet.Members {
		if name != fleet.Self {
			t.members = append(t.members, xxhash.Sum64String(name))
		}
	}
}

// MarkCold takes in a server's own word that it is cold.
func (t *Balancer) MarkCold(now clock.Millis, id string, span clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.servers[id]; ok {
		r.coldUntil = max(r.coldUntil, now+span)
	}
}

// MarkDraining takes a server out that is known to have left, until it is listed
// with another start.
func (t *Balancer) MarkDraining(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.servers[id]; ok {
		r.info.Draining = true
	}
}

// MaxConnections returns this instance's part of a service's connections to one
// server.
func (t *Balancer) MaxConnections(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limits[service].MaxConnections
	if limit == 0 {
		return minConnections
	}
	return max(minConnections, limit*connectionPercent/100/(len(t.members)+1))
}

const (
	minConnections    = 2
	connectionPercent = 90
)

// mix hashes two hashes together.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
