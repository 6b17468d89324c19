package placement

import (
	"cmp"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
)

// rankCandidates returns the few servers that may serve an object, starting
// with those of the region that ranks first for it. A strict search leaves out
// servers that failed recently. The result is valid until the next call.
func (b *Balancer) rankCandidates(now clock.Millis, q Query, strict bool) []candidate {
	service := b.services[q.Service]
	if service == nil {
		return nil
	}
	object := q.Object
	if object == 0 {
		object = b.config.Random.Uint64()
	}
	b.rankings = b.rankings[:0]
	for _, region := range service.regions {
		if region.slots > 0 && q.RegionAllowed(region.name) {
			b.rankings = append(b.rankings, ranking{region: region, score: service.plan.score(object, region.name, region.hash)})
		}
	}
	slices.SortStableFunc(b.rankings, func(x, y ranking) int { return cmp.Compare(y.score, x.score) })
	return b.selectCandidates(now, q, object, strict)
}

// selectCandidates returns the servers of the ranked regions that serve an object, as many
// as the fanout of the first region with a usable server: up to two of that region and one
// of each following one.
func (b *Balancer) selectCandidates(now clock.Millis, q Query, object uint64, strict bool) []candidate {
	usable := func(s *serverState) bool { return b.usable(now, q, s, strict) }
	b.selected = b.selected[:0]
	limit, most := 0, serversPerRegion
	for i := range b.rankings {
		r := &b.rankings[i]
		r.region.rank(object, r, usable)
		if r.count == 0 {
			continue
		}
		if limit == 0 {
			limit = b.fanoutOf(now, q.Service, r.region.name).count
		}
		if r.rebalance(object, now) {
			b.counts.MovedObjects++
		}
		best := r.best[:min(r.count, most, limit-len(b.selected))]
		b.selected = append(b.selected, best...)
		if len(b.selected) == limit {
			break
		}
		most = max(1, most-1)
	}
	return b.selected
}
