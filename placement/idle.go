package placement

import (
	"cmp"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

// relieve returns a server with a free slot in place of a choice that would wait,
// where the answer comes from there earlier and within the objective. It stays in
// the choice's region or, unless the request stays, this instance's, so that a
// crowd does not move requests between regions.
func (t *Balancer) relieve(now clock.Millis, q Query, best *candidate, stays bool) *candidate {
	if best == nil || best.wait == 0 {
		return best
	}
	regions := values.NewSet(best.record.info.Region)
	if !stays {
		regions = regions.With(t.config.Region)
	}
	idle := t.idle(now, q, regions)
	if idle == nil || idle.time > q.Objective || idle.time+t.cost(idle) >= best.time+t.cost(best) {
		return best
	}
	return idle
}

// idle returns the server with a free slot that comes first for the object among
// those in some regions from which the answer is expected first.
func (t *Balancer) idle(now clock.Millis, q Query, regions values.Set[string]) *candidate {
	s := t.services[q.Service]
	if s == nil {
		return nil
	}
	var best *candidate
	for _, region := range s.regions {
		if !regions.Has(region.name) {
			continue
		}
		for _, r := range region.servers {
			if r.load(now) >= r.info.Slots || r.isFull(now) || !t.usable(now, q, r, true) {
				continue
			}
			c := &candidate{record: r, score: mix(q.Object, r.hash), warm: q.Object == 0 || r.isWarmFor(q.Object, now)}
			t.expect(now, q, c)
			if best == nil || t.before(c, best) {
				best = c
			}
		}
	}
	return best
}

// before reports whether one candidate is to be preferred to another: the one
// with the shorter time, and of equal ones the first for the object.
func (t *Balancer) before(a, b *candidate) bool {
	if order := cmp.Compare(a.time+t.cost(a), b.time+t.cost(b)); order != 0 {
		return order < 0
	}
	return a.score > b.score
}
