package steering

import (
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/routing"
)

type (
	// shutdown tells which requests a stopping instance may still send to backend servers,
	// so that none of them runs when the process ends.
	shutdown struct {
		// startedAt is when the instance was told to stop, endsAt when the requests that
		// still run are cut off.
		startedAt, endsAt clock.Millis
	}

	// runningRequest is what is known of a request that is about to be sent to a server.
	runningRequest struct {
		// endsBy is the end of the request's time limit.
		endsBy     clock.Millis
		idempotent bool
		// needed is the time after which the request is expected to have ended.
		needed clock.Millis
	}
)

const (
	// shutdownReserve is the time left between the end of serving and SIGKILL. It is at most
	// the grace period divided by minServingDivisor.
	shutdownReserve   = 700 * clock.Millis(1)
	minServingDivisor = 8
	// idleCloseLead is how long before the end of serving the listener and idle connections
	// are closed. It is at most the grace period divided by minListeningDivisor.
	idleCloseLead       = 1500 * clock.Millis(1)
	minListeningDivisor = 4
	// lateLimitTime is how long a stopping instance takes requests whose time limit ends
	// later than the instance, if they may be repeated and are expected to end in time.
	lateLimitTime = 2700 * clock.Millis(1)
	// stopLatencyFactor is how many times its expected latency such a request must have left.
	stopLatencyFactor = 2
	// stopReason is the reason of a refusal because the instance stops.
	stopReason = "this instance stops before the request would end"
)

// newShutdown returns the shutdown of an instance that was told to stop at a time and is killed
// after a grace period.
func newShutdown(startedAt, grace clock.Millis) shutdown {
	reserve := min(shutdownReserve, grace/minServingDivisor)
	return shutdown{startedAt: startedAt, endsAt: startedAt + grace - reserve}
}

// WithGrace returns the shutdown after the grace period has changed. Requests that were taken
// before keep their time, since it is not known which period the platform keeps to.
func (s shutdown) WithGrace(grace clock.Millis) shutdown {
	s.endsAt = min(s.endsAt, newShutdown(s.startedAt, grace).endsAt)
	return s
}

// Allows reports whether a request may be sent at a time. One whose time limit ends before the
// instance cannot be cut off. Any other one might run when the instance ends, and its caller
// would not know whether it has run: an instance that does not stop serves it at once. Only one
// that can be repeated is taken on the expectation that it ends in time, and only early.
func (s shutdown) Allows(now clock.Millis, r runningRequest) bool {
	if r.endsBy <= s.endsAt {
		return true
	}
	return r.idempotent && now-s.startedAt < lateLimitTime && now+r.needed < s.endsAt
}

// closeAt returns when the listener and idle connections are closed, given the grace period.
func (s shutdown) closeAt(grace clock.Millis) clock.Millis {
	return s.endsAt - min(idleCloseLead, grace/minListeningDivisor)
}

// Stop has the handler refuse requests that might still run when the instance ends, after a
// grace period from now. It returns the end of serving and when the listener is to be closed.
func (h *Handler) Stop(grace clock.Millis) (endsIn, closesIn time.Duration) {
	now := h.config.Clock.Now()
	s := newShutdown(now, grace)
	h.shutdown.Store(&s)
	return (s.endsAt - now).Duration(), (s.closeAt(grace) - now).Duration()
}

// SetGrace changes the grace period of a stopping instance.
func (h *Handler) SetGrace(grace clock.Millis) {
	for {
		current := h.shutdown.Load()
		if current == nil {
			return
		}
		changed := current.WithGrace(grace)
		if h.shutdown.CompareAndSwap(current, &changed) {
			return
		}
	}
}

// stopsTooEarly reports whether the instance stops so early that a request must not be sent to a
// server which is expected to take a latency; zero if none has been chosen. It returns the log
// fields that say why.
func (h *Handler) stopsTooEarly(req *callerRequest, expected clock.Millis) ([]any, bool) {
	s := h.shutdown.Load()
	if s == nil {
		return nil, false
	}
	now := h.config.Clock.Now()
	r := runningRequest{endsBy: req.deadline, idempotent: req.route.Mode == routing.Idempotent, needed: stopLatencyFactor * expected}
	if s.Allows(now, r) {
		return nil, false
	}
	h.count("refusals.stopping")
	return []any{
		"idempotent", r.idempotent, "expected_ms", int64(expected), "needed_ms", int64(r.needed), "left_ms", int64(req.deadline - now),
		"stopping_ms", int64(now - s.startedAt), "stops_in_ms", int64(s.endsAt - now),
	}, true
}
