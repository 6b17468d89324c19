package steering

import (
	"context"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

type (
	// Settings are what a process learns of its surroundings at its start.
	Settings struct {
		Instance      string
		Region        string
		FailureDomain string
		// Regions holds the region of each failure domain.
		Regions map[string]string
		// The addresses are IP numbers with ports; an empty one is not served.
		CallerAddress    string
		ReadyAddress     string
		DirectoryAddress string
		PeerAddress      string
		MetricsAddress   string
		// Seeds are peer addresses to ask where the platform does not answer.
		Seeds []string
		// FirstStart is set where the whole deployment starts for the first time.
		FirstStart bool
		MemoryMB   int
		// LinkMbitPerS is the speed of the machine's network link.
		LinkMbitPerS int
		Bounds       Bounds
	}

	// Bounds are the figures that the deployment's promises hold to.
	Bounds struct {
		// Authority is how long an instance that hears nothing acts on.
		Authority clock.Millis
		// StopTimeout is how long a process has from SIGTERM to SIGKILL.
		StopTimeout clock.Millis
		// LookupAge is the longest time for which callers may keep a look-up.
		LookupAge  clock.Millis
		RetryRatio float64
		// RetrySlack is in retries per service and window, over the fleet.
		RetrySlack  float64
		ColdOverage float64
		ColdSlack   float64
		// MaxShift is the largest part of a region's requests that may change
		// the region in which they run within a short time.
		MaxShift float64
	}

	// Store is the platform's store.
	Store interface {
		// Follow keeps a replica up to date until the context ends. The store
		// is asked only while due says so.
		Follow(ctx context.Context, replica *fleet.Replica, due func() bool)
		// Register stores this instance's entry.
		Register(ctx context.Context, info *wire.FleetInstance) error
		// Deregister removes this instance's entry.
		Deregister(ctx context.Context, info *wire.FleetInstance) error
		// Instances returns the stored entries of all instances.
		Instances(ctx context.Context) ([]*wire.FleetInstance, error)
	}

	// Endpoints speaks to callers that ask where to connect and to the platform's
	// own checks.
	Endpoints interface {
		// Directory answers with the addresses that choose returns for a
		// caller's region and failure domain, to be kept for an age.
		Directory(choose func(region, domain string) []string, age func() clock.Millis) fasthttp.RequestHandler
		// Ready answers whether this instance takes requests.
		Ready(ready func() bool) fasthttp.RequestHandler
	}

	// Adapter is all that speaks to one kind of platform.
	Adapter struct {
		Settings Settings
		// Reload returns the settings if they have changed since they were read
		// last. It is called by one goroutine at a time.
		Reload    func() (values.Option[Settings], error)
		Dialect   origin.HeaderNames
		Decoder   Decoder
		Store     Store
		Endpoints Endpoints
		// Tables are the names of the platform's tables that are followed.
		RulesTable   string
		ServersTable string
	}
)
