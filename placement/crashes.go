package placement

import (
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Fingerprint identifies requests that are the same to a server.
	Fingerprint uint64

	// CrashTracker finds the requests that crash the servers that run them. A lost
	// answer alone proves nothing; it counts once the server is then seen to be
	// down or to have started again. It is safe for concurrent use.
	CrashTracker struct {
		mu sync.Mutex
		// pending holds, for each server, the requests whose answers it lost.
		pending map[string][]lostRequest
		// crashed counts the servers that each request took down.
		crashed map[Fingerprint]int
		// held holds when each quarantined request is let go.
		held map[Fingerprint]clock.Millis
	}

	lostRequest struct {
		fingerprint Fingerprint
		at          clock.Millis
	}
)

const (
	// crashWindow is how long after a lost answer its server may be seen to be
	// down.
	crashWindow = 10 * clock.Second
	// maxCrashed is how many servers a request may take down.
	maxCrashed    = 2
	quarantineFor = 300 * clock.Second
	// maxPending bounds the lost requests kept for one server.
	maxPending = 16
)

// NewCrashTracker returns an empty record.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{
		pending: make(map[string][]lostRequest),
		crashed: make(map[Fingerprint]int),
		held:    make(map[Fingerprint]clock.Millis),
	}
}

// RecordLostAnswer notes that a server gave no answer to a request.
func (c *CrashTracker) RecordLostAnswer(now clock.Millis, f Fingerprint, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending[server]) < maxPending {
		c.pending[server] = append(c.pending[server], lostRequest{fingerprint: f, at: now})
	}
}

// RecordAnswer notes that a server answered: it did not crash.
func (c *CrashTracker) RecordAnswer(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 {
		delete(c.pending, server)
	}
}

// RecordDown notes that a server is down or has started again.
func (c *CrashTracker) RecordDown(now clock.Millis, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, lost := range c.pending[server] {
		if now-lost.at > crashWindow {
			continue
		}
		c.crashed[lost.fingerprint]++
		if c.crashed[lost.fingerprint] >= maxCrashed {
			c.held[lost.fingerprint] = now + quarantineFor
		}
	}
	delete(c.pending, server)
}

// Quarantine quarantines a request on a peer's word.
func (c *CrashTracker) Quarantine(now clock.Millis, f Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.held[f]; !ok {
		c.held[f] = now + quarantineFor
	}
}

// IsQuarantined reports whether a request must not be sent to any server.
func (c *CrashTracker) IsQuarantined(now clock.Millis, f Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.held[f]
	if ok && now >= until {
		delete(c.held, f)
		delete(c.crashed, f)
		return false
	}
	return ok
}

// AnyQuarantined reports whether any request is quarantined.
func (c *CrashTracker) AnyQuarantined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held) > 0
}

// Quarantined lists the quarantined requests.
func (c *CrashTracker) Quarantined() []Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Fingerprint, 0, len(c.held))
	for f := range c.held {
		out = append(out, f)
	}
	return out
}
