// Package load sends an open-loop load to a fleet of entry instances, as
// callers in several regions would, and judges the answers.
package load

import (
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

type (
	// Workspace is one workspace's callers.
	Workspace struct {
		Name string
		Key  string
		// RatePerS is the workspace's rate and Burst its burst by the rules.
		RatePerS float64
		Burst    float64
		// OfferedPerS is how many requests its callers send.
		OfferedPerS float64
		// Regions are the regions of its callers; empty means all.
		Regions []string
	}

	// Target is one kind of request.
	Target struct {
		Service string
		Method  string
		Path    string
		Once    bool
		// Weight is the target's share of the load.
		Weight float64
	}

	// Region is where callers are.
	Region struct {
		Name string
		// SourceIP is the address that the region's callers send from.
		SourceIP string
	}

	// Config configures a run.
	Config struct {
		// BootstrapAddresses are the caller addresses that callers know from the start.
		BootstrapAddresses []string
		Regions            []Region
		Workspaces         []Workspace
		Targets            []Target
		Duration           time.Duration
		// Timeout is how long a caller waits for one answer.
		Timeout time.Duration
		Seed    uint64
		// ResendShare is the part of the requests that may run once which are
		// sent again, through another instance, whatever the answer was.
		ResendShare float64
	}
)

const (
	callerTimeout = 4 * time.Second
	// onceWeight is the weight of a route that runs once, next to one of 1.
	onceWeight = 0.15
)

// NewConfig returns a load of all workspaces at a share of their rates, over
// all routes that need a key.
func NewConfig(r *wire.Rules, keys map[string]string, share float64) Config {
	config := Config{Timeout: callerTimeout}
	for _, w := range r.GetWorkspaces() {
		config.Workspaces = append(config.Workspaces, Workspace{
			Name:        w.GetName(),
			Key:         keys[w.GetName()],
			RatePerS:    w.GetRatePerS(),
			Burst:       w.GetBurst(),
			OfferedPerS: share * w.GetRatePerS(),
		})
	}
	for _, route := range r.GetRoutes() {
		if !route.GetOpen() {
			config.Targets = append(config.Targets, newTarget(route))
		}
	}
	return config
}

func newTarget(route *wire.RouteRule) Target {
	target := Target{
		Service: route.GetService(),
		Path:    route.GetPrefix() + "/1",
		Method:  fasthttp.MethodGet,
		Weight:  1,
	}
	if route.GetMode() == wire.RouteMode_ROUTE_MODE_ONCE {
		target.Once = true
		target.Method = fasthttp.MethodPost
		target.Weight = onceWeight
	}
	return target
}
