package emulator

import (
	"reflect"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// TestRunIsRepeatable plays the same seed twice and checks that every request
// ends once and that no server passes its limits.
func TestRunIsRepeatable(t *testing.T) {
	for name, policy := range Policies {
		t.Run(name, func(t *testing.T) {
			c := Villacres().WithLoad(2.5)
			c.Duration = 8 * clock.Second
			first, second := Run(c, policy), Run(c, policy)
			first.times, second.times = nil, nil
			first.P50Ms, first.P99Ms, second.P50Ms, second.P99Ms = 0, 0, 0, 0
			if !reflect.DeepEqual(first, second) {
				t.Errorf("one seed gave %+v and %+v", first, second)
			}
			if ended := first.InTime + first.Late + first.Unserved; ended != first.Requests {
				t.Errorf("%d of %d requests ended", ended, first.Requests)
			}
			if first.LimitViolations > 0 {
				t.Errorf("servers passed their limits %d times", first.LimitViolations)
			}
		})
	}
}

// TestProductBeatsBaselines replays loads up to far beyond the servers' capacity:
// the product's placing earns no less than any simple policy.
func TestProductBeatsBaselines(t *testing.T) {
	// margin allows for the second copy of an object, which costs a cold run
	// where one server would do.
	const margin = 0.02
	for name, load := range map[string]float64{"usual": 1, "peak": 2.2, "far too much": 3} {
		t.Run(name, func(t *testing.T) {
			c := Villacres().WithLoad(load)
			c.Duration = 24 * clock.Second
			if load > 1 {
				c.LoadAmplitude = 0.55
			}
			product := Run(c, Policies["product"]).CreditShare
			for baseline, policy := range Policies {
				if other := Run(c, policy).CreditShare; product < other-margin {
					t.Errorf("earned %.3f, and %.3f with %s", product, other, baseline)
				}
			}
		})
	}
}
