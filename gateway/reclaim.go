package gateway

import (
	"slices"
	"time"

	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/rcrowley/go-metrics"
)

type (
	// refusalReason is why a request was refused, or a connection closed. It names the
	// counter.
	refusalReason string

	// candidate is a connection that may be closed.
	candidate struct {
		conn  *conn
		since time.Time
		// bytes is the memory that closing the connection frees.
		bytes int64
		// order is the order of reclaiming; the lowest is first.
		order int
	}
)

const (
	reasonMemory      refusalReason = "refused.memory"
	reasonConnections refusalReason = "refused.connections"
	reasonIdle        refusalReason = "closed.idle"
	reasonStalled     refusalReason = "closed.stalled"
	reasonUnread      refusalReason = "closed.unread"

	// A search for connections to close looks at all of them, at about 0.2 µs each. Between
	// two searches pass searchInterval and searchPause for each connection, which bounds
	// their cost to about a hundredth of a core.
	searchInterval = 5 * time.Millisecond
	searchPause    = 25 * time.Microsecond
	// stallTime is how long a caller may make no progress with a request, or with reading
	// a response, before its memory is reclaimed if it is needed.
	stallTime = 2 * time.Second
	// progressBytes is how much of a body must arrive in stallTime to count as progress.
	progressBytes = 16 << 10
	// unusedTime and idleReclaimTime are how long a connection without any request, and
	// one that has had some, must be idle before it may be closed to make room.
	unusedTime      = 50 * time.Millisecond
	idleReclaimTime = time.Second
	// maxIdleReclaim is the most memory for which idle connections are closed. For a large
	// body hundreds of them would be closed, for 12 KiB each.
	maxIdleReclaim = 256 << 10
	// evictShare is the part of the connections that is closed at a time to make room for
	// others, as a divisor.
	evictShare = 16
	// makeRoomTries and makeRoomPause bound how long a new connection waits for room.
	makeRoomTries = 5
	makeRoomPause = 2 * time.Millisecond
)

// The order in which connections are closed for others: those that have sent nothing yet,
// those that are idle, those that stop in the middle of a request, those that do not read.
const (
	orderUnused = iota
	orderIdle
	orderStalled
	orderUnread
)

// makeRoom reports whether there is room for another connection. At the limit it closes
// connections that are not in use.
func (s *Server) makeRoom() bool {
	if s.config.MaxConnections == nil {
		return true
	}
	limit := s.config.MaxConnections()
	if limit <= 0 || s.Connections() < limit {
		return true
	}
	for range makeRoomTries {
		s.evict(s.Connections() - limit + limit/evictShare + 1)
		if s.Connections() < limit {
			return true
		}
		time.Sleep(makeRoomPause)
	}
	return false
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// evict closes up to a number of connections that are idle or make no progress.
func (s *Server) evict(count int) {
	s.reclaimMu.Lock()
	defer s.reclaimMu.Unlock()
	if time.Since(s.evictedAt) < s.searchInterval() {
		return
	}
	s.evictedAt = time.Now()
	all := s.candidates(s.evictedAt)
	for _, found := range all[:min(count, len(all))] {
		found.close(s)
	}
}

// Reclaim frees memory of connections that are idle, then of bodies that have stalled, then
// of responses that are not read. It implements memory.Reclaimer. A request that a handler
// has keeps its memory.
func (s *Server) Reclaim(kind memory.Kind, bytes int64) bool {
	s.reclaimMu.Lock()
	defer s.reclaimMu.Unlock()
	if time.Since(s.reclaimedAt) < s.searchInterval() {
		return s.reclaimedAny
	}
	s.reclaimedAt = time.Now()
	freed := int64(0)
	for _, found := range s.candidates(s.reclaimedAt) {
		if freed >= bytes {
			break
		}
		if kind == memory.Responses && found.order != orderUnread {
			continue
		}
		if bytes > maxIdleReclaim && found.order <= orderIdle {
			continue
		}
		freed += found.bytes
		if found.order == orderStalled {
			found.conn.reclaimBody()
			s.noteRefusal(reasonStalled)
			continue
		}
		found.close(s)
	}
	s.reclaimedAny = freed > 0
	return s.reclaimedAny
}

// searchInterval returns the least time between two searches.
func (s *Server) searchInterval() time.Duration {
	return searchInterval + time.Duration(s.Connections())*searchPause
}

// candidates returns the connections that may be closed, in the order of reclaiming: within
// a kind, those that have waited longest first, but of the stalled ones those with the most
// memory.
func (s *Server) candidates(now time.Time) []candidate {
	s.mu.Lock()
	var found []candidate
	for c := range s.conns {
		if f, ok := c.candidate(now); ok {
			found = append(found, f)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b candidate) int {
		switch {
		case a.order != b.order:
			return a.order - b.order
		case a.order == orderStalled && a.bytes != b.bytes:
			return int(b.bytes - a.bytes)
		default:
			return a.since.Compare(b.since)
		}
	})
	return found
}

// candidate reports whether the connection may be closed to make room. One whose lock is
// held is in use, unless it waits for the caller to read a response.
func (c *conn) candidate(now time.Time) (candidate, bool) {
	if since := c.writingSince.Load(); since != 0 {
		at := time.Unix(0, since)
		return candidate{conn: c, since: at, bytes: c.writingBytes.Load(), order: orderUnread}, now.Sub(at) >= stallTime
	}
	if !c.mu.TryLock() {
		return candidate{}, false
	}
	defer c.mu.Unlock()
	since := time.Unix(0, c.progressAt.Load())
	found := candidate{conn: c, since: since, bytes: memory.ConnectionBytes, order: orderIdle}
	age := now.Sub(since)
	switch {
	case len(c.pending) > 0 || c.reclaimed:
		return found, false
	case c.reading:
		found.order, found.bytes = orderStalled, found.bytes+c.bodyHold.Bytes()
		return found, age >= stallTime
	case c.served == 0:
		found.order = orderUnused
		return found, age >= unusedTime
	default:
		return found, age >= idleReclaimTime
	}
}

// close closes the connection and counts the reason.
func (f candidate) close(s *Server) {
	_ = f.conn.Close()
	s.remove(f.conn)
	switch f.order {
	case orderStalled:
		s.noteRefusal(reasonStalled)
	case orderUnread:
		s.noteRefusal(reasonUnread)
	default:
		s.noteRefusal(reasonIdle)
	}
}

// reclaimBody ends the reading of a request, which is then refused.
func (c *conn) reclaimBody() {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	if c.reading {
		c.reclaimed = true
		_ = c.SetReadDeadline(time.Now())
	}
}

func (c *conn) wasReclaimed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reclaimed
}

// beginBody records that a body is being read.
func (c *conn) beginBody(hold *memory.Hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyHold = hold
	c.bodyProgress = 0
	c.progressAt.Store(time.Now().UnixNano())
}

// onBodyRead records the progress of a body.
func (c *conn) onBodyRead(bytes int) {
	c.bodyProgress += bytes
	if c.bodyProgress >= progressBytes {
		c.bodyProgress = 0
		c.progressAt.Store(time.Now().UnixNano())
	}
}

// noteRefusal counts a refusal and logs the refusals of its reason at a bounded rate.
func (s *Server) noteRefusal(reason refusalReason) {
	metrics.GetOrRegisterCounter("gateway."+string(reason), s.config.Metrics).Inc(1)
	s.refusals.Note(time.Now(), string(reason), "connections", s.Connections())
}
