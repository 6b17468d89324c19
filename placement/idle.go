package placement

import (
	"cmp"
	"math/rand/v2"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

// preferIdle replaces a candidate that would queue by a server with a free
// slot, if that server is expected to respond sooner and within the objective.
// It looks only in the candidate's region and, unless sameRegion is set, in
// this instance's region, so that a load peak does not move requests to further
// regions.
func (b *Balancer) preferIdle(now clock.Millis, q Query, best *candidate, sameRegion bool) *candidate {
	if best == nil || best.queueTime == 0 {
		return best
	}
	regions := values.NewSet(best.state.info.Region)
	if !sameRegion {
		regions = regions.With(b.config.Region)
	}
	idle := b.idleServer(now, q, regions)
	if idle == nil || idle.latency > q.Objective || idle.latency+b.localityPenalty(idle) >= best.latency+b.localityPenalty(best) {
		return best
	}
	return idle
}

// idleServer returns the server with a free slot in the given regions that
// isBetter prefers, or nil if none was found. Of a large region it looks at a sample.
func (b *Balancer) idleServer(now clock.Millis, q Query, regions values.Set[string]) *candidate {
	service := b.services[q.Service]
	if service == nil {
		return nil
	}
	var best candidate
	found := false
	for _, region := range service.regions {
		if !regions.Has(region.name) || !q.RegionAllowed(region.name) {
			continue
		}
		first, count := region.sample(b.config.Random)
		for i := range count {
			server := region.servers[(first+i)%len(region.servers)]
			if server.load(now) >= server.info.Slots || server.isFull(now) || !b.usable(now, q, server, true) {
				continue
			}
			c := candidate{state: server, score: mixHashes(q.Object, server.idHash), warm: q.Object == 0 || server.isWarmFor(q.Object, now)}
			b.estimate(now, q, &c)
			if !found || b.isBetter(&c, &best) {
				best, found = c, true
			}
		}
	}
	if !found {
		return nil
	}
	return &best
}

// sample returns the servers of a region that are looked at for a free one, as an index
// and a count: all of a small region, and some in a row of a large one.
func (r *regionServers) sample(random *rand.Rand) (first, count int) {
	if len(r.servers) <= fullRankSize {
		return 0, len(r.servers)
	}
	return random.IntN(len(r.servers)), sampleSize
}

// isBetter reports whether a candidate is preferred to another: its expected
// latency plus locality penalty is lower or, if both are equal, its score for
// the object is higher.
func (b *Balancer) isBetter(c, other *candidate) bool {
	if order := cmp.Compare(c.latency+b.localityPenalty(c), other.latency+b.localityPenalty(other)); order != 0 {
		return order < 0
	}
	return c.score > other.score
}
