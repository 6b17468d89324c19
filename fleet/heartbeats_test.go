package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
)

// TestLeasesStayRenewed guards against leases that run out although their lessors live,
// because heartbeats spread too slowly for the term.
func TestLeasesStayRenewed(t *testing.T) {
	for _, count := range []int{2, 3, 4, 7, 33, 105, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := &clock.Manual{}
			c.Set(1000 * clock.Second)
			n, list := newMemoryFleet(count, c)
			lease := &wire.Lease{TermMs: 1500, Owners: []*wire.LeaseOwner{{Process: 1, Key: 1}}}
			for _, g := range list {
				g.config.Members.SetLease(1, lease)
			}
			runRounds(t, n, list, c, 8*clock.Second, func(clock.Millis) {})
			var ages []clock.Millis
			runRounds(t, n, list, c, 6*clock.Second, func(clock.Millis) {
				for _, g := range list[:min(count, 7)] {
					for _, report := range g.config.Members.LeaseReports() {
						ages = append(ages, c.Now()-report.StatedAt)
					}
				}
			})
			slices.Sort(ages)
			at := func(percent int) clock.Millis { return ages[len(ages)*percent/100-1] }
			term := list[0].config.Members.LeaseTerm()
			t.Logf("leases were stated %d ms ago at the median, 99 in 100 within %d ms, all within %d ms, the term is %d ms", at(50), at(99), at(100), term)
			if at(98) > term {
				t.Errorf("2 in 100 leases were stated over %d ms ago, the term is %d ms", at(98), term)
			}
		})
	}
}
