// Package emulator plays a deployment on a simulated clock: callers, entry
// instances that place requests by some policy, and backend servers with slots,
// queues and objects that they keep warm. It is for trying policies, in process and
// by seed, before they are measured on real processes.
package emulator

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Config is a deployment and the load on it.
	Config struct {
		// FailureDomains are the failure domains; each has one entry instance and its
		// part of the servers and of the callers.
		FailureDomains []FailureDomain `json:"domains"`
		Services       []Service       `json:"services"`
		RequestKinds   []RequestKind   `json:"kinds"`
		// The delays are one way.
		CallerDelay      clock.Millis `json:"caller_delay_ms"`
		IntraRegionDelay clock.Millis `json:"domain_delay_ms"`
		InterRegionDelay clock.Millis `json:"region_delay_ms"`
		Duration         clock.Millis `json:"duration_ms"`
		// Load scales the rates of all kinds.
		Load float64 `json:"load"`
		// LoadAmplitude is the part by which a region's load goes up and down over
		// WavePeriod, the regions one after the other.
		LoadAmplitude float64      `json:"swing"`
		LoadPeriod    clock.Millis `json:"wave_period_ms"`
		Seed          uint64       `json:"seed"`
	}

	// FailureDomain is a failure domain.
	FailureDomain struct {
		Name   string `json:"name"`
		Region string `json:"region"`
	}

	// Service is a group of equal servers, dealt out to the domains in turn.
	Service struct {
		Name    string `json:"name"`
		Servers int    `json:"servers"`
		Slots   int    `json:"slots"`
		// QueueCapacity is how many requests wait at a server beyond its slots.
		QueueCapacity int `json:"queue"`
		// MaxWarmObjects is how many objects a server keeps warm.
		MaxWarmObjects int `json:"keeps"`
	}

	// RequestKind is one kind of request.
	RequestKind struct {
		Name     string  `json:"name"`
		Service  string  `json:"service"`
		RatePerS float64 `json:"rate_per_s"`
		// ObjectsPerRegion is how many objects the requests of one region concern.
		ObjectsPerRegion int          `json:"objects"`
		ColdServiceTime  clock.Millis `json:"cold_ms"`
		WarmServiceTime  clock.Millis `json:"warm_ms"`
		// Objective is the time within which an answer earns Credit; later it
		// earns LateCredit, until the deadline.
		Objective  clock.Millis `json:"objective_ms"`
		Deadline   clock.Millis `json:"deadline_ms"`
		Credit     float64      `json:"credit"`
		LateCredit float64      `json:"late_credit"`
		Idempotent bool         `json:"safe"`
	}
)

// Villacres returns the deployment of Ópticas Villacrés e Hijos at a usual load.
func Villacres() Config {
	return Config{
		FailureDomains: []FailureDomain{
			{"sierra-a", "sierra"}, {"costa-a", "costa"}, {"austro-a", "austro"},
			{"sierra-b", "sierra"}, {"costa-b", "costa"}, {"austro-b", "austro"},
		},
		Services: []Service{
			{Name: "probador", Servers: 24, Slots: 9, QueueCapacity: 9, MaxWarmObjects: 48},
			{Name: "pedidos", Servers: 12, Slots: 3, QueueCapacity: 6, MaxWarmObjects: 48},
		},
		RequestKinds: []RequestKind{
			{"fitting-view", "probador", 160, 70, 640, 233, 400, 3000, 1, 0.2, true},
			{"frame-hold", "probador", 70, 70, 840, 306, 600, 4000, 2, 0.4, false},
			{"lens-order", "pedidos", 55, 30, 440, 160, 300, 2000, 3, 0.6, false},
		},
		CallerDelay: 3, IntraRegionDelay: 1, InterRegionDelay: 20,
		Duration: 32 * clock.Second, Load: 1, LoadAmplitude: 0.3, LoadPeriod: 36 * clock.Second, Seed: 1,
	}
}

// WithLoad returns the configuration with its rates scaled.
func (c Config) WithLoad(load float64) Config {
	c.Load = load
	return c
}

// WithSeed returns the configuration with another seed.
func (c Config) WithSeed(seed uint64) Config {
	c.Seed = seed
	return c
}
