// Package emulator simulates a deployment: callers, entry instances that
// distribute requests by some policy, and backend servers with slots, queues and
// warm objects. It runs in one process, on a simulated clock and from a seed, to
// compare policies before they are measured on real processes.
package emulator

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Config describes a deployment and the load on it.
	Config struct {
		// FailureDomains lists the failure domains. Each has entry instances, some
		// of the servers of each service, and an equal part of the callers.
		FailureDomains []FailureDomain `json:"domains"`
		Workspaces     Workspaces      `json:"workspaces"`
		Services       []Service       `json:"services"`
		RequestKinds   []RequestKind   `json:"kinds"`
		// CallerDelay is the one-way network delay between callers and entry
		// instances. The other two are those between entry instances and servers
		// of the same region and of different regions.
		CallerDelay      clock.Millis `json:"caller_delay_ms"`
		IntraRegionDelay clock.Millis `json:"domain_delay_ms"`
		InterRegionDelay clock.Millis `json:"region_delay_ms"`
		// RegionLinkMbitPerS is the capacity of the link from one region to another,
		// for the bodies of requests and responses; zero means no limit.
		RegionLinkMbitPerS float64 `json:"region_link_mbit_per_s"`
		// Duration is how long callers send new requests.
		Duration clock.Millis `json:"duration_ms"`
		// Load is the factor by which the rates of all kinds are multiplied.
		Load float64 `json:"load"`
		// LoadAmplitude is the amplitude, relative to the mean, of the sine that
		// a region's load follows with LoadPeriod. Regions differ in phase. The
		// load is constant if LoadPeriod is zero.
		LoadAmplitude float64      `json:"swing"`
		LoadPeriod    clock.Millis `json:"wave_period_ms"`
		Seed          uint64       `json:"seed"`
		Tail          Tail         `json:"tail"`
		Spells        Spells       `json:"spells"`
		// Retries is how often a caller sends a refused request again; zero means once.
		Retries int     `json:"retries"`
		Surges  []Surge `json:"surges"`
		// NoExchange is set where the instances hear nothing from each other.
		NoExchange  bool        `json:"no_exchange"`
		Replacement Replacement `json:"replacement"`
	}

	// Replacement replaces some servers by new ones from time to time, which keep no
	// object warm.
	Replacement struct {
		// Period is the time from one replacement to the next, and Every the number
		// of servers of which one is replaced each time. Zero means none.
		Period clock.Millis `json:"period_ms"`
		Every  int          `json:"every"`
		// Absence is the time from the end of the old ones to the start of the new.
		Absence clock.Millis `json:"absence_ms"`
		// SlowFor is how long new servers take Slowness times as long.
		SlowFor  clock.Millis `json:"slow_for_ms"`
		Slowness float64      `json:"slowness"`
	}

	// Tail makes some requests take longer by nature, on any server.
	Tail struct {
		// Share is the share of these requests and Factor how much longer they take.
		Share  float64 `json:"share"`
		Factor float64 `json:"factor"`
	}

	// Spells makes each server slow from time to time, as a shared machine is.
	Spells struct {
		// Share is the share of the time in which a server is slow, by Factor, and
		// Length the mean length of a spell.
		Share  float64      `json:"share"`
		Factor float64      `json:"factor"`
		Length clock.Millis `json:"length_ms"`
		// Reported is set where the servers report their pace.
		Reported bool `json:"reported"`
	}

	// Surge is a time during which more requests of a kind arrive.
	Surge struct {
		Kind string `json:"kind"`
		// From and To bound the time.
		From clock.Millis `json:"from_ms"`
		To   clock.Millis `json:"to_ms"`
		// Factor is the factor by which the rate rises. With OneWorkspace set it is that
		// of workspace number Workspace, which sends all of what comes on top.
		Factor       float64 `json:"factor"`
		OneWorkspace bool    `json:"one_workspace"`
		Workspace    int     `json:"workspace"`
	}

	// FailureDomain is a failure domain and the region it belongs to.
	FailureDomain struct {
		Name   string `json:"name"`
		Region string `json:"region"`
		// Instances is the number of entry instances; zero means one.
		Instances int `json:"instances"`
		// ServerWeight is the part of each service's servers that the domain has, in
		// relation to other domains; zero means one.
		ServerWeight float64 `json:"server_weight"`
	}

	// Workspaces describes the workspaces to which the requests belong. Each is about
	// half as large as that of half its number.
	Workspaces struct {
		// Count is the number of workspaces; zero means one.
		Count int `json:"count"`
		// HomedEvery makes each workspace whose number is a multiple of it have one
		// home region, which alone may serve its requests; zero means none.
		HomedEvery int `json:"homed_every"`
	}

	// Service is a group of servers with the same limits.
	Service struct {
		Name    string `json:"name"`
		Servers int    `json:"servers"`
		Slots   int    `json:"slots"`
		// QueueCapacity is how many requests a server queues beyond those in its
		// slots.
		QueueCapacity int `json:"queue"`
		// MaxWarmObjects is how many objects a server keeps warm.
		MaxWarmObjects int `json:"keeps"`
	}

	// RequestKind describes requests of one kind.
	RequestKind struct {
		Name    string `json:"name"`
		Service string `json:"service"`
		// RatePerS is the mean rate over all failure domains.
		RatePerS float64 `json:"rate_per_s"`
		// ObjectsPerRegion is the number of different objects that the requests
		// of one region are for.
		ObjectsPerRegion int `json:"objects"`
		// ColdServiceTime and WarmServiceTime are the service times, before a
		// server's slowdown and jitter, for objects that the server does not
		// keep warm and for those that it does.
		ColdServiceTime clock.Millis `json:"cold_ms"`
		WarmServiceTime clock.Millis `json:"warm_ms"`
		// Objective is the latency up to which a response earns Credit. A later
		// one earns LateCredit if it meets the deadline.
		Objective  clock.Millis `json:"objective_ms"`
		Deadline   clock.Millis `json:"deadline_ms"`
		Credit     float64      `json:"credit"`
		LateCredit float64      `json:"late_credit"`
		Idempotent bool         `json:"safe"`
		// Bytes is the size of a request and its response together.
		Bytes int `json:"bytes"`
		// Priority is the priority of the requests; 0 is the most urgent.
		Priority int `json:"priority"`
	}
)

