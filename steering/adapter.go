package steering

import (
	"context"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/directory"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

type (
	// Settings are the settings of one entry instance. Changes of Bounds, Seeds, MemoryMB
	// and MaxFDs take effect while the process runs, all others at the next start.
	Settings struct {
		Instance      string
		Region        string
		FailureDomain string
		// Regions maps the failure domains to their regions.
		Regions map[string]string
		// The addresses are IP addresses with ports. An empty ReadyAddress,
		// LookupAddress or MetricsAddress is not served.
		CallerAddress  string
		ReadyAddress   string
		LookupAddress  string
		PeerAddress    string
		MetricsAddress string
		// Seeds are the addresses of peers to contact while the platform is
		// unavailable.
		Seeds []string
		// FirstStart is set when the whole deployment starts for the first time and
		// its backend servers have not served any requests yet.
		FirstStart bool
		// MemoryMB is the instance's memory limit in MiB; zero means no limit.
		MemoryMB int
		// LinkMbitPerS is the speed of the instance's network link.
		LinkMbitPerS int
		// CPUShare is the share of each of Cores processor cores that the instance may
		// use; zero means unknown.
		CPUShare float64
		Cores    float64
		// MaxFDs is the instance's limit on open descriptors; zero means that only the
		// process's own is known.
		MaxFDs int
		Bounds Bounds
	}

	// Bounds are the time limits and rates that the deployment has to stay within.
	// They are logged under the names of the fields.
	Bounds struct {
		// Authority is how long an instance that is cut off from the platform and
		// from most of its peers goes on serving.
		Authority clock.Millis
		// StopTimeout is the time that a process has from SIGTERM to SIGKILL.
		StopTimeout clock.Millis
		// LookupAge is the longest time for which callers may cache the result of
		// a lookup.
		LookupAge clock.Millis
		// RetryRatio is the number of retries to a service allowed for each
		// request to it, over the fleet.
		RetryRatio float64
		// RetrySlack is the number of retries per service and window allowed in
		// addition, over the fleet.
		RetrySlack float64
		// ColdOverage and ColdSlack widen the limit of a cold backend server: in
		// any one second it accepts its rate times ColdOverage, plus ColdSlack.
		ColdOverage float64
		ColdSlack   float64
		// MaxShift bounds how much the share of a region's requests that run in
		// another region may change within a short time.
		MaxShift float64
	}

	// Store accesses the platform's store.
	Store interface {
		// Follow keeps a replica up to date until the context ends.
		Follow(ctx context.Context, f Following)
		// Entry returns the entry of an instance.
		Entry(ctx context.Context, instance string) (Entry, error)
		// Register stores this instance's entry if its row still has a version, which is
		// zero if there was none. Otherwise it returns an ErrConflict.
		Register(ctx context.Context, info *wire.FleetInstance, version int64) error
		// Deregister makes a Deregistration if the rows still have their versions. Otherwise
		// it returns an ErrConflict.
		Deregister(ctx context.Context, d Deregistration) error
		// Roster returns the fleet's roster, nil if there is none, and the version of its row.
		Roster(ctx context.Context) (*wire.Roster, int64, error)
		// SetRoster stores the fleet's roster if its row still has a version. Otherwise it
		// returns an ErrConflict.
		SetRoster(ctx context.Context, roster *wire.Roster, version int64) error
		// Instances returns the list of all registered instances.
		Instances(ctx context.Context) (Listing, error)
		// Era returns how often the store came back from a copy that lacks the latest
		// writes, as far as its answers have shown.
		Era() int64
	}

	// Entry is an instance's row in the platform's list of instances.
	Entry struct {
		// Info is nil if there is no row. If the row cannot be decoded it has only the
		// instance's name.
		Info *wire.FleetInstance
		// Version is that of the row, or zero if there is none.
		Version int64
		// Now is the time by the store's clock, or zero if that is not known.
		Now clock.Millis
	}

	// Deregistration removes the entry of an instance and changes the roster at once.
	Deregistration struct {
		Instance string
		// Version is that of the instance's row.
		Version int64
		// Roster is the fleet's roster without the instance; nil leaves it as it is.
		Roster *wire.Roster
		// RosterVersion is that of the roster's row.
		RosterVersion int64
	}

	// Listing is the platform's list of instances.
	Listing struct {
		Instances []*wire.FleetInstance
		// Table is the list as a table.
		Table *wire.TableDelta
		// Invalid are the rows that hold no entry.
		Invalid []InvalidRow
		// Now is the time by the store's clock, or zero if that is not known.
		Now clock.Millis
	}

	// Following tells how a Store keeps a replica up to date.
	Following struct {
		Replica *fleet.Replica
		// ShouldPoll reports whether the store is to be read now.
		ShouldPoll func() bool
		// LongPoll is for how long the store may hold a read back while nothing changes;
		// zero means the default.
		LongPoll time.Duration
		// OnInvalid is called with each row that is not in the store's format.
		OnInvalid func(InvalidRow)
	}

	// InvalidRow is a row of the platform's tables that cannot be used. Other writers
	// may have written it.
	InvalidRow struct {
		Key string
		// Problem names the field that is wrong.
		Problem string
	}

	// Endpoints provides the HTTP handlers for callers' lookups and for the platform's
	// readiness checks.
	Endpoints interface {
		// Lookup returns a handler that responds with the addresses that choose
		// returns for a caller whose look-up was received at a time. Callers may cache
		// a full answer for maxAge.
		Lookup(choose func(caller directory.Caller, received time.Time) directory.Answer, maxAge func() clock.Millis) fasthttp.RequestHandler
		// Ready returns a handler that reports whether this instance accepts
		// requests.
		Ready(ready func() bool) fasthttp.RequestHandler
	}

	// Adapter connects an entry instance to one kind of platform.
	Adapter struct {
		Settings Settings
		// Reload returns the settings if they have changed since the last read. It
		// is not called concurrently.
		Reload    func() (values.Option[Settings], error)
		Headers   origin.HeaderNames
		Decoder   Decoder
		Store     Store
		Endpoints Endpoints
		// RulesTable, ServersTable and InstancesTable are the names of the platform's
		// tables that are replicated.
		RulesTable     string
		ServersTable   string
		InstancesTable string
	}
)

// ErrConflict means that a row was not written, because it has another version than expected.
var ErrConflict = errorSpace.NewType("conflict")
