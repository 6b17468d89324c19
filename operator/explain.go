package operator

import (
	"fmt"

	"github.com/bulrushferry/bulrushferry/backend"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/wire"
)

// explain says what an instance would do with a request now.
func explain(fleet *peer.Fleet, pool *backend.Pool, service, path string) *wire.Explanation {
	state := fleet.State()
	out := &wire.Explanation{Service: service}
	step := func(format string, args ...any) {
		out.Steps = append(out.Steps, fmt.Sprintf(format, args...))
	}
	step("revision %d is in force", state.GetRevision())
	route := rules.Route(state.GetRules(), service, path)
	if route == nil {
		step("no route of service %q covers %q: the request is refused and not run", service, path)
		return out
	}
	out.Route = route.GetName()
	out.Mode = "idempotent"
	if route.GetMode() == wire.RouteMode_ROUTE_MODE_ONCE {
		out.Mode = "once"
		step("the incarnation named in the Idempotency-Key runs the request, at most once")
	}
	if !fleet.HasAuthority() {
		step("this instance has no authority: the request is refused and not run")
		return out
	}
	step("route %s allows %d ms", route.GetName(), route.GetDeadlineMs())
	if pool.HasCapacity(service) {
		step("a backend server here has room: two are drawn and the one with the shorter expected time is taken")
	} else {
		step("no backend server here has room: the request is passed to a peer with free slots, or waits in its workspace's turn")
	}
	out.Candidates = pool.Candidates(service)
	return out
}
