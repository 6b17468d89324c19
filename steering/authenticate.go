package steering

import "github.com/valyala/fasthttp"

// authenticate looks up the workspace by the request's key. Open routes, and
// configurations that name no workspace, need no key. One that names only workspaces that
// cannot be used lets nobody in.
func (h *Handler) authenticate(req *callerRequest) bool {
	if req.route.Open || !req.config.NeedsKeys() {
		return true
	}
	key := string(req.exchange.Request.Header.Peek(h.config.Headers.APIKey))
	workspace, ok := req.config.WorkspaceByKey(key)
	if !ok {
		return h.refuse(req, fasthttp.StatusUnauthorized, "the key is not known", 0)
	}
	if workspace.Problem != "" {
		return h.refuseUnusable(req, "the workspace of the key cannot be used", workspace.Problem)
	}
	req.workspace = workspace
	req.key = key
	return true
}

// revocation returns why this instance may no longer send a request that it has accepted,
// or an empty string if it may. The request may have waited, or this process may have been
// paused, since it was accepted.
func (h *Handler) revocation(req *callerRequest) string {
	if !h.config.ControlState.HasAuthority() {
		return "this instance is cut off"
	}
	current := h.config.ControlState.Config()
	if current == req.config || req.workspace == nil {
		return ""
	}
	workspace, ok := current.WorkspaceByKey(req.key)
	if !ok || workspace.Problem != "" || workspace.Name != req.workspace.Name {
		return "the key was withdrawn while the request waited"
	}
	return ""
}

// refuseUnusable refuses a request that concerns a resource of the configuration that cannot be
// used. It returns false, for the caller to return.
func (h *Handler) refuseUnusable(req *callerRequest, reason, problem string) bool {
	return h.refuse(req, fasthttp.StatusServiceUnavailable, reason, unusableRetryAfter, "problem", problem)
}
