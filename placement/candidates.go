package placement

import (
	"sort"

	"github.com/bulrushferry/bulrushferry/clock"
)

// regionCandidates holds the highest-ranked servers of one region for an
// object.
type regionCandidates struct {
	name  string
	score float64
	best  [serversPerRegion]candidate
	count int
}

// rankCandidates returns the few servers that may serve an object, starting
// with those of the region that ranks first for it. A strict search leaves out
// servers that failed recently.
func (b *Balancer) rankCandidates(now clock.Millis, q Query, strict bool) []candidate {
	service := b.services[q.Service]
	if service == nil {
		return nil
	}
	object := q.Object
	if object == 0 {
		object = b.config.Random.Uint64()
	}
	regions := make([]regionCandidates, 0, len(service.regions))
	for _, region := range service.regions {
		if !q.RegionAllowed(region.name) {
			continue
		}
		candidates := regionCandidates{name: region.name, score: service.plan.score(object, region.name, region.hash)}
		for _, server := range region.servers {
			if b.usable(now, q, server, strict) {
				candidates.insert(candidate{state: server, score: mixHashes(object, server.idHash)})
			}
		}
		if candidates.count > 0 {
			regions = append(regions, candidates)
		}
	}
	sort.Slice(regions, func(i, j int) bool { return regions[i].score > regions[j].score })
	if len(regions) == 0 {
		return nil
	}
	return selectCandidates(regions, b.fanoutOf(now, q.Service, regions[0].name).count)
}

// selectCandidates keeps at most the given number of servers: up to two of the
// first region and one of each following region.
func selectCandidates(regions []regionCandidates, limit int) []candidate {
	var selected []candidate
	for i := range regions {
		best := regions[i].best[:min(regions[i].count, max(1, serversPerRegion-i))]
		selected = append(selected, best[:min(len(best), limit-len(selected))]...)
		if len(selected) == limit {
			break
		}
	}
	return selected
}

// insert adds a server, keeping the best ones in descending order of score.
func (r *regionCandidates) insert(c candidate) {
	i := r.count
	for i > 0 && r.best[i-1].score < c.score {
		i--
	}
	if i == serversPerRegion {
		return
	}
	copy(r.best[i+1:], r.best[i:serversPerRegion-1])
	r.best[i] = c
	r.count = min(r.count+1, serversPerRegion)
}
