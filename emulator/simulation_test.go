package emulator

import (
	"reflect"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// TestRunIsDeterministic runs the same seed twice and compares the results. It
// also checks that every request ends exactly once and that no server exceeds its
// limits.
func TestRunIsDeterministic(t *testing.T) {
	for name, policy := range Policies {
		t.Run(name, func(t *testing.T) {
			c := Villacres().WithLoad(2.5)
			c.Duration = 8 * clock.Second
			first, second := Run(c, policy), Run(c, policy)
			// The latency samples depend on the global random source.
			first.latencies, second.latencies = nil, nil
			first.P50Ms, first.P99Ms, second.P50Ms, second.P99Ms = 0, 0, 0, 0
			if !reflect.DeepEqual(first, second) {
				t.Errorf("two runs of the same seed gave %+v and %+v", first, second)
			}
			if ended := first.InTime + first.Late + first.Unserved; ended != first.Requests {
				t.Errorf("%d of %d requests ended", ended, first.Requests)
			}
			if first.LimitViolations > 0 {
				t.Errorf("servers exceeded their limits %d times", first.LimitViolations)
			}
		})
	}
}

// TestProductIsNoWorseThanBaselines simulates loads up to far beyond the servers'
// capacity and checks that the product's policy earns no less credit than any
// baseline.
func TestProductIsNoWorseThanBaselines(t *testing.T) {
	// margin allows for the product's policy of serving each object from two
	// servers, which costs one more cold run than serving it from one.
	const margin = 0.02
	for name, load := range map[string]float64{"usual": 1, "peak": 2.2, "heavy overload": 3} {
		t.Run(name, func(t *testing.T) {
			c := Villacres().WithLoad(load)
			c.Duration = 24 * clock.Second
			if load > 1 {
				c.LoadAmplitude = 0.55
			}
			product := Run(c, Policies["product"]).CreditShare
			for baseline, policy := range Policies {
				if other := Run(c, policy).CreditShare; product < other-margin {
					t.Errorf("credit share %.3f, but %.3f with policy %s", product, other, baseline)
				}
			}
		})
	}
}
