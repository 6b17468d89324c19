// Package routing holds the configuration that determines where a caller's
// request may be sent: routes, services, workspaces and the limits on requests.
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
	// Mode states whether a request may run more than once.
	Mode int

	// WeightedService is a service and its weight in a route's traffic split.
	WeightedService struct {
		Service string
		Weight  float64
	}

	// Route configures the requests to one host and path prefix.
	Route struct {
		Name   string
		Host   string
		Prefix string
		Mode   Mode
		// Timeout is the longest time a caller is kept waiting.
		Timeout clock.Millis
		// Objective is the latency objective.
		Objective clock.Millis
		// Priority is the priority of the requests; 0 is the most urgent.
		Priority int
		// MaxAttempts is how many backend servers one request may be sent to.
		MaxAttempts int
		// Services are the services that share the route's requests.
		Services []WeightedService
		// Open routes accept requests without an API key.
		Open bool
		// Affinity is set where servers answer faster on objects that they
		// served recently.
		Affinity bool
		// HomeRegions are the regions that may serve the requests; empty means
		// all.
		HomeRegions values.Set[string]
		// Problem is why the route cannot be used as it is configured; empty if it can.
		// Requests that match it are refused.
		Problem string

		split *splitter
		// longestDeadlineMs is the longest request deadline seen so far.
		longestDeadlineMs atomic.Int64
	}

	// Service holds the limits of a service.
	Service struct {
		Name string
		// MaxConnections bounds the connections of all instances to one server.
		MaxConnections int
		// ColdStart is how long a server stays cold after it starts.
		ColdStart clock.Millis
		// ColdRatePerS is how many requests per second a cold server can
		// handle.
		ColdRatePerS float64
		// Problem is why the service cannot be used as it is configured; empty if it
		// can. Requests for it are refused.
		Problem string
	}

	// Workspace is a customer with its API keys and limits.
	Workspace struct {
		Name string
		Keys []string
		// Priority overrides the route's priority if set.
		Priority values.Option[int]
		// RatePerS and Burst limit the requests across all instances; a rate of
		// zero means no limit.
		RatePerS float64
		Burst    float64
		// HomeRegions are the regions that may serve the workspace's requests;
		// empty means all.
		HomeRegions values.Set[string]
		// Problem is why the workspace cannot be used as it is configured; empty if it
		// can. Requests with its keys are refused.
		Problem string
	}

	// Limits bound the size of callers' requests, the time to send them and the
	// idle time between them.
	Limits struct {
		MaxHeaderBytes int
		MaxBodyBytes   int
		HeaderTimeout  clock.Millis
		IdleTimeout    clock.Millis
	}

	// Config is one version of the configuration. It is immutable.
	Config struct {
		Version  int64
		Limits   Limits
		Services map[string]Service
		// Workspaces are those that can be used.
		Workspaces map[string]*Workspace
		// Problems are the resources that cannot be used, and parts of others.
		Problems []Problem

		routes map[string][]*Route
		// keys holds the workspaces of keys, with those that cannot be used.
		keys map[string]*Workspace
		// needsKeys is set if the configuration names workspaces, usable or not.
		needsKeys bool
		// hasUnnamedService is set if a service is configured whose name is not known.
		hasUnnamedService bool
	}

	// Problem says what is wrong with a resource of a configuration.
	Problem struct {
		// Kind and Name are those of the resource. They may hold any text, or none.
		Kind, Name string
		// Reason names the field that is wrong.
		Reason string
	}

	// Spec is the content from which New builds a Config.
	Spec struct {
		Version    int64
		Limits     Limits
		Routes     []*Route
		Services   []Service
		Workspaces []*Workspace
		// Problems are what is wrong with resources.
		Problems []Problem
	}

	// splitter distributes requests by weight, deterministically.
	splitter struct {
		count       atomic.Uint64
		totalWeight float64
	}
)

const (
	// Once requests run at most once.
	Once Mode = iota
	// Idempotent requests may run more than once.
	Idempotent
)

const (
	// firstAttemptPercent is the smallest share of the longest deadline that a
	// first attempt has left, in percent.
	firstAttemptPercent = 99
	// goldenRatio spreads consecutive requests evenly over the unit interval.
	goldenRatio = 0.6180339887498949
)

// New builds a configuration. What the spec holds must not be used for another one.
func New(spec Spec) *Config {
	c := &Config{
		Version:    spec.Version,
		Limits:     spec.Limits,
		Services:   make(map[string]Service, len(spec.Services)),
		Workspaces: make(map[string]*Workspace, len(spec.Workspaces)),
		Problems:   spec.Problems,
		routes:     make(map[string][]*Route),
		keys:       make(map[string]*Workspace),
		needsKeys:  len(spec.Workspaces) > 0,
	}
	for _, s := range spec.Services {
		c.Services[s.Name] = s
		c.hasUnnamedService = c.hasUnnamedService || s.Name == ""
	}
	c.addWorkspaces(spec.Workspaces)
	for _, r := range spec.Routes {
		r.split = newSplitter(r.Services)
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, routes := range c.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c
}

// Match returns the route with the longest prefix of a request's path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// WorkspaceByKey returns the workspace that an API key belongs to, which may have a problem.
func (c *Config) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := c.keys[key]
	return w, ok
}

// PickService returns the service for the route's next request. A run of
// consecutive requests is split nearly in proportion to the weights, wherever it
// starts.
func (r *Route) PickService() string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	point := r.split.next()
	for _, service := range r.Services {
		point -= service.Weight
		if point < 0 {
			return service.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// IsRetry reports whether a request's deadline is so much shorter than the
// longest one seen on the route that an earlier attempt of the caller has used up
// part of it. It records the deadline if it is the longest so far.
func (r *Route) IsRetry(deadline clock.Millis) bool {
	for {
		longest := r.longestDeadlineMs.Load()
		if int64(deadline) <= longest {
			return int64(deadline)*100 < longest*firstAttemptPercent
		}
		if r.longestDeadlineMs.CompareAndSwap(longest, int64(deadline)) {
			return false
		}
	}
}

// PriorityFor returns the priority of a workspace's requests on the route.
func (r *Route) PriorityFor(w *Workspace) int {
	if w != nil {
		if p, ok := w.Priority.Get(); ok {
			return p
		}
	}
	return r.Priority
}

// AllowsRegion reports whether a region may serve a workspace's requests on the
// route.
func (r *Route) AllowsRegion(w *Workspace, region string) bool {
	if r.HomeRegions.Len() > 0 && !r.HomeRegions.Has(region) {
		return false
	}
	return w == nil || w.HomeRegions.Len() == 0 || w.HomeRegions.Has(region)
}

func newSplitter(services []WeightedService) *splitter {
	s := &splitter{}
	for _, service := range services {
		s.totalWeight += service.Weight
	}
	return s
}

func (s *splitter) next() float64 {
	_, fraction := math.Modf(float64(s.count.Add(1)) * goldenRatio)
	return fraction * s.totalWeight
}
