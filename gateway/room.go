package gateway

import (
	"time"

	"github.com/bulrushferry/bulrushferry/socket"
)

const (
	// spareShare is the part of the limit of connections, as a divisor, that is left to
	// those that a response ends: while it is in use, each response ends its connection.
	// A caller that meets this connects again when it sends, and takes a connection for
	// the time of a request only.
	spareShare = 8
	// makeRoomWait is how long new connections wait for room, in all, while none leaves.
	makeRoomWait = 10 * time.Millisecond
)

// makeRoom reports whether there is room for another connection. At the limit it closes
// connections that are not in use, and waits for one to end. Where none has for makeRoomWait, the
// next one is told at once. Only Serve may call it.
func (s *Server) makeRoom() bool {
	if s.config.MaxConnections == nil {
		return true
	}
	limit := s.config.MaxConnections()
	s.keptMost.Store(int64(max(limit-limit/spareShare, 0)))
	if limit <= 0 || s.Connections() < limit {
		s.fullSince = time.Time{}
		return true
	}
	now := time.Now()
	if s.fullSince.IsZero() {
		s.fullSince = now
	}
	s.evict(now, limit)
	if !s.awaitRoom(limit, s.fullSince.Add(makeRoomWait).Sub(now)) {
		return false
	}
	s.fullSince = time.Time{}
	return true
}

// awaitRoom waits until there is room for another connection, for a time. It reports whether
// there is.
func (s *Server) awaitRoom(limit int, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for s.Connections() >= limit {
		select {
		case <-s.left:
		case <-timer.C:
			return s.Connections() < limit
		}
	}
	return true
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	return int(s.open.Load())
}

// isNearlyFull reports whether so many connections are open that responses end theirs.
func (s *Server) isNearlyFull() bool {
	most := s.keptMost.Load()
	return most > 0 && s.open.Load() > most
}

// evict closes connections that are idle or make no progress, so that there is room.
func (s *Server) evict(now time.Time, limit int) {
	s.reclaimMu.Lock()
	defer s.reclaimMu.Unlock()
	open := s.Connections()
	left := socket.CountToClose(open, limit)
	if left == 0 || !s.evictions.Next(now, open) {
		return
	}
	for _, found := range s.candidates(now) {
		if left == 0 {
			return
		}
		if found.close(s, now) {
			left--
		}
	}
}
