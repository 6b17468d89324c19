package routing

const (
	problemSameName = "name: another workspace has it, too"
	problemSameKey  = "keys: another workspace has the same key"

	// KindWorkspace is the Kind of problems of workspaces.
	KindWorkspace = "workspace"
)

// addWorkspaces adds workspaces and their keys. Neither of two workspaces of one name can be
// used, since their limits may differ, and a key that two workspaces hold belongs to neither.
func (c *Config) addWorkspaces(workspaces []*Workspace) {
	count := make(map[string]int, len(workspaces))
	for _, w := range workspaces {
		count[w.Name]++
	}
	for _, w := range workspaces {
		if w.Problem == "" && count[w.Name] > 1 {
			w.Problem = problemSameName
			c.addProblem(w.Name, problemSameName)
		}
		if w.Problem == "" {
			c.Workspaces[w.Name] = w
		}
		for _, key := range w.Keys {
			c.addKey(key, w)
		}
	}
}

// addKey adds a key of a workspace.
func (c *Config) addKey(key string, w *Workspace) {
	holder, taken := c.keys[key]
	if !taken || holder == w {
		c.keys[key] = w
		return
	}
	c.addProblem(w.Name, problemSameKey)
	c.keys[key] = &Workspace{Problem: problemSameKey}
}

func (c *Config) addProblem(name, reason string) {
	c.Problems = append(c.Problems, Problem{Kind: KindWorkspace, Name: name, Reason: reason})
}

// NeedsKeys reports whether requests need an API key, unless their route is open. They do as
// soon as a workspace is configured, whether or not it can be used.
func (c *Config) NeedsKeys() bool {
	return c.needsKeys
}

// ServiceProblem returns why requests for a service are refused, or an empty string. A service
// that is not configured has no limits, unless it may be one whose name is not known.
func (c *Config) ServiceProblem(name string) string {
	if s, ok := c.Services[name]; ok {
		return s.Problem
	}
	if c.hasUnnamedService {
		return "it is not configured, but a service without a readable name is"
	}
	return ""
}
