package backend

import (
	"context"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

type (
	// Call is one request to be run on a backend server.
	Call struct {
		ID        string
		Service   string
		Workspace string
		Weight    int
		// Once is set for a request that may run at most once.
		Once bool
		// Deadline is when the caller stops waiting.
		Deadline clock.Millis
		// Fingerprint identifies requests that are the same to a server.
		Fingerprint []byte
		Request     *fasthttp.Request
		Response    *fasthttp.Response
		// BeforeSend is asked just before the request is sent; an error stops it.
		BeforeSend func() error

		abandoned bool
	}

	// Result says what became of a call.
	Result struct {
		Outcome wire.Outcome
		// Err is why the call is not done.
		Err error
		// Server is the server that was tried last.
		Server string
	}

	// attempt is the result of one try on one server.
	attempt struct {
		outcome wire.Outcome
		err     error
		server  string
	}
)

const (
	maxAttempts = 3
	// firstTryShare is the part of the time left, in percent, that the first
	// try of an idempotent request may use, so that a silent connection
	// leaves time for another one.
	firstTryShare = 45
	// cancelMargin is how long a server may take to notice a deadline.
	cancelMargin = 100 * clock.Millis(1)
)

// Run runs a call. An idempotent one is tried again within the workspace's
// retry budget; one that may run once is never sent again after any byte of it
// may have reached a server.
func (p *Pool) Run(ctx context.Context, call *Call) Result {
	p.budgets.Earn(call.Workspace)
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
	if sent && last.outcome == wire.Outcome_OUTCOME_NOT_RUN {
		last.outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return Result{Outcome: last.outcome, Err: last.err, Server: last.server}
}

func notRun(err error) Result {
	return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: err}
}

// mayRetry reports whether another server may be tried after a failure.
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
	return p.budgets.Spend(call.Workspace)
}

// try runs a call on one server.
func (p *Pool) try(ctx context.Context, call *Call, except values.Set[string], n int) attempt {
	s, err := p.acquire(ctx, call, except)
	if err != nil {
		return attempt{outcome: wire.Outcome_OUTCOME_NOT_RUN, err: err}
	}
	name := s.info.GetName()
	if err := call.BeforeSend(); err != nil {
		p.release(s)
		return attempt{outcome: wire.Outcome_OUTCOME_NOT_RUN, err: err}
	}
	c, err := p.connect(s, call)
	if err != nil {
		p.failed(s)
		p.release(s)
		return attempt{outcome: wire.Outcome_OUTCOME_NOT_RUN, err: err, server: name}
	}
	started := p.config.Clock.Now()
	err = c.exchange(call.Request, call.Response, p.limits(call, n))
	return p.finish(s, c, call, started, err)
}

// limits gives the first try of an idempotent request a part of the time left.
func (p *Pool) limits(call *Call, n int) exchangeLimits {
	left := max(call.Deadline-p.config.Clock.Now(), 1)
	if n == 0 && !call.Once {
		left = max(left*firstTryShare/100, 1)
	}
	return exchangeLimits{
		requestID: call.ID,
		deadline:  time.Now().Add(left.Duration()),
		budget:    left,
	}
}

// finish settles the server's record after an exchange.
func (p *Pool) finish(s *server, c *conn, call *Call, started clock.Millis, err error) attempt {
	now := p.config.Clock.Now()
	out := attempt{outcome: outcomeOf(err), err: err, server: s.info.GetName()}
	if err == nil {
		p.quarantine.Remove(call.Fingerprint)
		p.succeeded(s, c, call, now-started)
		p.release(s)
		return out
	}
	p.closeConn(s, c)
	switch {
	case errorx.IsOfType(err, ErrTimeout):
		p.timedOut(s, call, started, now)
		return out
	case errorx.IsOfType(err, ErrDeclined):
		p.declined(s, call)
	case errorx.IsOfType(err, ErrConnectionLost):
		p.failed(s)
		p.spread(p.quarantine.RecordCrash(call.Fingerprint, s.info.GetName()))
	default:
		p.failed(s)
	}
	p.release(s)
	return out
}

// outcomeOf says what an exchange's error means for the request.
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

// timedOut keeps the unit taken until the request's own deadline has passed,
// for the server may still be running it behind a silent connection. The idle
// connections that have not worked since the exchange began may be silent too, and
// the server is left alone for a while.
func (p *Pool) timedOut(s *server, call *Call, started, now clock.Millis) {
	p.mu.Lock()
	s.latency.add(now - started)
	s.fail(now)
	s.keepIdle(func(c *conn) bool { return c.usedAt >= started })
	p.mu.Unlock()
	hold := max(call.Deadline-now, 0) + cancelMargin
	time.AfterFunc(hold.Duration(), func() { p.release(s) })
}

// declined notes a server's refusal, which may say that it is draining.
func (p *Pool) declined(s *server, call *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(call.Response.Header.Peek(DrainingHeader)) > 0 {
		s.draining = true
		return
	}
	s.fail(p.config.Clock.Now())
}

func (p *Pool) failed(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.fail(p.config.Clock.Now())
	s.closeIdle()
}

func (p *Pool) succeeded(s *server, c *conn, call *Call, took clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.succeed(took)
	if len(call.Response.Header.Peek(DrainingHeader)) > 0 {
		s.draining = true
	}
	c.usedAt = p.config.Clock.Now()
	if call.Response.ConnectionClose() || len(s.idle) >= s.connections-s.units {
		s.open--
		_ = c.Close()
		return
	}
	s.idle = append(s.idle, c)
}

func (p *Pool) spread(suspect *wire.Suspect) {
	if p.config.BroadcastSuspect != nil {
		p.config.BroadcastSuspect(suspect)
	}
}

// connect takes an idle connection or opens one. A request that may run once
// only uses a connection that has just worked.
func (p *Pool) connect(s *server, call *Call) (*conn, error) {
	now := p.config.Clock.Now()
	usedAfter := now - maxIdleAge
	if call.Once {
		usedAfter = now - trustedAge
	}
	p.mu.Lock()
	c := s.takeIdle(usedAfter)
	if c == nil {
		s.open++
		p.check(s.open <= max(s.connections, s.units), "server %s has %d connections, its part is %d", s.info.GetName(), s.open, s.connections)
	}
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	left := call.Deadline - now
	c, err := dial(p.config.Source, s.info.GetAddress(), time.Now().Add(left.Duration()))
	if err != nil {
		p.mu.Lock()
		s.open--
		p.mu.Unlock()
	}
	return c, err
}

func (p *Pool) closeConn(s *server, c *conn) {
	_ = c.Close()
	p.mu.Lock()
	s.open--
	p.mu.Unlock()
}

// trimIdle closes the idle connections beyond this instance's part.
func (s *server) trimIdle() {
	for len(s.idle) > max(s.connections-s.units, 0) {
		_ = s.idle[0].Close()
		s.idle = s.idle[1:]
		s.open--
	}
}

// keepIdle closes the idle connections that are not wanted.
func (s *server) keepIdle(wanted func(*conn) bool) {
	kept, closed := socket.KeepIdle(s.idle, wanted)
	s.idle = kept
	s.open -= closed
}

func (s *server) closeIdle() {
	s.keepIdle(func(*conn) bool { return false })
}
