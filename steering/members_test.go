package steering

import (
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/wire"
)

// TestKeepersGrow checks that a keeper of a large fleet has no more askers than
// one of a small fleet.
func TestKeepersGrow(t *testing.T) {
	cases := map[string]struct{ instances, want int }{
		"one":   {1, 1},
		"today": {7, 6},
		"grown": {37, 6},
		"sweep": {300, 37},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var running []*wire.FleetInstance
			for i := range c.instances {
				running = append(running, &wire.FleetInstance{Instance: fmt.Sprint(i)})
			}
			if got := len(keepers(running)); got != c.want {
				t.Errorf("%d keepers, want %d", got, c.want)
			}
		})
	}
}
