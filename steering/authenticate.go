package steering

import "github.com/valyala/fasthttp"

// authenticate looks up the workspace by the request's key. Open routes, and
// configurations without workspaces, need no key.
func (h *Handler) authenticate(req *callerRequest) bool {
	if req.route.Open || len(req.config.Workspaces) == 0 {
		return true
	}
	key := string(req.exchange.Request.Header.Peek(h.config.Headers.APIKey))
	workspace, ok := req.config.WorkspaceByKey(key)
	if !ok {
		return h.refuse(req, fasthttp.StatusUnauthorized, "the key is not known", 0)
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
	if workspace, ok := current.WorkspaceByKey(req.key); !ok || workspace.Name != req.workspace.Name {
		return "the key was withdrawn while the request waited"
	}
	return ""
}
