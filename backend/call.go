package backend

import (
	"context"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

type (
	// Call is a request to be run on a backend server of a service.
	Call struct {
		// ID is sent to the server, which may echo it.
		ID        string
		Service   string
		Workspace string
		// Weight is the workspace's weight in the service's queue.
		Weight int
		// Once is set if the request may run at most once; otherwise it is
		// idempotent.
		Once bool
		// Deadline is when the caller stops waiting.
		Deadline clock.Millis
		// Fingerprint is equal for requests with the same content. The quarantine
		// is keyed by it.
		Fingerprint []byte
		Request     *fasthttp.Request
		Response    *fasthttp.Response
		// BeforeSend is called before each attempt, once a slot has been
		// acquired; an error ends the call, and the request is not sent.
		BeforeSend func() error

		// hold is the memory that the body of Response takes during the call.
		hold *memory.Hold
		// abandoned is set once the call no longer waits for a slot. The pool's
		// lock guards it.
		abandoned bool
	}

	// Result is the result of a call.
	Result struct {
		Outcome wire.Outcome
		// Err is nil if the outcome is OUTCOME_DONE.
		Err error
		// Server is the server of the last attempt; empty if it had none.
		Server string
	}

	// attempt is the result of one attempt. server is empty if no server was
	// acquired, or BeforeSend stopped the request.
	attempt struct {
		outcome wire.Outcome
		err     error
		server  string
	}
)

const (
	maxAttempts = 3
	// firstAttemptPercent is the percentage of the time left that the first
	// attempt of an idempotent request may use, so that a stalled connection
	// leaves time for another attempt.
	firstAttemptPercent = 45
	// cancelGrace is the time after a deadline within which a server is expected
	// to stop running the request.
	cancelGrace = 100 * clock.Millis(1)
)

// Run runs a call, with retries on other servers. An attempt that is known not to
// have run is retried for any request; one that may have run is retried only for an
// idempotent request and within the workspace's retry budget. A request that may run
// at most once is thus never sent again after a byte of it may have reached a server,
// unless that server declined it.
func (p *Pool) Run(ctx context.Context, call *Call) Result {
	p.budgets.Deposit(call.Workspace)
	call.hold = p.config.Memory.Hold(memory.Responses)
	defer call.hold.Release()
	if p.quarantine.Contains(call.Fingerprint) {
		return notRun(ErrQuarantined.New("the request has crashed backend servers"))
	}
	tried := values.NewSet[string]()
	var last attempt
	sent := false
	for n := range maxAttempts {
		last = p.try(ctx, call, tried, n)
		sent = sent || last.outcome == wire.Outcome_OUTCOME_UNKNOWN
		if last.outcome == wire.Outcome_OUTCOME_DONE || last.server == "" || !p.mayRetry(call, last) {
			break
		}
		tried = tried.With(last.server)
	}
	// The last attempt did not run the request, but an earlier one may have.
	if sent && last.outcome == wire.Outcome_OUTCOME_NOT_RUN {
		last.outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return Result{Outcome: last.outcome, Err: last.err, Server: last.server}
}

func notRun(err error) Result {
	return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: err}
}

// mayRetry reports whether the call may be sent to another server after a failed
// attempt. Where the request may have run, it takes a token of the retry budget.
func (p *Pool) mayRetry(call *Call, last attempt) bool {
	if call.Deadline <= p.config.Clock.Now() {
		return false
	}
	if last.outcome == wire.Outcome_OUTCOME_NOT_RUN {
		return errorx.IsOfType(last.err, ErrNotSent) || errorx.IsOfType(last.err, ErrDeclined)
	}
	if call.Once || p.quarantine.Contains(call.Fingerprint) {
		return false
	}
	return p.budgets.TryWithdraw(call.Workspace)
}

// try makes attempt n, counted from zero, on a server that is not in tried.
func (p *Pool) try(ctx context.Context, call *Call, tried values.Set[string], n int) attempt {
	s, err := p.acquire(ctx, call, tried)
	if err != nil {
		return attempt{outcome: wire.Outcome_OUTCOME_NOT_RUN, err: err}
	}
	name := s.info().GetName()
	if err := call.BeforeSend(); err != nil {
		p.release(s)
		return attempt{outcome: wire.Outcome_OUTCOME_NOT_RUN, err: err}
	}
	c, err := p.connect(s, call)
	if err != nil {
		p.onFailure(s)
		p.release(s)
		return attempt{outcome: wire.Outcome_OUTCOME_NOT_RUN, err: err, server: name}
	}
	started := p.config.Clock.Now()
	call.hold.Release()
	err = c.exchange(call.Request, call.Response, p.attemptOptions(call, n))
	return p.finish(s, c, call, started, err)
}

// attemptOptions returns the exchange options for attempt n. The first attempt of an
// idempotent request gets only a part of the time left.
func (p *Pool) attemptOptions(call *Call, n int) exchangeOptions {
	left := max(call.Deadline-p.config.Clock.Now(), 1)
	if n == 0 && !call.Once {
		left = max(left*firstAttemptPercent/100, 1)
	}
	return exchangeOptions{
		requestID: call.ID,
		deadline:  time.Now().Add(left.Duration()),
		timeLeft:  left,
		hold:      call.hold,
	}
}

// finish updates the server's state and the quarantine after an exchange. It releases
// the slot, except after a timeout, when onTimeout releases it later.
func (p *Pool) finish(s *server, c *conn, call *Call, started clock.Millis, err error) attempt {
	now := p.config.Clock.Now()
	out := attempt{outcome: outcomeOf(err), err: err, server: s.info().GetName()}
	if err == nil {
		p.quarantine.Remove(call.Fingerprint)
		p.onSuccess(s, c, call, now-started)
		p.release(s)
		return out
	}
	p.closeConn(s, c)
	switch {
	case errorx.IsOfType(err, ErrTimeout):
		p.onTimeout(s, call, started, now)
		return out
	case errorx.IsOfType(err, ErrDeclined):
		p.onDeclined(s, call)
	case errorx.IsOfType(err, ErrConnectionLost):
		p.onFailure(s)
		p.broadcastSuspect(p.quarantine.RecordCrash(call.Fingerprint, s.info().GetName()))
	default:
		p.onFailure(s)
	}
	p.release(s)
	return out
}

// outcomeOf returns the request's outcome after an exchange that ended with err.
func outcomeOf(err error) wire.Outcome {
	switch {
	case err == nil:
		return wire.Outcome_OUTCOME_DONE
	case errorx.IsOfType(err, ErrNotSent), errorx.IsOfType(err, ErrDeclined):
		return wire.Outcome_OUTCOME_NOT_RUN
	default:
		return wire.Outcome_OUTCOME_UNKNOWN
	}
}

// onTimeout starts a backoff and closes the idle connections that have not been
// used since the exchange started, since they may be stalled too. It releases the
// slot only after the request's own deadline, because the server may still be
// running the request although the connection is stalled.
func (p *Pool) onTimeout(s *server, call *Call, started, now clock.Millis) {
	p.mu.Lock()
	s.latency.add(now - started)
	s.recordFailure(now)
	s.keepIdle(func(c *conn) bool { return c.lastUsedAt >= started })
	p.mu.Unlock()
	hold := max(call.Deadline-now, 0) + cancelGrace
	time.AfterFunc(hold.Duration(), func() { p.release(s) })
}

// onDeclined marks the server as draining if its response says so, and starts a
// backoff otherwise.
func (p *Pool) onDeclined(s *server, call *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(call.Response.Header.Peek(DrainingHeader)) > 0 {
		s.markDraining(p.config.Clock.Now())
		return
	}
	s.recordFailure(p.config.Clock.Now())
}

// onFailure starts a backoff and closes all idle connections.
func (p *Pool) onFailure(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.recordFailure(p.config.Clock.Now())
	s.closeIdle()
}

// onSuccess returns the connection to the idle list, or closes it if the list is
// full.
func (p *Pool) onSuccess(s *server, c *conn, call *Call, took clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.recordSuccess(took)
	if len(call.Response.Header.Peek(DrainingHeader)) > 0 {
		s.markDraining(p.config.Clock.Now())
	}
	c.lastUsedAt = p.config.Clock.Now()
	if !isReusable(call.Response) || len(s.idle) >= s.maxConnections-s.slots {
		s.openConnections--
		_ = c.Close()
		return
	}
	s.idle = append(s.idle, c)
}

func (p *Pool) broadcastSuspect(suspect *wire.Suspect) {
	if p.config.BroadcastSuspect != nil {
		p.config.BroadcastSuspect(suspect)
	}
}

// connect takes an idle connection or opens a new one. A request that may run at
// most once only reuses a connection that has been used very recently.
func (p *Pool) connect(s *server, call *Call) (*conn, error) {
	now := p.config.Clock.Now()
	usedAfter := now - maxIdleTime
	if call.Once {
		usedAfter = now - maxIdleTimeOnce
	}
	p.mu.Lock()
	c := s.takeIdle(usedAfter)
	if c == nil {
		s.openConnections++
		p.assertInvariant(s.openConnections <= max(s.maxConnections, s.slots), "server %s has %d connections, its part is %d", s.info().GetName(), s.openConnections, s.maxConnections)
	}
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	left := call.Deadline - now
	c, err := dial(p.config.Source, s.info().GetAddress(), time.Now().Add(left.Duration()))
	if err != nil {
		p.mu.Lock()
		s.openConnections--
		p.mu.Unlock()
	}
	return c, err
}

func (p *Pool) closeConn(s *server, c *conn) {
	_ = c.Close()
	p.mu.Lock()
	s.openConnections--
	p.mu.Unlock()
}
