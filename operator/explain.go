package operator

import (
	"fmt"

	"github.com/bulrushferry/bulrushferry/backend"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/wire"
)

// explain describes how an instance would route a request to a service at present.
func explain(fleet *peer.Fleet, pool *backend.Pool, service, path string) *wire.Explanation {
	state := fleet.State()
	explanation := &wire.Explanation{Service: service}
	addStep := func(format string, args ...any) {
		explanation.Steps = append(explanation.Steps, fmt.Sprintf(format, args...))
	}
	addStep("revision %d is in force", state.GetRevision())
	route := rules.Route(state.GetRules(), service, path)
	if route == nil {
		addStep("no route of service %q covers %q: the request is refused and not run", service, path)
		return explanation
	}
	explanation.Route = route.GetName()
	explanation.Mode = "idempotent"
	if route.GetMode() == wire.RouteMode_ROUTE_MODE_ONCE {
		explanation.Mode = "once"
		addStep("the incarnation named in the Idempotency-Key runs the request, at most once")
	}
	if !fleet.HasAuthority() {
		addStep("this instance has no authority: the request is refused and not run")
		return explanation
	}
	addStep("route %s allows %d ms", route.GetName(), route.GetDeadlineMs())
	if pool.HasCapacity(service) {
		addStep("a backend server here has room: two are drawn and the one with the shorter expected time is taken")
	} else {
		addStep("no backend server here has room: the request is passed to a peer with free slots, or waits in its workspace's turn")
	}
	explanation.Candidates = pool.Candidates(service)
	return explanation
}
