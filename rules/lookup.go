package rules

import (
	"strings"

	"github.com/bulrushferry/bulrushferry/wire"
)

// Service finds a service by name.
func Service(r *wire.Rules, name string) *wire.ServiceRule {
	for _, service := range r.GetServices() {
		if service.GetName() == name {
			return service
		}
	}
	return nil
}

// Workspace finds a workspace by name.
func Workspace(r *wire.Rules, name string) *wire.WorkspaceRule {
	for _, workspace := range r.GetWorkspaces() {
		if workspace.GetName() == name {
			return workspace
		}
	}
	return nil
}

// Route finds the route of a service with the longest prefix of a path.
func Route(r *wire.Rules, service, path string) *wire.RouteRule {
	var best *wire.RouteRule
	for _, route := range r.GetRoutes() {
		if route.GetService() != service || !underPrefix(path, route.GetPrefix()) {
			continue
		}
		if best == nil || len(route.GetPrefix()) > len(best.GetPrefix()) {
			best = route
		}
	}
	return best
}

// LongestDeadline returns the longest deadline of a service's routes in
// milliseconds.
func LongestDeadline(r *wire.Rules, service string) int64 {
	var longest int64
	for _, route := range r.GetRoutes() {
		if route.GetService() == service {
			longest = max(longest, route.GetDeadlineMs())
		}
	}
	return longest
}

// underPrefix reports whether a path equals a prefix or continues it with a
// new path segment.
func underPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/"))
}
