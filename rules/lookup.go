package rules

import (
	"strings"

	"github.com/bulrushferry/bulrushferry/wire"
)

// Service returns the service with the given name, or nil.
func Service(r *wire.Rules, name string) *wire.ServiceRule {
	for _, service := range r.GetServices() {
		if service.GetName() == name {
			return service
		}
	}
	return nil
}

// Workspace returns the workspace with the given name, or nil.
func Workspace(r *wire.Rules, name string) *wire.WorkspaceRule {
	for _, workspace := range r.GetWorkspaces() {
		if workspace.GetName() == name {
			return workspace
		}
	}
	return nil
}

// Route returns the route of a service whose prefix is the longest that matches the
// path, or nil.
func Route(r *wire.Rules, service, path string) *wire.RouteRule {
	var best *wire.RouteRule
	for _, route := range r.GetRoutes() {
		if route.GetService() != service || !hasPathPrefix(path, route.GetPrefix()) {
			continue
		}
		if best == nil || len(route.GetPrefix()) > len(best.GetPrefix()) {
			best = route
		}
	}
	return best
}

// LongestDeadline returns the longest deadline of a service's routes, in milliseconds.
func LongestDeadline(r *wire.Rules, service string) int64 {
	var longest int64
	for _, route := range r.GetRoutes() {
		if route.GetService() == service {
			longest = max(longest, route.GetDeadlineMs())
		}
	}
	return longest
}

// hasPathPrefix reports whether a path equals a prefix or continues it with another
// segment.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/"))
}
