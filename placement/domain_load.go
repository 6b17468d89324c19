package placement

import "github.com/bulrushferry/bulrushferry/clock"

// domainLoad is the average load that other instances put on a server of one
// service in one failure domain. In a large fleet, load reports from any one
// server are too rare to estimate its load, but reports from some server of its
// domain are frequent. The average decays, so that servers avoided because of
// it are tried again.
//
// factor is likewise the average ratio of actual to expected latency of the
// requests to these servers. A server that this instance has not used lately is
// expected to be as slow as the others of its domain.
type domainLoad struct {
	average   float64
	updatedAt clock.Millis
	factor    float64
	factorAt  clock.Millis
	ratio     latencyRatio
	// pace is the mean of the paces that these servers report, as of paceAt, which is
	// zero if there is none.
	pace   float64
	paceAt clock.Millis
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

// recordRatio adds the ratio of actual to expected latency of a request to the
// average.
func (l *domainLoad) recordRatio(now clock.Millis, ratio float64) {
	l.factor, _ = l.ratio.add(l.factorNow(now), min(ratio, maxLatencyFactor), domainLoadWeight)
	l.factorAt = now
}

// factorNow returns the average ratio, which returns to one without samples.
func (l *domainLoad) factorNow(now clock.Millis) float64 {
	return 1 + (l.factor-1)*clock.Decay(now-l.factorAt, domainLoadTimeConstant)
}

// domainLoadOf returns the load of a server's service and failure domain. The
// caller must hold the lock.
func (b *Balancer) domainLoadOf(info Server) *domainLoad {
	key := info.Service + "/" + info.FailureDomain
	l, ok := b.domainLoads[key]
	if !ok {
		l = &domainLoad{factor: 1}
		b.domainLoads[key] = l
	}
	return l
}
