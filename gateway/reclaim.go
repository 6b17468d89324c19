package gateway

import (
	"cmp"
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
		// write is the response that is not read.
		write *responseWrite
	}
)

const (
	reasonMemory      refusalReason = "refused.memory"
	reasonConnections refusalReason = "refused.connections"
	reasonIdle        refusalReason = "closed.idle"
	reasonStalled     refusalReason = "closed.stalled"
	reasonUnread      refusalReason = "closed.unread"
	reasonAnswered    refusalReason = "closed.answered"

	// stallTime is how long a caller may make no progress with a request, or with reading
	// a response, before its memory is reclaimed if it is needed.
	stallTime = 2 * time.Second
	// progressBytes is how much of a request's body must arrive, or of a response be
	// delivered, to count as progress.
	progressBytes = 16 << 10
	// unusedTime and idleReclaimTime are how long a connection without any request, and
	// one that has had some, must be idle before it may be closed to make room.
	unusedTime      = 50 * time.Millisecond
	idleReclaimTime = time.Second
	// maxIdleReclaim is the most memory for which idle connections are closed. For a large
	// body hundreds of them would be closed, for 12 KiB each.
	maxIdleReclaim = 256 << 10
	// expiringTenths is the part of the idle timeout, in tenths, after which few callers
	// still use a connection: they stop before the server may close it.
	expiringTenths = 8
)

// The order in which connections are closed for others: those that have sent nothing yet,
// those that have been idle for most of the idle timeout, others that are idle, those that stop
// in the middle of a request, those that do not read.
const (
	orderUnused = iota
	orderExpiring
	orderIdle
	orderStalled
	orderUnread
)

// minWait is how long a connection must have made no progress before it may be closed, by its
// place in the order.
var minWait = [...]time.Duration{
	orderUnused:   unusedTime,
	orderExpiring: idleReclaimTime,
	orderIdle:     idleReclaimTime,
	orderStalled:  stallTime,
	orderUnread:   stallTime,
}

// Reclaim frees memory of connections that are idle, then of bodies that have stalled, then
// of responses that are not read. It implements memory.Reclaimer. A request that a handler
// has keeps its memory.
func (s *Server) Reclaim(kind memory.Kind, bytes int64) bool {
	s.reclaimMu.Lock()
	defer s.reclaimMu.Unlock()
	now := time.Now()
	if !s.reclaims.Next(now, s.Connections()) {
		return s.reclaimedAny
	}
	freed := int64(0)
	for _, found := range s.candidates(now) {
		if freed >= bytes {
			break
		}
		if kind == memory.Responses && found.order != orderUnread {
			continue
		}
		if bytes > maxIdleReclaim && found.order <= orderIdle {
			continue
		}
		if found.reclaim(s, now) {
			freed += found.bytes
		}
	}
	s.reclaimedAny = freed > 0
	return s.reclaimedAny
}

// candidates returns the connections that may be closed, in the order of reclaiming.
func (s *Server) candidates(now time.Time) []candidate {
	expiring := s.limits().IdleTimeout.Duration() * expiringTenths / 10
	s.mu.Lock()
	var found []candidate
	for c := range s.conns {
		if f, ok := c.candidate(now, expiring); ok {
			found = append(found, f)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(found, candidate.compare)
	return found
}

// compare returns which of two connections is closed first. Within a kind it is the one that
// has waited longest, but of stalled ones that with the most memory, and of idle ones that
// which became idle last: callers that send at an interval need it last.
func (f candidate) compare(other candidate) int {
	switch {
	case f.order != other.order:
		return f.order - other.order
	case f.order == orderStalled && f.bytes != other.bytes:
		return cmp.Compare(other.bytes, f.bytes)
	case f.order == orderIdle:
		return other.since.Compare(f.since)
	default:
		return f.since.Compare(other.since)
	}
}

// candidate reports whether the connection may be closed to make room. That is no more than
// a guess once it returns: closing it decides again. One whose lock is held is in use, unless
// it waits for the caller to read a response. expiring is how long a connection is idle that
// few callers still use.
func (c *conn) candidate(now time.Time, expiring time.Duration) (candidate, bool) {
	if w := c.writing.Load(); w != nil {
		found := candidate{conn: c, since: w.since, bytes: int64(w.bytes), order: orderUnread, write: w}
		return found, w.isLast && now.Sub(w.since) >= stallTime
	}
	if !c.mu.TryLock() {
		return candidate{}, false
	}
	defer c.mu.Unlock()
	since := c.lastProgress()
	found := candidate{conn: c, since: since, bytes: memory.ConnectionBytes, order: orderIdle}
	switch {
	case c.state.pending > 0 || c.reclaimed:
		return found, false
	case c.state.reading:
		found.order, found.bytes = orderStalled, found.bytes+c.bodyHold.Bytes()
	case c.state.served == 0:
		found.order = orderUnused
	case now.Sub(since) >= expiring:
		found.order = orderExpiring
	}
	return found, now.Sub(since) >= minWait[found.order]
}

// close closes the connection if it is still as it was found, and counts the reason. No
// request that was read from it is cut off, and none is read after it.
func (f candidate) close(s *Server, now time.Time) bool {
	reason, closed := reasonIdle, false
	switch f.order {
	case orderStalled:
		reason, closed = reasonStalled, f.conn.closeIfStalled(now)
	case orderUnread:
		reason, closed = reasonUnread, f.conn.closeIfUnread(f.write)
	default:
		closed = f.conn.closeIfIdle(now, minWait[f.order])
	}
	if closed {
		s.remove(f.conn)
		s.noteRefusal(reason)
	}
	return closed
}

// reclaim frees the memory of the connection: a request whose body has stalled is refused, and
// any other connection is closed.
func (f candidate) reclaim(s *Server, now time.Time) bool {
	if f.order != orderStalled {
		return f.close(s, now)
	}
	if !f.conn.refuseIfStalled(now) {
		return false
	}
	s.noteRefusal(reasonStalled)
	return true
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
	c.reclaimed = false
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
