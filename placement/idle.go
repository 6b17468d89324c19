package placement

import (
	"cmp"
	"math/rand/v2"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

// preferIdle replaces a candidate that would queue by a server with a free
// slot, if that server is expected to respond sooner and within the objective.
// A request that yields may not queue, so it takes a slower one too.
// It looks only in the candidate's region and, unless sameRegion is set, in
// this instance's region, so that a load peak does not move requests to further
// regions.
func (b *Balancer) preferIdle(now clock.Millis, q Query, best *candidate, sameRegion bool) *candidate {
	if best == nil || (best.queueTime == 0 && (!q.Yields || best.state.hasRoom(now, q))) {
		return best
	}
	regions := values.NewSet(best.state.info.Region)
	if !sameRegion {
		regions = regions.With(b.config.Region)
	}
	idle := b.idleServer(now, q, regions)
	if idle == nil || idle.latency > q.Objective || (!q.Yields && idle.latency+b.localityPenalty(idle) >= best.latency+b.localityPenalty(best)) {
		return best
	}
	return idle
}

// idleServer returns the server with a free slot in the given regions that
// isBetter prefers, or nil if none was found. Of a large region it looks at the
// servers that rank high for the object, so that overflow goes to the same ones
// again, and at a sample if none of these is free.
func (b *Balancer) idleServer(now clock.Millis, q Query, regions values.Set[string]) *candidate {
	service := b.services[q.Service]
	if service == nil {
		return nil
	}
	var best candidate
	for _, region := range service.regions {
		if !regions.Has(region.name) || !q.RegionAllowed(region.name) {
			continue
		}
		found := false
		if len(region.servers) > fullRankSize && q.Object != 0 {
			for _, c := range region.probe(q.Object) {
				found = b.considerIdle(now, q, c, &best) || found
			}
		}
		if found {
			continue
		}
		first, count := region.sample(b.config.Random)
		for i := range count {
			server := region.servers[(first+i)%len(region.servers)]
			b.considerIdle(now, q, candidate{state: server, score: mixHashes(q.Object, server.idHash)}, &best)
		}
	}
	if best.state == nil {
		return nil
	}
	return &best
}

// considerIdle replaces the best candidate so far if a server has a free slot and is
// preferred. It reports whether the server may be used.
func (b *Balancer) considerIdle(now clock.Millis, q Query, c candidate, best *candidate) bool {
	s := c.state
	if !s.hasRoom(now, q) || s.isFull(now) || !b.usable(now, q, s, true) {
		return false
	}
	c.warm = q.Object == 0 || s.isWarmFor(q.Object, now)
	if q.WarmOnly && !c.warm {
		return false
	}
	b.estimate(now, q, &c)
	if best.state == nil || b.isBetter(&c, best) {
		*best = c
	}
	return true
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
