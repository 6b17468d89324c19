package placement

import (
	"sort"

	"github.com/bulrushferry/bulrushferry/clock"
)

// top returns the few servers that an object's requests go to, those of the
// region that the plan gives it first. A strict search leaves out servers that
// have failed lately.
func (t *Balancer) top(now clock.Millis, q Query, strict bool) []candidate {
	s := t.services[q.Service]
	if s == nil {
		return nil
	}
	object := q.Object
	if object == 0 {
		object = t.config.Random.Uint64()
	}
	groups := make([]group, 0, len(s.regions))
	for _, r := range s.regions {
		if !q.RegionAllowed(r.name) {
			continue
		}
		g := group{order: s.plan.order(object, r.name, r.hash)}
		for _, server := range r.servers {
			if t.usable(now, q, server, strict) {
				g.insert(candidate{record: server, score: mix(object, server.hash)})
			}
		}
		if g.count > 0 {
			groups = append(groups, g)
		}
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].order > groups[j].order })
	return take(groups, t.copiesOf(now, q.Service).count)
}

// take keeps some candidates: the first two of the first region, then the first
// ones of the next regions.
func take(groups []group, most int) []candidate {
	var top []candidate
	for i := range groups {
		some := groups[i].first[:min(groups[i].count, max(1, copiesPerRegion-i))]
		top = append(top, some[:min(len(some), most-len(top))]...)
		if len(top) == most {
			break
		}
	}
	return top
}

// group is the best servers of one region for an object.
type group struct {
	order float64
	first [copiesPerRegion]candidate
	count int
}

// insert keeps the best candidates in the order of their scores.
func (g *group) insert(c candidate) {
	i := g.count
	for i > 0 && g.first[i-1].score < c.score {
		i--
	}
	if i == copiesPerRegion {
		return
	}
	copy(g.first[i+1:], g.first[i:copiesPerRegion-1])
	g.first[i] = c
	g.count = min(g.count+1, copiesPerRegion)
}
