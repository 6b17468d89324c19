package backend

import (
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// Quarantine detects requests that crash backend servers ("queries of
	// death"). It records the servers on which a request ended with
	// ErrConnectionLost. It is safe for concurrent use.
	Quarantine struct {
		clock clock.Clock

		mu sync.Mutex
		// suspects is keyed by the request's fingerprint.
		suspects map[string]suspect
	}

	suspect struct {
		servers   values.Set[string]
		expiresAt clock.Millis
	}
)

const (
	// quarantineThreshold is the number of distinct servers that must have been lost
	// while running a request before it is quarantined.
	quarantineThreshold = 2
	suspectTTL          = 10 * 60 * clock.Second
)

// NewQuarantine returns an empty quarantine.
func NewQuarantine(c clock.Clock) *Quarantine {
	return &Quarantine{clock: c, suspects: make(map[string]suspect)}
}

// Contains reports whether a request must not be run.
func (q *Quarantine) Contains(fingerprint []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, ok := q.suspects[string(fingerprint)]
	if !ok {
		return false
	}
	if known.expiresAt <= q.clock.Now() {
		delete(q.suspects, string(fingerprint))
		return false
	}
	return known.servers.Len() >= quarantineThreshold
}

// RecordCrash adds the servers that were lost while running a request. It returns
// the record with all servers of that request, for other instances.
func (q *Quarantine) RecordCrash(fingerprint []byte, servers ...string) *wire.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := q.suspects[string(fingerprint)]
	known.servers = known.servers.With(servers...)
	known.expiresAt = q.clock.Now() + suspectTTL
	q.suspects[string(fingerprint)] = known
	return &wire.Suspect{Fingerprint: fingerprint, BackendServers: known.servers.Sorted()}
}

// Remove deletes the record of a request, after a server has responded to it.
func (q *Quarantine) Remove(fingerprint []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.suspects) > 0 {
		delete(q.suspects, string(fingerprint))
	}
}
