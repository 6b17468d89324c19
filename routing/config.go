// Package routing holds the configuration that decides where a caller's request
// may go: routes, services, workspaces and the limits of what a caller may send.
package routing

import (
	"math"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

type (
	// Mode says whether a request may be run more than once.
	Mode int

	// WeightedService is a service with its part of a route's requests.
	WeightedService struct {
		Service string
		Weight  float64
	}

	// Route says what becomes of the requests of one host and path prefix.
	Route struct {
		Name   string
		Host   string
		Prefix string
		Mode   Mode
		// Timeout is the longest time that a request may be kept waiting.
		Timeout clock.Millis
		// Objective is the time within which an answer has its full use.
		Objective clock.Millis
		// Priority is the rank of the requests; 0 is the most urgent.
		Priority int
		// MaxAttempts is how many backend servers one request may be sent to.
		MaxAttempts int
		// Services are the services that share the requests.
		Services []WeightedService
		// Open routes need no key.
		Open bool
		// Affinity is set where servers run requests on a known object faster.
		Affinity bool
		// HomeRegions are the regions that may serve the requests; none means all.
		HomeRegions values.Set[string]

		split *splitter
		// longest is the longest deadline, in milliseconds, that was seen.
		longest atomic.Int64
	}

	// Service is a service's limits.
	Service struct {
		Name string
		// MaxConnections bounds a server's connections from all instances.
		MaxConnections int
		// ColdStart is how long a server stays cold after its start.
		ColdStart clock.Millis
		// ColdRatePerS is how many requests a second a cold server bears.
		ColdRatePerS float64
	}

	// Workspace is a customer with its keys and limits.
	Workspace struct {
		Name string
		Keys []string
		// Priority goes before the route's when it is set.
		Priority values.Option[int]
		// RatePerS and Burst bound the requests over all instances; a rate of
		// zero means no bound.
		RatePerS    float64
		Burst       float64
		HomeRegions values.Set[string]
	}

	// Limits bound what a caller may send.
	Limits struct {
		MaxHeaderBytes int
		MaxBodyBytes   int
		HeaderTimeout  clock.Millis
		IdleTimeout    clock.Millis
	}

	// Config is one version of the configuration. It is never changed.
	Config struct {
		Version    int64
		Limits     Limits
		Services   map[string]Service
		Workspaces map[string]*Workspace

		routes map[string][]*Route
		keys   map[string]*Workspace
	}

	// Spec are what a Config is made from.
	Spec struct {
		Version    int64
		Limits     Limits
		Routes     []*Route
		Services   []Service
		Workspaces []*Workspace
	}

	// splitter deals requests out by weight without chance.
	splitter struct {
		count atomic.Uint64
		total float64
	}
)

const (
	// Once requests run at most once.
	Once Mode = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// firstTryPercent is the least part of the longest deadline that a first try has.
const firstTryPercent = 99

// goldenRatio spreads successive requests evenly over the unit interval.
const goldenRatio = 0.6180339887498949

// New makes a configuration.
func New(parts Spec) *Config {
	c := &Config{
		Version:    parts.Version,
		Limits:     parts.Limits,
		Services:   make(map[string]Service, len(parts.Services)),
		Workspaces: make(map[string]*Workspace, len(parts.Workspaces)),
		routes:     make(map[string][]*Route),
		keys:       make(map[string]*Workspace),
	}
	for _, s := range parts.Services {
		c.Services[s.Name] = s
	}
	for _, w := range parts.Workspaces {
		c.Workspaces[w.Name] = w
		for _, key := range w.Keys {
			c.keys[key] = w
		}
	}
	for _, r := range parts.Routes {
		r.split = newSplitter(r.Services)
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, routes := range c.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c
}

// Match returns the route of a request: the longest prefix of its path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// WorkspaceByKey returns the workspace that holds a key.
func (c *Config) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := c.keys[key]
	return w, ok
}

// PickService returns the service for the next request of the route. Any run
// of requests is dealt out in the proportions of the weights.
func (r *Route) PickService() string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	point := r.split.next()
	for _, part := range r.Services {
		point -= part.Weight
		if point < 0 {
			return part.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// IsRetry tells from a caller's deadline whether an earlier try of the same
// caller has used up a part of it.
func (r *Route) IsRetry(deadline clock.Millis) bool {
	for {
		longest := r.longest.Load()
		if int64(deadline) <= longest {
			return int64(deadline)*100 < longest*firstTryPercent
		}
		if r.longest.CompareAndSwap(longest, int64(deadline)) {
			return false
		}
	}
}

// PriorityFor returns the rank of a workspace's requests on a route.
func (r *Route) PriorityFor(w *Workspace) int {
	if w != nil {
		if p, ok := w.Priority.Get(); ok {
			return p
		}
	}
	return r.Priority
}

// AllowsRegion reports whether a region may serve a workspace's requests on a route.
func (r *Route) AllowsRegion(w *Workspace, region string) bool {
	if r.HomeRegions.Len() > 0 && !r.HomeRegions.Has(region) {
		return false
	}
	return w == nil || w.HomeRegions.Len() == 0 || w.HomeRegions.Has(region)
}

func newSplitter(parts []WeightedService) *splitter {
	s := &splitter{}
	for _, p := range parts {
		s.total += p.Weight
	}
	return s
}

func (s *splitter) next() float64 {
	_, fraction := math.Modf(float64(s.count.Add(1)) * goldenRatio)
	return fraction * s.total
}