// Villacres returns the deployment of Ópticas Villacrés e Hijos at its usual load.
func Villacres() Config {
	return Config{
		FailureDomains: []FailureDomain{
			{Name: "sierra-a", Region: "sierra"}, {Name: "costa-a", Region: "costa"}, {Name: "austro-a", Region: "austro"},
			{Name: "sierra-b", Region: "sierra"}, {Name: "costa-b", Region: "costa"}, {Name: "austro-b", Region: "austro"},
		},
		Services: []Service{
			{Name: "probador", Servers: 24, Slots: 9, QueueCapacity: 9, MaxWarmObjects: 48},
			{Name: "pedidos", Servers: 12, Slots: 3, QueueCapacity: 6, MaxWarmObjects: 48},
		},
		RequestKinds: []RequestKind{
			{"fitting-view", "probador", 160, 70, 640, 233, 400, 3000, 1, 0.2, true, 0, 0},
			{"frame-hold", "probador", 70, 70, 840, 306, 600, 4000, 2, 0.4, false, 0, 0},
			{"lens-order", "pedidos", 55, 30, 440, 160, 300, 2000, 3, 0.6, false, 0, 0},
		},
		CallerDelay: 3, IntraRegionDelay: 1, InterRegionDelay: 20,
		Duration: 32 * clock.Second, Load: 1, LoadAmplitude: 0.3, LoadPeriod: 36 * clock.Second, Seed: 1,
	}
}

// WithLoad returns the configuration with another load factor.
func (c Config) WithLoad(load float64) Config {
	c.Load = load
	return c
}

// WithSeed returns the configuration with another seed.
func (c Config) WithSeed(seed uint64) Config {
	c.Seed = seed
	return c
}
