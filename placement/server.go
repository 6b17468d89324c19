// Package placement decides which backend server a request is sent to, based on
// the platform's server list, the load that servers report and the results of
// earlier requests. It does no I/O and reads no clock.
package placement

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Server is a backend server as listed by the platform.
	Server struct {
		ID            string
		Service       string
		Address       string
		FailureDomain string
		Region        string
		Slots         int
		Draining      bool
		// ColdFor is how much longer the server stays cold, as of the listing.
		ColdFor clock.Millis
		// StartUnixMs is when the server started, in Unix milliseconds.
		StartUnixMs int64
	}

	// serverState is what this instance knows about one server.
	serverState struct {
		info   Server
		idHash uint64
		// index is the server's place in the list of its region, group.
		index int
		group *regionServers
		// balance is next to what a change of the list reads.
		balance balance
		// evacuated is set while its failure domain gets no requests, acceptedSlots
		// are its slots unless it gets none for that or another listed reason.
		evacuated     bool
		acceptedSlots int
		// senderRank is the rank of this instance among the senders of a cold server, as
		// of the fleet's version senderRankAt.
		senderRank   int
		senderRankAt int

		inFlight int
		// otherLoad is the load from other instances, as of the server's last
		// report.
		otherLoad  int
		reportedAt clock.Millis
		// domainLoad is the average load of servers of the same service and
		// failure domain.
		domainLoad *domainLoad

		coldUntil  clock.Millis
		coldTokens tokenBucket
		ramp       ramp

		// backoffUntil is when a server may be tried again after consecutive
		// failures.
		consecutiveFailures int
		backoffUntil        clock.Millis
		// lostAt is when the response to a request was last lost.
		lostAt clock.Millis
		// fullUntil is when a server that declined a request, or had no free
		// connection, is tried again.
		fullUntil clock.Millis
		// declinedLoad is the load at which the server last declined a request,
		// at declinedAt; zero means that it never did.
		declinedLoad int
		declinedAt   clock.Millis
		// failureRate is the decaying share of requests that failed, as of
		// failureRateAt.
		failureRate   float64
		failureRateAt clock.Millis
		// latencyFactor is the average ratio of actual to expected latency, as of
		// latencyFactorAt.
		latencyFactor   float64
		latencyFactorAt clock.Millis
		latencyRatio    latencyRatio
		// pace is what the server reports of its machine.
		pace pace
		// listedAt is when the server was first listed.
		listedAt clock.Millis

		// notice is what the server has said of itself; nil if nothing.
		notice *notice

		// lastServed is when this instance last sent a request for each object.
		lastServed map[uint64]clock.Millis
	}
)

// isGroupedLike reports whether another entry of the server leaves it where it is among
// the servers of its service and region.
func (s Server) isGroupedLike(other Server) bool {
	other.ColdFor = s.ColdFor
	return s == other
}

const (
	// maxReportAge is the age from which a server's load report is not used.
	maxReportAge   = 600 * clock.Millis(1)
	minBackoff     = 400 * clock.Millis(1)
	maxBackoff     = 2 * clock.Second
	declineBackoff = 60 * clock.Millis(1)
	// declinedLoadDivisor is the part, as a divisor, of the load at which a server
	// declined below which it is not taken to be full at all.
	declinedLoadDivisor = 2
	// declinedLoadStep is the time after which a server is assumed to accept
	// one request more than when it declined.
	declinedLoadStep = 500 * clock.Millis(1)
	// failureWeight is the weight of the newest request in the failure rate.
	failureWeight = 0.15
	// failureTimeConstant is the time constant with which the failure rate
	// decays.
	failureTimeConstant = 2 * clock.Second
	// maxFailureRate is the failure rate from which other servers are
	// preferred.
	maxFailureRate      = 0.25
	latencyFactorWeight = 0.12
	minLatencyFactor    = 0.7
	maxLatencyFactor    = 8.0
	// A server that has got no request for latencyFactorHold is tried again: from then
	// on its latency factor becomes that of its domain with latencyFactorTimeConstant.
	latencyFactorHold         = 1500 * clock.Millis(1)
	latencyFactorTimeConstant = 500 * clock.Millis(1)
	// onceProbeDelay is how long after a lost response a request that runs at most once
	// may be the first that is sent to the server again. Idempotent ones find out sooner
	// whether it works, but not all services get any.
	onceProbeDelay = 2500 * clock.Millis(1)
	// warmDuration is how long a server keeps an object warm after a request.
	warmDuration = 20 * clock.Second
	// maxTrackedObjects bounds the objects remembered for each server.
	maxTrackedObjects = 512
)

