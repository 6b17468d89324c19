package backend

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// server is one backend server as this instance sees it. The pool's lock
	// guards it.
	server struct {
		info   *wire.BackendServer
		region *regionLoad
		// units and connections are this instance's parts of the limits.
		units       int
		connections int
		inFlight    int
		open        int
		idle        []*conn
		latency     latency
		triedAt     clock.Millis
		// coldSince is when a new server appeared; absent for those known
		// from the start.
		warm      bool
		coldSince clock.Millis
		// badUntil keeps a failing server unused for a short time.
		badUntil clock.Millis
		failures int
		// draining is the server's own word, leaving the platform's.
		draining bool
		leaving  bool
		drained  bool
		busy     bool
		probing  bool
	}

	// latency is an exponential average.
	latency struct {
		value float64
	}
)

const (
	latencyGain = 0.1
	// rampTime is how long a new server takes to get its whole part.
	rampTime = 5 * clock.Second
	// firstBackOff is how long a server is left alone after one failure.
	firstBackOff = 100 * clock.Millis(1)
	maxBackOff   = 5 * clock.Second
	// maxIdleAge is how long an idle connection is kept.
	maxIdleAge = 20 * clock.Second
	// trustedAge is how long after an answer a connection is still trusted
	// with a request that may not be repeated.
	trustedAge = clock.Second
)

func (l *latency) add(sample clock.Millis) {
	x := max(float64(sample), 1)
	if l.value == 0 {
		l.value = x
		return
	}
	l.value += latencyGain * (x - l.value)
}

func (l *latency) millis() clock.Millis {
	return clock.Millis(l.value)
}

// excluded says why a server gets no request at present.
func (s *server) excluded(now clock.Millis) string {
	switch {
	case s.leaving:
		return "leaving by the platform's list"
	case s.draining:
		return "draining by its own word"
	case s.drained:
		return "drained by a rule"
	case now < s.badUntil:
		return "failed a moment ago"
	case s.region.inFlight >= s.region.units:
		return "the region is at its capacity"
	default:
		return ""
	}
}

// usableUnits is the server's part for this instance, less while it is cold.
func (s *server) usableUnits(now clock.Millis) int {
	if s.warm || s.units == 0 {
		return s.units
	}
	age := now - s.coldSince
	if age >= rampTime {
		s.warm = true
		return s.units
	}
	return max(1, s.units*int(age)/int(rampTime))
}

func (s *server) candidate(now clock.Millis) Candidate {
	return Candidate{
		Name:            s.info.GetName(),
		Slots:           s.usableUnits(now),
		InFlight:        s.inFlight,
		Latency:         s.latency.millis(),
		LastChosenAt:    s.triedAt,
		ReportedBusy:    s.busy,
		ExclusionReason: s.excluded(now),
	}
}

// succeed notes a whole answer.
func (s *server) succeed(took clock.Millis) {
	s.latency.add(took)
	s.failures = 0
	s.badUntil = 0
}

// fail notes a failure and leaves the server alone for a while.
func (s *server) fail(now clock.Millis) {
	s.failures++
	backOff := min(firstBackOff<<min(s.failures-1, 10), maxBackOff)
	s.badUntil = now + backOff
}

// takeIdle returns an idle connection used after a time, newest first.
func (s *server) takeIdle(usedAfter clock.Millis) *conn {
	for len(s.idle) > 0 {
		last := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if last.usedAt >= usedAfter && last.isAlive() {
			return last
		}
		s.open--
		_ = last.Close()
	}
	return nil
}
