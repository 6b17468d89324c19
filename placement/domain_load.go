package placement

import "github.com/bulrushferry/bulrushferry/clock"

// crowding is the usual load that servers of one service in one failure domain
// have from other instances. In a large fleet an instance hears of each server
// too seldom to know its load, but it hears of some server all the time. It fades,
// so that servers that nobody dared to ask are asked again.
type crowding struct {
	others    float64
	updatedAt clock.Millis
}

const (
	// crowdingWeight is the weight of the newest report.
	crowdingWeight = 0.1
	// crowdingFade is the time constant with which reports are forgotten.
	crowdingFade = 2 * clock.Second
)

// note takes in a server's load from other instances.
func (c *crowding) note(now clock.Millis, others int) {
	c.others = blend(c.at(now), float64(others), crowdingWeight)
	c.updatedAt = now
}

// at returns the usual load at a time, in requests.
func (c *crowding) at(now clock.Millis) float64 {
	return c.others * clock.Fade(now-c.updatedAt, crowdingFade)
}

// crowd returns the crowding of a server's service and failure domain. The
// caller holds the lock.
func (t *Balancer) crowd(info Server) *crowding {
	key := info.Service + "/" + info.FailureDomain
	c, ok := t.crowds[key]
	if !ok {
		c = &crowding{}
		t.crowds[key] = c
	}
	return c
}
