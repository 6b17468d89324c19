package routing

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

func testConfig() *Config {
	return New(Spec{
		Version: 3,
		Routes: []*Route{
			{Name: "short", Host: "A.example", Prefix: "/a/", Services: []WeightedService{{Service: "one", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/a/b/", Services: []WeightedService{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}},
		},
		Workspaces: []*Workspace{{Name: "w", Keys: []string{"k1", "k2"}, HomeRegions: values.NewSet("north")}},
	})
}

func TestMatch(t *testing.T) {
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":   {"a.example", "/a/b/c", "long"},
		"shorter prefix":   {"a.example", "/a/x", "short"},
		"host in capitals": {"A.EXAMPLE", "/a/", "short"},
		"other host":       {"b.example", "/a/", ""},
		"no prefix":        {"a.example", "/a", ""},
	}
	config := testConfig()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route, ok := config.Match(c.host, c.path)
			if ok != (c.want != "") || (ok && route.Name != c.want) {
				t.Errorf("got %v (%v), want %q", route, ok, c.want)
			}
		})
	}
}

func TestWorkspaceByKey(t *testing.T) {
	for key, want := range map[string]bool{"k1": true, "k2": true, "k3": false, "": false} {
		if _, ok := testConfig().WorkspaceByKey(key); ok != want {
			t.Errorf("key %q: %v, want %v", key, ok, want)
		}
	}
}

// TestPickService checks that any 100 consecutive requests are split by weight.
func TestPickService(t *testing.T) {
	route, _ := testConfig().Match("a.example", "/a/b/")
	for start := range 50 {
		count := 0
		for range 100 {
			if route.PickService() == "two" {
				count++
			}
		}
		if count < 8 || count > 12 {
			t.Fatalf("run %d: %d of 100 requests went to the service with weight 10", start, count)
		}
	}
}

func TestAllowsRegion(t *testing.T) {
	workspace, _ := testConfig().WorkspaceByKey("k1")
	route := &Route{HomeRegions: values.NewSet("north", "south")}
	cases := map[string]struct {
		route     *Route
		workspace *Workspace
		region    string
		want      bool
	}{
		"no home regions":                    {&Route{}, nil, "east", true},
		"home region of the route":           {route, nil, "south", true},
		"not a home region of the route":     {route, nil, "east", false},
		"home region of the route only":      {route, workspace, "south", false},
		"home region of both":                {route, workspace, "north", true},
		"home region of the workspace":       {&Route{}, workspace, "north", true},
		"not a home region of the workspace": {&Route{}, workspace, "east", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.route.AllowsRegion(c.workspace, c.region); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestIsRetry(t *testing.T) {
	route := &Route{}
	steps := []struct {
		deadline clock.Millis
		want     bool
	}{{3000, false}, {2000, true}, {3000, false}, {4000, false}, {3000, true}}
	for i, step := range steps {
		if got := route.IsRetry(step.deadline); got != step.want {
			t.Errorf("step %d, deadline %d: %v, want %v", i, step.deadline, got, step.want)
		}
	}
}
