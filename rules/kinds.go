package rules

import (
	"strings"

	"github.com/bulrushferry/bulrushferry/wire"
)

const (
	maxMbitPerS       = 1_000_000
	maxBurst          = 10_000_000
	defaultCapacity   = maxCount
	defaultDeadlineMs = 3000
)

// ruleReaders maps each kind of rule to the function that parses its fields and adds the
// rule to out.
var ruleReaders = map[string]func(r *fieldReader, out *wire.Rules){
	"service":   readService,
	"route":     readRoute,
	"workspace": readWorkspace,
	"region":    readRegion,
	"shift":     readShift,
	"drain":     readDrain,
	"objective": readObjective,
	"block":     readBlock,
}

func readService(r *fieldReader, out *wire.Rules) {
	out.Services = append(out.Services, &wire.ServiceRule{
		Name:        r.statement.name.text,
		Slots:       r.count("slots"),
		Connections: r.count("connections"),
	})
}

func readRoute(r *fieldReader, out *wire.Rules) {
	route := &wire.RouteRule{
		Name:       r.statement.name.text,
		Service:    r.text("service"),
		Prefix:     r.text("prefix"),
		Open:       r.flag("open"),
		DeadlineMs: defaultDeadlineMs,
	}
	if !strings.HasPrefix(route.GetPrefix(), "/") {
		f, _ := r.lookup("prefix")
		r.addFault(f.column, "prefix", "%q does not start with a slash", route.GetPrefix())
	}
	once, idempotent := r.flag("once"), r.flag("idempotent")
	if once == idempotent {
		r.addFault(r.statement.kind.column, "mode", "a route is either once or idempotent")
	}
	if once {
		route.Mode = wire.RouteMode_ROUTE_MODE_ONCE
	}
	if once && route.GetOpen() {
		r.addFault(r.statement.kind.column, "open", "a route that runs once cannot be open")
	}
	if _, given := r.lookup("deadline"); given {
		route.DeadlineMs = r.milliseconds("deadline")
	}
	out.Routes = append(out.Routes, route)
}

func readWorkspace(r *fieldReader, out *wire.Rules) {
	out.Workspaces = append(out.Workspaces, &wire.WorkspaceRule{
		Name:     r.statement.name.text,
		RatePerS: r.number("rate", maxRatePerS),
		Burst:    r.number("burst", maxBurst),
		Weight:   r.optionalCount("weight", 1),
	})
}

func readRegion(r *fieldReader, out *wire.Rules) {
	out.Regions = append(out.Regions, &wire.RegionRule{
		Name:         r.statement.name.text,
		Capacity:     r.optionalCount("capacity", defaultCapacity),
		LinkMbitPerS: r.number("link_mbit_per_s", maxMbitPerS),
	})
}

func readShift(r *fieldReader, out *wire.Rules) {
	out.Shifts = append(out.Shifts, &wire.ShiftRule{
		Name:      r.statement.name.text,
		Service:   r.text("service"),
		From:      r.text("from"),
		To:        r.text("to"),
		Share:     r.number("share", 1),
		CapPerMin: r.number("cap_per_min", 1),
	})
}

func readDrain(r *fieldReader, out *wire.Rules) {
	drain := &wire.DrainRule{
		Name:          r.statement.name.text,
		BackendServer: r.optionalText("backend_server"),
		Instance:      r.optionalText("instance"),
	}
	if (drain.GetBackendServer() == "") == (drain.GetInstance() == "") {
		r.addFault(r.statement.kind.column, "backend_server", "a drain names either a backend_server or an instance")
	}
	out.Drains = append(out.Drains, drain)
}

func readObjective(r *fieldReader, out *wire.Rules) {
	out.Objectives = append(out.Objectives, &wire.ObjectiveRule{
		Name:         r.statement.name.text,
		Service:      r.text("service"),
		Availability: r.number("availability", 1),
		LatencyMs:    r.milliseconds("latency"),
	})
}

func readBlock(r *fieldReader, out *wire.Rules) {
	out.Blocks = append(out.Blocks, &wire.BlockRule{
		Name:   r.statement.name.text,
		Prefix: r.addressPrefix("prefix"),
		Region: r.text("region"),
	})
}
