package socket

import (
	"sync"
	"time"
)

// SearchPacer bounds how often all connections are searched for some to close for others. The
// zero value allows a search at once.
type SearchPacer struct {
	mu   sync.Mutex
	last time.Time
}

const (
	// evictShare is the part of the connections that is closed at a time, as a divisor.
	evictShare = 16
	// A search looks at all connections, at about 0.2 µs each. Between two searches pass
	// searchInterval and searchPause for each connection, which bounds their cost to about
	// a hundredth of a core.
	searchInterval = 5 * time.Millisecond
	searchPause    = 25 * time.Microsecond
)

// Next reports whether a search of a number of connections may begin, and counts it as the
// last one if so.
func (p *SearchPacer) Next(now time.Time, connections int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) < searchInterval+time.Duration(connections)*searchPause {
		return false
	}
	p.last = now
	return true
}

// CountToClose returns how many of the open connections to close so that there is room for
// another one, and for a sixteenth of the limit besides. It is zero if there is room, as there
// may be at once after many have left.
func CountToClose(open, limit int) int {
	if open < limit {
		return 0
	}
	return open - limit + limit/evictShare + 1
}
