package gateway

type (
	// connPhase is what a connection still does.
	connPhase uint8

	// connState is the state of a connection as its requests see it. Each step returns the
	// state after it; a step that is not allowed says so and changes nothing. A connection
	// that has no requests and ends reads none after it: both are one step.
	connState struct {
		phase connPhase
		// reading is set from the first byte of a request until the request has been read.
		reading bool
		// pending counts the requests that have been read and whose responses have not
		// been written.
		pending int
		// served counts the requests that have been read.
		served int
	}
)

const (
	// phaseOpen: requests are read.
	phaseOpen connPhase = iota
	// phaseDraining: no further request is read. Those that have been read, or are being
	// read, are answered.
	phaseDraining
	// phaseLingering: the last response has been written, and what arrives is discarded.
	phaseLingering
	// phaseClosed: no response is written.
	phaseClosed
)

// isIdle reports whether no request is being read or served.
func (s connState) isIdle() bool {
	return !s.reading && s.pending == 0
}

// hasEnded reports whether no response follows.
func (s connState) hasEnded() bool {
	return s.phase >= phaseLingering
}

// withRequestBegun is the step at the first byte of a request.
func (s connState) withRequestBegun() (connState, bool) {
	if s.phase != phaseOpen || s.reading {
		return s, false
	}
	s.reading = true
	return s, true
}

// withRequestRead is the step at the end of a request, which may be served if it is allowed.
// last is set if no further request is read.
func (s connState) withRequestRead(last bool) (connState, bool) {
	if s.hasEnded() || !s.reading {
		return s, false
	}
	s.reading = false
	s.pending++
	s.served++
	if last {
		s.phase = phaseDraining
	}
	return s, true
}

// withResponseDone is the step after a response has been written or dropped.
func (s connState) withResponseDone() connState {
	s.pending--
	return s
}

// withDraining lets no further request be read.
func (s connState) withDraining() connState {
	s.phase = max(s.phase, phaseDraining)
	return s
}

// withIdleEnded ends a connection that has no requests.
func (s connState) withIdleEnded() (connState, bool) {
	if !s.isIdle() || s.phase != phaseOpen {
		return s, false
	}
	s.phase = phaseClosed
	return s, true
}

// withReadingAbandoned ends a connection in the middle of the only request that it has.
func (s connState) withReadingAbandoned() (connState, bool) {
	if !s.reading || s.pending > 0 || s.hasEnded() {
		return s, false
	}
	s.phase = phaseClosed
	return s, true
}

// withLingering is the step after the last response.
func (s connState) withLingering() connState {
	s.phase = max(s.phase, phaseLingering)
	return s
}

// withClosed lets no response be written.
func (s connState) withClosed() connState {
	s.phase = phaseClosed
	return s
}
