package placement

import (
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Fingerprint identifies requests that a server cannot tell apart.
	Fingerprint uint64

	// CrashTracker identifies requests that crash the servers running them. A
	// lost response counts as a crash only if the server is then found to be
	// down or restarted. It is safe for concurrent use.
	CrashTracker struct {
		mu sync.Mutex
		// lostResponses holds the requests without a response, by server.
		lostResponses map[string][]lostRequest
		// crashCounts counts the lost responses of each request after which the
		// server was found to be down or restarted.
		crashCounts map[Fingerprint]int
		// quarantinedUntil holds when each request's quarantine ends.
		quarantinedUntil map[Fingerprint]clock.Millis
	}

	// QuarantinedRequest is a request in quarantine.
	QuarantinedRequest struct {
		Fingerprint Fingerprint
		// Age is how long ago the quarantine began.
		Age clock.Millis
	}

	lostRequest struct {
		fingerprint Fingerprint
		at          clock.Millis
	}
)

const (
	// crashWindow is how long after a lost response a server that goes down
	// counts as crashed by that request.
	crashWindow = 10 * clock.Second
	// crashThreshold is the crash count at which a request is quarantined.
	crashThreshold     = 2
	quarantineDuration = 300 * clock.Second
	// maxLostPerServer bounds the lost requests remembered for each server.
	maxLostPerServer = 16
)

// NewCrashTracker returns a tracker without any records.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{
		lostResponses:    make(map[string][]lostRequest),
		crashCounts:      make(map[Fingerprint]int),
		quarantinedUntil: make(map[Fingerprint]clock.Millis),
	}
}

// RecordLostResponse records that no response to a request was received.
func (c *CrashTracker) RecordLostResponse(now clock.Millis, f Fingerprint, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lostResponses[server]) < maxLostPerServer {
		c.lostResponses[server] = append(c.lostResponses[server], lostRequest{fingerprint: f, at: now})
	}
}

// RecordResponse records that a server responded, so it has not crashed.
func (c *CrashTracker) RecordResponse(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lostResponses) > 0 {
		delete(c.lostResponses, server)
	}
}

// RecordDown records that a server is down or has restarted.
func (c *CrashTracker) RecordDown(now clock.Millis, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, lost := range c.lostResponses[server] {
		if now-lost.at > crashWindow {
			continue
		}
		c.crashCounts[lost.fingerprint]++
		if c.crashCounts[lost.fingerprint] >= crashThreshold {
			c.quarantinedUntil[lost.fingerprint] = now + quarantineDuration
		}
	}
	delete(c.lostResponses, server)
}

// Quarantine quarantines a request that a peer has reported, for what is left of its
// quarantine. It does not extend an existing one.
func (c *CrashTracker) Quarantine(now clock.Millis, q QuarantinedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.quarantinedUntil[q.Fingerprint]; !ok && q.Age < quarantineDuration {
		c.quarantinedUntil[q.Fingerprint] = now + quarantineDuration - q.Age
	}
}

// IsQuarantined reports whether a request must not be sent to any server.
func (c *CrashTracker) IsQuarantined(now clock.Millis, f Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.quarantinedUntil[f]
	if ok && now >= until {
		delete(c.quarantinedUntil, f)
		delete(c.crashCounts, f)
		return false
	}
	return ok
}

// AnyQuarantined reports whether any request is in quarantine.
func (c *CrashTracker) AnyQuarantined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.quarantinedUntil) > 0
}

// Quarantined returns the requests in quarantine.
func (c *CrashTracker) Quarantined(now clock.Millis) []QuarantinedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]QuarantinedRequest, 0, len(c.quarantinedUntil))
	for f, until := range c.quarantinedUntil {
		if now >= until {
			delete(c.quarantinedUntil, f)
			delete(c.crashCounts, f)
			continue
		}
		out = append(out, QuarantinedRequest{Fingerprint: f, Age: quarantineDuration - (until - now)})
	}
	return out
}
