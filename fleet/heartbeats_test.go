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
	for _, count := range []int{3, 7, 33, 105, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := &clock.Manual{}
			c.Set(1000 * clock.Second)
			n, list := newMemoryFleet(count, c)
			lease := &wire.Lease{TermMs: 1500, Owners: []*wire.LeaseOwner{{Process: 1, Key: 1}}}
			for _, g := range list {
				g.config.Members.SetLease(1, lease)
			}
			runRounds(t, n, list, c, 8*clock.Second, func(clock.Millis) {})
			var ages, heard []clock.Millis
			runRounds(t, n, list, c, 6*clock.Second, func(clock.Millis) {
				for _, g := range list[:min(count, 7)] {
					for _, r := range g.config.Members.LeaseReports() {
						ages = append(ages, c.Now()-r.StatedAt)
					}
					for _, o := range g.config.Members.others {
						heard = append(heard, c.Now()-o.heardAt)
					}
				}
			})
			slices.Sort(ages)
			slices.Sort(heard)
			at := func(l []clock.Millis, q float64) clock.Millis { return l[int(q*float64(len(l)-1))] }
			t.Logf("lease ages p50 %d p99 %d p99.9 %d max %d (%d of %d); heard p50 %d p99 %d p99.9 %d max %d; alive %d", at(ages, .5), at(ages, .99), at(ages, .999), at(ages, 1), len(ages), len(heard),
				at(heard, .5), at(heard, .99), at(heard, .999), at(heard, 1), aliveTimeoutFor(count))
		})
	}
}