// load estimates the server's requests from all instances. Without a recent
// report, the load from other instances is the average of similar servers.
func (s *serverState) load(now clock.Millis) int {
	if now-s.reportedAt >= maxReportAge {
		return s.inFlight + int(s.domainLoad.at(now))
	}
	return s.inFlight + s.otherLoad
}

// knownLoad returns the load without the estimate from similar servers.
func (s *serverState) knownLoad(now clock.Millis) int {
	if now-s.reportedAt >= maxReportAge {
		return s.inFlight
	}
	return s.inFlight + s.otherLoad
}

// recordLoad records the load that the server itself has reported.
func (s *serverState) recordLoad(now clock.Millis, load int) {
	s.otherLoad = max(0, load-s.inFlight)
	s.reportedAt = now
	s.domainLoad.record(now, s.otherLoad)
	s.recordUsage(now, load)
}

// isFull reports whether the server is expected to decline another request.
func (s *serverState) isFull(now clock.Millis) bool {
	if now < s.fullUntil && s.knownLoad(now)+1 >= (s.declinedLoad+1)/declinedLoadDivisor {
		return true
	}
	return s.declinedLoad > 0 && s.knownLoad(now) >= s.declinedLoad+int((now-s.declinedAt)/declinedLoadStep)
}

// recordDecline records that the server had no room for another request beside the load
// at the time when that was sent. Of that load much may have ended since.
func (s *serverState) recordDecline(now clock.Millis, loadBefore int) {
	s.fullUntil = now + declineBackoff
	s.declinedLoad = max(1, loadBefore, s.knownLoad(now))
	s.declinedAt = now
}

func (s *serverState) isCold(now clock.Millis) bool {
	return now < s.coldUntil
}

func (s *serverState) isWarmFor(object uint64, now clock.Millis) bool {
	at, ok := s.lastServed[object]
	return ok && now-at < warmDuration
}

func (s *serverState) recordObject(object uint64, now clock.Millis) {
	if len(s.lastServed) >= maxTrackedObjects {
		for other, at := range s.lastServed {
			if now-at >= warmDuration {
				delete(s.lastServed, other)
			}
		}
		if len(s.lastServed) >= maxTrackedObjects {
			clear(s.lastServed)
		}
	}
	s.lastServed[object] = now
}

// mayProbe reports whether a server whose last requests failed may get one to find out
// whether it works again.
func (s *serverState) mayProbe(now clock.Millis, idempotent bool) bool {
	if !idempotent && now < s.lostAt+onceProbeDelay {
		return false
	}
	return s.inFlight == 0 && now >= s.backoffUntil
}

// currentLatencyFactor returns the latency factor, which becomes that of similar servers
// some time after the last sample.
func (s *serverState) currentLatencyFactor(now clock.Millis) float64 {
	unused := max(0, now-s.latencyFactorAt-latencyFactorHold)
	usual := s.domainLoad.factorNow(now)
	return usual + (s.latencyFactor-usual)*clock.Decay(unused, latencyFactorTimeConstant)
}

func (s *serverState) recordFailure(now clock.Millis) {
	s.consecutiveFailures++
	s.backoffUntil = now + min(minBackoff<<min(s.consecutiveFailures-1, 8), maxBackoff)
	s.updateFailureRate(now, 1, failureWeight)
}

func (s *serverState) recordSuccess(now clock.Millis) {
	s.consecutiveFailures = 0
	s.backoffUntil = 0
	s.updateFailureRate(now, 0, failureWeight)
}

// updateFailureRate adds a sample to the failure rate: 1 for a failure, 0 for a
// success.
func (s *serverState) updateFailureRate(now clock.Millis, sample, weight float64) {
	s.failureRate = ewma(s.currentFailureRate(now), sample, weight)
	s.failureRateAt = now
}

// currentFailureRate returns the failure rate, decayed since the last sample so
// that an avoided server is tried again.
func (s *serverState) currentFailureRate(now clock.Millis) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * clock.Decay(now-s.failureRateAt, failureTimeConstant)
}
