package backend

import (
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// Quarantine remembers the requests that backend servers were lost while
	// running. It is safe for concurrent use.
	Quarantine struct {
		clock clock.Clock

		mu       sync.Mutex
		suspects map[string]suspect
	}

	suspect struct {
		servers   values.Set[string]
		expiresAt clock.Millis
	}
)

const (
	// maxServersLost is how many servers one request may take down.
	maxServersLost = 2
	suspectFor     = 10 * 60 * clock.Second
)

// NewQuarantine returns an empty quarantine.
func NewQuarantine(c clock.Clock) *Quarantine {
	return &Quarantine{clock: c, suspects: make(map[string]suspect)}
}

// Contains reports whether a request must not run any more.
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
	return known.servers.Len() >= maxServersLost
}

// RecordCrash notes the servers that were lost while running a request, and returns
// all that are known.
func (q *Quarantine) RecordCrash(fingerprint []byte, servers ...string) *wire.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := q.suspects[string(fingerprint)]
	known.servers = known.servers.With(servers...)
	known.expiresAt = q.clock.Now() + suspectFor
	q.suspects[string(fingerprint)] = known
	return &wire.Suspect{Fingerprint: fingerprint, BackendServers: known.servers.Sorted()}
}

// Remove forgets a request that a server has answered.
func (q *Quarantine) Remove(fingerprint []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.suspects) > 0 {
		delete(q.suspects, string(fingerprint))
	}
}
