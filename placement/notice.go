package placement

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Incarnation identifies one start of a server.
	Incarnation struct {
		ID string
		// StartUnixMs is when the server started, in Unix milliseconds, or zero if
		// that is not known.
		StartUnixMs int64
	}

	// Departure is the notice of a server that it is about to stop.
	Departure struct {
		Incarnation
		// Age is how long ago the server first said so.
		Age clock.Millis
	}

	// notice holds what one incarnation of a server has said of itself in its
	// responses. It outlasts the server's entry in the platform's list, which may
	// lag behind or lapse while the platform's store is unavailable.
	notice struct {
		// leaving is set once the server has said, at leavingSince, that it is
		// about to stop. Nothing takes that back.
		leaving      bool
		leavingSince clock.Millis
		// goneUntil is how long the server counts as gone because another one
		// answered at its address.
		goneUntil clock.Millis
		// pausedUntil is the end of the pause that the server asked for.
		pausedUntil clock.Millis
		// unlistedAt is when the server was no longer listed; unlisted is set then.
		unlisted   bool
		unlistedAt clock.Millis
	}

	// notices holds the notices of servers by their incarnations.
	notices map[Incarnation]*notice
)

const (
	// goneTime is how long a server counts as gone after another one answered at its
	// address. By then the platform's list says so too, unless the answer was wrong.
	goneTime = 5 * clock.Second
	// pauseRampTime is the time after a pause over which a server's requests from this
	// instance grow from one at a time to all its slots.
	pauseRampTime = 2 * clock.Second
	// noticeRetention is how long the notice of an unlisted server is kept. An entry
	// that lapsed during an outage of the platform's store is back before that.
	noticeRetention = 10 * 60 * clock.Second
	pruneInterval   = 60 * clock.Second
)

func (s Server) incarnation() Incarnation {
	return Incarnation{ID: s.ID, StartUnixMs: s.StartUnixMs}
}

// of returns the notice of an incarnation and creates it if there is none.
func (n notices) of(i Incarnation) *notice {
	found, ok := n[i]
	if !ok {
		found = &notice{}
		n[i] = found
	}
	return found
}

// unlist records that a server is no longer listed. Without a start time the next
// server of the same ID cannot be told from this one, and the notice ends.
func (n notices) unlist(now clock.Millis, i Incarnation) {
	found, ok := n[i]
	if !ok {
		return
	}
	if i.StartUnixMs == 0 {
		delete(n, i)
		return
	}
	found.unlisted, found.unlistedAt = true, now
}

// pruneNotices removes the notices of servers that have not been listed for
// noticeRetention. It looks for them once in each pruneInterval. The caller must hold the
// lock.
func (b *Balancer) pruneNotices(now clock.Millis) {
	if now-b.noticesPrunedAt < pruneInterval {
		return
	}
	b.noticesPrunedAt = now
	for i, found := range b.notices {
		if found.unlisted && now-found.unlistedAt >= noticeRetention {
			delete(b.notices, i)
		}
	}
}

// bars reports whether the server wants no requests from this instance, which has the
// given number in flight there.
func (n *notice) bars(now clock.Millis, inFlight, slots int) bool {
	if n == nil {
		return false
	}
	return n.leaving || now < n.goneUntil || n.isPaused(now, inFlight, slots)
}

// isPaused reports whether the server's pause goes on, or the limit of the time after it
// is reached.
func (n *notice) isPaused(now clock.Millis, inFlight, slots int) bool {
	if now < n.pausedUntil {
		return true
	}
	since := now - n.pausedUntil
	if n.pausedUntil == 0 || since >= pauseRampTime {
		return false
	}
	return inFlight > slots*int(since)/int(pauseRampTime)
}

// noticeOf returns the notice of a listed server and creates it if there is none. The
// caller must hold the lock.
func (b *Balancer) noticeOf(s *serverState) *notice {
	if s.notice == nil {
		s.notice = b.notices.of(s.info.incarnation())
	}
	return s.notice
}

// listed returns the state of a server if that incarnation is the one that is listed.
// The caller must hold the lock.
func (b *Balancer) listed(i Incarnation) (*serverState, bool) {
	s, ok := b.servers[i.ID]
	if !ok || s.info.StartUnixMs != i.StartUnixMs {
		return nil, false
	}
	return s, true
}

// MarkLeaving records that a server has said that it is about to stop. It gets no
// further requests. It reports whether that is news.
func (b *Balancer) MarkLeaving(now clock.Millis, d Departure) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, listed := b.listed(d.Incarnation)
	if !listed && d.StartUnixMs == 0 {
		return false
	}
	known := b.notices.of(d.Incarnation)
	if listed {
		s.notice = known
	} else if !known.leaving {
		known.unlisted, known.unlistedAt = true, now
	}
	if known.leaving {
		return false
	}
	known.leaving, known.leavingSince = true, now-d.Age
	return true
}

// MarkGone records that another server answered at a server's address. The server gets
// no requests for goneTime. It reports whether that time begins.
func (b *Balancer) MarkGone(now clock.Millis, i Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.listed(i)
	if !ok {
		return false
	}
	known := b.noticeOf(s)
	begins := now >= known.goneUntil
	known.goneUntil = now + goneTime
	return begins
}

// Pause records that a server wants no requests from this instance for some time. It
// reports whether a pause begins.
func (b *Balancer) Pause(now clock.Millis, i Incarnation, length clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.listed(i)
	if !ok {
		return false
	}
	known := b.noticeOf(s)
	begins := now >= known.pausedUntil
	known.pausedUntil = max(known.pausedUntil, now+length)
	return begins
}

// IsLeaving reports whether a listed server has said that it is about to stop.
func (b *Balancer) IsLeaving(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[id]
	return ok && s.notice != nil && s.notice.leaving
}

// Departures returns the notices of listed servers that are about to stop and that the
// platform's list does not show as draining yet.
func (b *Balancer) Departures(now clock.Millis) []Departure {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Departure
	for i, known := range b.notices {
		s, ok := b.listed(i)
		if ok && known.leaving && !s.info.Draining {
			out = append(out, Departure{Incarnation: i, Age: now - known.leavingSince})
		}
	}
	return out
}

// MaySend reports whether the server of a choice may still get the request: it is the
// same incarnation, and neither the platform nor the server itself has taken it out of
// use since.
func (b *Balancer) MaySend(now clock.Millis, c *Choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.state
	if b.servers[c.Server.ID] != s || s.acceptedSlots == 0 {
		return false
	}
	// The request is itself one of those in flight.
	return !s.notice.bars(now, s.inFlight-1, s.info.Slots)
}
