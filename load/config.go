// Package load generates an open-loop load of callers in several regions on a fleet
// of entry instances, and evaluates the responses.
package load

import (
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

type (
	// Workspace describes a workspace and the load of its callers.
	Workspace struct {
		Name string
		Key  string
		// RatePerS and Burst are the workspace's rate limit and its burst.
		RatePerS float64
		Burst    float64
		// OfferedPerS is the mean rate at which its callers send requests.
		OfferedPerS float64
		// Regions lists the regions of its callers; empty means all.
		Regions []string
	}

	// Target describes requests of one kind.
	Target struct {
		Service string
		Method  string
		Path    string
		// Once is set for requests that run at most once. They carry an
		// idempotency key.
		Once bool
		// Weight is the target's relative share of the load.
		Weight float64
	}

	// Region is a region with callers.
	Region struct {
		Name string
		// SourceIP is the source address of the callers' connections.
		SourceIP string
	}

	// Config configures a run.
	Config struct {
		// BootstrapAddresses lists caller addresses of instances. Lookups are
		// sent there if no instance of an earlier lookup responds.
		BootstrapAddresses []string
		Regions            []Region
		Workspaces         []Workspace
		Targets            []Target
		Duration           time.Duration
		// Timeout is the timeout of each attempt.
		Timeout time.Duration
		Seed    uint64
		// ResendShare is the share of the requests with an idempotency key that
		// are sent again, to the last instance of the lookup, whatever the
		// response was.
		ResendShare float64
	}
)

const (
	callerTimeout = 4 * time.Second
	// onceWeight is the weight of routes whose requests run at most once; that of
	// other routes is 1.
	onceWeight = 0.15
)

// NewConfig returns a load of all workspaces at a share of their rate limits, over
// all routes that require an API key. The keys are given by workspace.
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
