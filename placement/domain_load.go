package placement

import "github.com/bulrushferry/bulrushferry/clock"

// domainLoad is the average load that other instances put on a server of one
// service in one failure domain. In a large fleet, load reports from any one
// server are too rare to estimate its load, but reports from some server of its
// domain are frequent. The average decays, so that servers avoided because of
// it are tried again.
type domainLoad struct {
	average   float64
	updatedAt clock.Millis
}

const (
	// domainLoadWeight is the weight of the newest report.
	domainLoadWeight = 0.1
	// domainLoadTimeConstant is the time constant of the decay.
	domainLoadTimeConstant = 2 * clock.Second
)

// record adds a server's load from other instances to the average.
func (l *domainLoad) record(now clock.Millis, otherLoad int) {
	l.average = ewma(l.at(now), float64(otherLoad), domainLoadWeight)
	l.updatedAt = now
}

// at returns the decayed average at a given time, in requests.
func (l *domainLoad) at(now clock.Millis) float64 {
	return l.average * clock.Decay(now-l.updatedAt, domainLoadTimeConstant)
}

// domainLoadOf returns the load of a server's service and failure domain. The
// caller must hold the lock.
func (b *Balancer) domainLoadOf(info Server) *domainLoad {
	key := info.Service + "/" + info.FailureDomain
	l, ok := b.domainLoads[key]
	if !ok {
		l = &domainLoad{}
		b.domainLoads[key] = l
	}
	return l
}
