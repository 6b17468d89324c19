// Package placement decides which backend server a request goes to, from what
// the platform lists, what the servers say of their load and what became of
// earlier requests. It does no input or output and reads no clock.
package placement

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Server is what the platform lists of a backend server.
	Server struct {
		ID            string
		Service       string
		Address       string
		FailureDomain string
		Region        string
		Slots         int
		Draining      bool
		// ColdFor is how much longer the server was cold when listed.
		ColdFor clock.Millis
		// StartUnixMs is the moment of the server's start, in Unix milliseconds.
		StartUnixMs int64
	}

	// record is what this instance knows of one server.
	record struct {
		info Server
		hash uint64

		inFlight int
		// others is the load from other instances, by the server's last report.
		others     int
		reportedAt clock.Millis
		// crowd is the usual load of servers like this one.
		crowd *crowding

		coldUntil clock.Millis
		cold      bucket

		// failures counts failures in a row; avoidUntil ends their back-off.
		failures   int
		avoidUntil clock.Millis
		// fullUntil is when a server that declined a request is tried again.
		fullUntil clock.Millis
		// ceiling is the load at which the server declined a request last, as
		// of ceilingAt; zero means that it never did.
		ceiling   int
		ceilingAt clock.Millis
		// unwell is the share of recent requests that failed, as of unwellAt.
		unwell   float64
		unwellAt clock.Millis
		// bias is how the server's times relate to those that are expected.
		bias float64
		// since is when the server was first listed.
		since clock.Millis

		served map[uint64]clock.Millis
	}
)

const (
	reportAge       = 600 * clock.Millis(1)
	firstBackOff    = 400 * clock.Millis(1)
	maxBackOff      = 4 * clock.Second
	declinedBackOff = 60 * clock.Millis(1)
	// ceilingStep is the time after which a server is taken to bear one request
	// more than when it declined.
	ceilingStep = 500 * clock.Millis(1)
	// unwellWeight is the weight of the newest request in the failure share.
	unwellWeight = 0.15
	// unwellFade is the time constant with which failures are forgotten.
	unwellFade = 3 * clock.Second
	// unwellLimit is the failure share from which other servers go first.
	unwellLimit = 0.25
	biasWeight  = 0.12
	minBias     = 0.7
	maxBias     = 8.0
	// warmFor is how long a server keeps an object that it handled.
	warmFor = 20 * clock.Second
	// maxServed bounds the objects remembered of one server.
	maxServed = 512
)

// load estimates how many requests the server has, from all instances. Without a
// recent report it has as many from others as servers like it.
func (r *record) load(now clock.Millis) int {
	if now-r.reportedAt >= reportAge {
		return r.inFlight + int(r.crowd.at(now))
	}
	return r.inFlight + r.others
}

// known is the part of the load that is known and not guessed.
func (r *record) known(now clock.Millis) int {
	if now-r.reportedAt >= reportAge {
		return r.inFlight
	}
	return r.inFlight + r.others
}

// report takes in the server's own word on its load.
func (r *record) report(now clock.Millis, load int) {
	r.others = max(0, load-r.inFlight)
	r.reportedAt = now
	r.crowd.note(now, r.others)
}

// isFull reports whether the server is expected to decline another request.
func (r *record) isFull(now clock.Millis) bool {
	if now < r.fullUntil {
		return true
	}
	return r.ceiling > 0 && r.known(now) >= r.ceiling+int((now-r.ceilingAt)/ceilingStep)
}

// decline notes that the server had no room for one more request.
func (r *record) decline(now clock.Millis) {
	r.fullUntil = now + declinedBackOff
	r.ceiling = max(1, r.known(now))
	r.ceilingAt = now
}

func (r *record) isCold(now clock.Millis) bool {
	return now < r.coldUntil
}

func (r *record) isWarmFor(object uint64, now clock.Millis) bool {
	at, ok := r.served[object]
	return ok && now-at < warmFor
}

func (r *record) remember(object uint64, now clock.Millis) {
	if len(r.served) >= maxServed {
		for other, at := range r.served {
			if now-at >= warmFor {
				delete(r.served, other)
			}
		}
		if len(r.served) >= maxServed {
			clear(r.served)
		}
	}
	r.served[object] = now
}

func (r *record) fail(now clock.Millis) {
	r.failures++
	r.avoidUntil = now + min(firstBackOff<<min(r.failures-1, 8), maxBackOff)
	r.noteHealth(now, 1, unwellWeight)
}

func (r *record) succeed(now clock.Millis) {
	r.failures = 0
	r.avoidUntil = 0
	r.noteHealth(now, 0, unwellWeight)
}

// noteHealth moves the share of failed requests towards what was seen.
func (r *record) noteHealth(now clock.Millis, seen, weight float64) {
	r.unwell = blend(r.unwellShare(now), seen, weight)
	r.unwellAt = now
}

// unwellShare is the share of recent requests that failed. It fades, so that a
// server that was left alone is tried again.
func (r *record) unwellShare(now clock.Millis) float64 {
	return r.unwell * clock.Fade(now-r.unwellAt, unwellFade)
}
