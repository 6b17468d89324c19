package rules

import (
	"strings"

	"github.com/bulrushferry/bulrushferry/wire"
)

const (
	maxMbitPerS     = 1_000_000
	maxBurst        = 10_000_000
	defaultCapacity = maxCount
	defaultDeadline = 3000
)

// kinds maps each kind of rule to the function that reads its fields.
var kinds = map[string]func(r *reader, out *wire.Rules){
	"service":   readService,
	"route":     readRoute,
	"workspace": readWorkspace,
	"region":    readRegion,
	"shift":     readShift,
	"drain":     readDrain,
	"objective": readObjective,
	"block":     readBlock,
}

func readService(r *reader, out *wire.Rules) {
	out.Services = append(out.Services, &wire.ServiceRule{
		Name:        r.statement.name.text,
		Slots:       r.count("slots"),
		Connections: r.count("connections"),
	})
}

func readRoute(r *reader, out *wire.Rules) {
	route := &wire.RouteRule{
		Name:       r.statement.name.text,
		Service:    r.text("service"),
		Prefix:     r.text("prefix"),
		Open:       r.flag("open"),
		DeadlineMs: defaultDeadline,
	}
	if !strings.HasPrefix(route.GetPrefix(), "/") {
		f, _ := r.take("prefix")
		r.fault(f.column, "prefix", "%q does not start with a slash", route.GetPrefix())
	}
	once, idempotent := r.flag("once"), r.flag("idempotent")
	if once == idempotent {
		r.fault(r.statement.kind.column, "mode", "a route is either once or idempotent")
	}
	if once {
		route.Mode = wire.RouteMode_ROUTE_MODE_ONCE
	}
	if once && route.GetOpen() {
		r.fault(r.statement.kind.column, "open", "a route that runs once cannot be open")
	}
	if _, given := r.take("deadline"); given {
		route.DeadlineMs = r.milliseconds("deadline")
	}
	out.Routes = append(out.Routes, route)
}

func readWorkspace(r *reader, out *wire.Rules) {
	out.Workspaces = append(out.Workspaces, &wire.WorkspaceRule{
		Name:     r.statement.name.text,
		RatePerS: r.number("rate", maxRatePerS),
		Burst:    r.number("burst", maxBurst),
		Weight:   r.optionalCount("weight", 1),
	})
}

func readRegion(r *reader, out *wire.Rules) {
	out.Regions = append(out.Regions, &wire.RegionRule{
		Name:         r.statement.name.text,
		Capacity:     r.optionalCount("capacity", defaultCapacity),
		LinkMbitPerS: r.number("link_mbit_per_s", maxMbitPerS),
	})
}

func readShift(r *reader, out *wire.Rules) {
	out.Shifts = append(out.Shifts, &wire.ShiftRule{
		Name:      r.statement.name.text,
		Service:   r.text("service"),
		From:      r.text("from"),
		To:        r.text("to"),
		Share:     r.number("share", 1),
		CapPerMin: r.number("cap_per_min", 1),
	})
}

func readDrain(r *reader, out *wire.Rules) {
	drain := &wire.DrainRule{
		Name:          r.statement.name.text,
		BackendServer: r.optionalText("backend_server"),
		Instance:      r.optionalText("instance"),
	}
	if (drain.GetBackendServer() == "") == (drain.GetInstance() == "") {
		r.fault(r.statement.kind.column, "backend_server", "a drain names either a backend_server or an instance")
	}
	out.Drains = append(out.Drains, drain)
}

func readObjective(r *reader, out *wire.Rules) {
	out.Objectives = append(out.Objectives, &wire.ObjectiveRule{
		Name:         r.statement.name.text,
		Service:      r.text("service"),
		Availability: r.number("availability", 1),
		LatencyMs:    r.milliseconds("latency"),
	})
}

func readBlock(r *reader, out *wire.Rules) {
	out.Blocks = append(out.Blocks, &wire.BlockRule{
		Name:   r.statement.name.text,
		Prefix: r.prefix("prefix"),
		Region: r.text("region"),
	})
}
