package placement

import "github.com/bulrushferry/bulrushferry/clock"

// pace is the relative service time of a server's machine as the server reports it: one is
// usual, 2.5 two and a half times as long. On shared machines it changes many times a
// second, so a report holds for a short time only and then fades to the mean of the
// service's reports in the failure domain. Servers that report none have a pace of one.
type pace struct {
	value      float64
	reportedAt clock.Millis
	known      bool
}

const (
	// paceHold is the age up to which a reported pace is taken as it is. From then on it
	// fades with paceTimeConstant, since the slowdowns of shared machines last for some
	// hundred milliseconds only.
	paceHold         = 100 * clock.Millis(1)
	paceTimeConstant = 500 * clock.Millis(1)
	// minPace and maxPace bound the effect of a report.
	minPace = 0.25
	maxPace = 8.0
	// usualPaceWeight is the weight of the newest report in the mean, which returns to one
	// with usualPaceTimeConstant without reports. minUsualPace and maxUsualPace bound it,
	// so that it never puts a domain out of use.
	usualPaceWeight       = 0.05
	usualPaceTimeConstant = 10 * clock.Second
	minUsualPace          = 0.8
	maxUsualPace          = 1.5
	// noPaceAge is the age that is stated where no pace was reported.
	noPaceAge = -1 * clock.Millis(1)
)

// at returns the expected pace, given the usual one.
func (p *pace) at(now clock.Millis, usual float64) float64 {
	if !p.known {
		return usual
	}
	return usual + (p.value-usual)*clock.Decay(max(0, now-p.reportedAt-paceHold), paceTimeConstant)
}

// age returns how long ago the pace was reported.
func (p *pace) age(now clock.Millis) clock.Millis {
	if !p.known {
		return noPaceAge
	}
	return now - p.reportedAt
}

// recordPace records the pace that a server reports.
func (s *serverState) recordPace(now clock.Millis, value float64) {
	s.pace = pace{value: min(max(value, minPace), maxPace), reportedAt: now, known: true}
	s.domainLoad.recordPace(now, s.pace.value)
}

// currentPace returns the expected pace of a server.
func (s *serverState) currentPace(now clock.Millis) float64 {
	return s.pace.at(now, s.domainLoad.usualPace(now))
}

// paceDuring returns the pace that explains the latency of a request which ends now: the
// mean of what was expected when it was sent and of what the response reports. The pace
// may have changed in between.
func (c *Choice) paceDuring(result Result) float64 {
	if !result.HasPace {
		return c.pace
	}
	return (c.pace + min(max(result.Pace, minPace), maxPace)) / 2
}

// recordPace adds a reported pace to the mean.
func (l *domainLoad) recordPace(now clock.Millis, value float64) {
	l.pace = min(max(ewma(l.usualPace(now), value, usualPaceWeight), minUsualPace), maxUsualPace)
	l.paceAt = now
}

// usualPace returns the mean of the reported paces, which returns to one without reports.
func (l *domainLoad) usualPace(now clock.Millis) float64 {
	if l.paceAt == 0 || l.pace == 1 {
		return 1
	}
	return 1 + (l.pace-1)*clock.Decay(now-l.paceAt, usualPaceTimeConstant)
}
