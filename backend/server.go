package backend

import (
	"sync/atomic"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// server is this instance's state of one backend server. The pool's lock
	// guards all of it but listing, which calls and probes read without the lock.
	server struct {
		// listing is the server's latest entry in the platform's list.
		listing atomic.Pointer[wire.BackendServer]
		region  *regionLoad
		// slots and maxConnections are this instance's shares of the server's
		// limits.
		slots          int
		maxConnections int
		inFlight       int
		// openConnections counts the connections that are idle or in use.
		openConnections int
		idle            []*conn
		latency         latencyAverage
		lastChosenAt    clock.Millis
		// slowStartDone is set once all slots on the server may be used. It is set
		// from the start for the servers of the first list, which are not known
		// to be new.
		slowStartDone bool
		// addedAt is when the server, or its present address, was first listed.
		addedAt clock.Millis
		// backoffUntil is the end of the backoff after a failure.
		backoffUntil clock.Millis
		// failures counts consecutive failures.
		failures int
		// reportedDraining and reportedBusy are set from the server's responses and
		// load reports. A load report that was asked for before drainingSince does
		// not take reportedDraining back.
		reportedDraining bool
		drainingSince    clock.Millis
		reportedBusy     bool
		// leaving is set if the platform lists the server as leaving, or no
		// longer lists it.
		leaving       bool
		drainedByRule bool
		probing       bool
	}

	// latencyAverage is an exponentially weighted moving average, in milliseconds.
	latencyAverage struct {
		value float64
	}
)

const (
	// latencyWeight is the weight of a new sample in the average.
	latencyWeight = 0.1
	// slowStartWindow is the time over which the usable slots of a new server grow
	// linearly to their full number.
	slowStartWindow = 5 * clock.Second
	// initialBackoff is the backoff after the first failure. It doubles with each
	// further one, up to maxBackoff.
	initialBackoff = 100 * clock.Millis(1)
	maxBackoff     = 5 * clock.Second
	// maxIdleTime is how long a connection may have been idle to be reused.
	maxIdleTime = 20 * clock.Second
	// maxIdleTimeOnce replaces maxIdleTime for a request that may run at most once,
	// which cannot be sent again if the connection turns out to be dead.
	maxIdleTimeOnce = clock.Second
)

// info returns the server's latest entry in the platform's list.
func (s *server) info() *wire.BackendServer {
	return s.listing.Load()
}

// add adds a sample to the average. A sample counts as at least one millisecond,
// since an average of zero means that there is no sample yet.
func (l *latencyAverage) add(sample clock.Millis) {
	x := max(float64(sample), 1)
	if l.value == 0 {
		l.value = x
		return
	}
	l.value += latencyWeight * (x - l.value)
}

func (l *latencyAverage) millis() clock.Millis {
	return clock.Millis(l.value)
}

// exclusionReason returns why the server must not be chosen now, or an empty string
// if it may be.
func (s *server) exclusionReason(now clock.Millis) string {
	switch {
	case s.leaving:
		return "leaving by the platform's list"
	case s.reportedDraining:
		return "draining by its own word"
	case s.drainedByRule:
		return "drained by a rule"
	case now < s.backoffUntil:
		return "failed a moment ago"
	case s.region.inFlight >= s.region.limit:
		return "the region is at its capacity"
	default:
		return ""
	}
}

// usableSlots returns this instance's slots on the server, reduced during the
// server's slow start.
func (s *server) usableSlots(now clock.Millis) int {
	if s.slowStartDone || s.slots == 0 {
		return s.slots
	}
	age := now - s.addedAt
	if age >= slowStartWindow {
		s.slowStartDone = true
		return s.slots
	}
	return max(1, s.slots*int(age)/int(slowStartWindow))
}

// markDraining records that the server has said that it is draining.
func (s *server) markDraining(now clock.Millis) {
	s.reportedDraining = true
	s.drainingSince = now
}

func (s *server) candidate(now clock.Millis) Candidate {
	return Candidate{
		Name:            s.info().GetName(),
		Slots:           s.usableSlots(now),
		InFlight:        s.inFlight,
		Latency:         s.latency.millis(),
		LastChosenAt:    s.lastChosenAt,
		ReportedBusy:    s.reportedBusy,
		ExclusionReason: s.exclusionReason(now),
	}
}

// recordSuccess adds the latency of a complete response to the average and ends the
// backoff.
func (s *server) recordSuccess(took clock.Millis) {
	s.latency.add(took)
	s.failures = 0
	s.backoffUntil = 0
}

// recordFailure starts a backoff, which grows with each consecutive failure.
func (s *server) recordFailure(now clock.Millis) {
	s.failures++
	backoff := min(initialBackoff<<min(s.failures-1, 10), maxBackoff)
	s.backoffUntil = now + backoff
}

// takeIdle removes and returns the most recently used idle connection that is
// still open and was last used at or after usedAfter, or nil. It closes those that
// it passes over.
func (s *server) takeIdle(usedAfter clock.Millis) *conn {
	for len(s.idle) > 0 {
		last := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if last.lastUsedAt >= usedAfter && last.isAlive() {
			return last
		}
		s.openConnections--
		_ = last.Close()
	}
	return nil
}

// trimIdle closes the oldest idle connections beyond this instance's share. One
// connection per slot is kept free for requests in flight.
func (s *server) trimIdle() {
	for len(s.idle) > max(s.maxConnections-s.slots, 0) {
		_ = s.idle[0].Close()
		s.idle = s.idle[1:]
		s.openConnections--
	}
}

// keepIdle closes the idle connections for which wanted returns false.
func (s *server) keepIdle(wanted func(*conn) bool) {
	kept, closed := socket.PruneIdle(s.idle, wanted)
	s.idle = kept
	s.openConnections -= closed
}

func (s *server) closeIdle() {
	s.keepIdle(func(*conn) bool { return false })
}
