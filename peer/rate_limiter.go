package peer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/authority"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/lending"
	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
)

type (
	// RateLimiterConfig configures a RateLimiter.
	RateLimiterConfig struct {
		Fleet   *Fleet
		Clock   clock.Clock
		Network Network
		Log     hclog.Logger
		// LoanTerm is how long a borrower may spend a loan, counted from its request.
		LoanTerm clock.Millis
		// MaxWait is how long a request may wait for a token.
		MaxWait clock.Millis
	}

	// RateLimiter admits requests within the rate limits of their workspaces. Each
	// instance has a base allocation of every limit; an instance that needs more
	// borrows from its peers. The lock of a workspaceLimiter is never held during a
	// network call, and no other lock is taken while it is held.
	RateLimiter struct {
		config      RateLimiterConfig
		loanCounter atomic.Int64

		mu       sync.RWMutex
		limiters map[string]*workspaceLimiter
	}
)

const (
	// clockDriftMargin is how much longer than the loan term a lender does without
	// a loan, so that clock drift does not let both sides spend it at once.
	clockDriftMargin  = 50 * clock.Millis(1)
	loanCheckInterval = 100 * clock.Millis(1)
	// minLoanBackoff is the shortest time from the end of a loan request until the
	// same peer is asked for a new loan. It doubles while the peer lends nothing,
	// up to maxLoanBackoff.
	minLoanBackoff = 20 * clock.Millis(1)
	maxLoanBackoff = 400 * clock.Millis(1)
	// loanRequestRedundancy is the multiple of the missing rate that is requested
	// in total: each of n peers is asked for loanRequestRedundancy/n of it, and at
	// most for all of it.
	loanRequestRedundancy = 2.0
)

// NewRateLimiter returns a limiter that admits nothing until the fleet's state
// is known.
func NewRateLimiter(config RateLimiterConfig) *RateLimiter {
	l := &RateLimiter{config: config, limiters: make(map[string]*workspaceLimiter)}
	config.Fleet.OnChange(l.updateBases)
	return l
}

// Run requests and returns loans until the context ends.
func (l *RateLimiter) Run(ctx context.Context) {
	l.config.Fleet.runPeriodically(ctx, loanCheckInterval, func(context.Context) {
		for _, w := range l.activeLimiters() {
			l.adjustLoans(w)
		}
	})
}

// Admit takes one of a workspace's tokens and reports whether the request is
// within the rate limit. If no token is left, it waits up to MaxWait for a refill
// or a loan.
func (l *RateLimiter) Admit(ctx context.Context, workspace string) bool {
	w := l.limiter(workspace)
	if w == nil {
		return false
	}
	now := l.config.Clock.Now()
	admitted, wait := w.admit(now, now+l.config.MaxWait)
	if admitted || wait == nil {
		return admitted
	}
	l.adjustLoans(w)
	select {
	case admitted = <-wait:
		return admitted
	case <-ctx.Done():
		return false
	}
}

func (l *RateLimiter) limiter(workspace string) *workspaceLimiter {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.limiters[workspace]
}

func (l *RateLimiter) activeLimiters() []*workspaceLimiter {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var out []*workspaceLimiter
	now := l.config.Clock.Now()
	for _, w := range l.limiters {
		w.mu.Lock()
		if !w.ledger.Idle(now) {
			out = append(out, w)
		}
		w.mu.Unlock()
	}
	return out
}

// updateBases sets the base allocation of each ledger from the current state.
func (l *RateLimiter) updateBases() {
	for _, workspace := range l.config.Fleet.State().GetRules().GetWorkspaces() {
		base := l.baseAllocation(workspace)
		w := l.ensureLimiter(workspace.GetName())
		w.mu.Lock()
		w.ledger.SetBase(l.config.Clock.Now(), base)
		w.mu.Unlock()
	}
	l.clearRemovedWorkspaces()
}

// baseAllocation returns this instance's allocation of a workspace's rate limit,
// before any loans. A larger share of the slots takes effect only once the previous
// holders have stopped. A changed rate takes effect at once, because the
// allocations of all instances still add up to no more than the higher of the two
// rates.
func (l *RateLimiter) baseAllocation(workspace *wire.WorkspaceRule) lending.Allocation {
	incarnation := l.config.Fleet.Incarnation()
	share := l.config.Fleet.RateAllowance(func(state *wire.State) float64 {
		return authority.SlotShare(state, incarnation)
	})
	limit := lending.Allocation{Rate: workspace.GetRatePerS(), Burst: workspace.GetBurst()}
	return limit.WithScale(share)
}

func (l *RateLimiter) ensureLimiter(workspace string) *workspaceLimiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w, ok := l.limiters[workspace]; ok {
		return w
	}
	w := &workspaceLimiter{
		workspace: workspace,
		clock:     l.config.Clock,
		ledger: lending.NewLedger(lending.LedgerConfig{
			LoanTerm:    l.config.LoanTerm,
			DriftMargin: clockDriftMargin,
		}, l.config.Clock.Now()),
		loanRequests: make(map[string]loanRequestState),
	}
	l.limiters[workspace] = w
	return w
}

// clearRemovedWorkspaces clears the base allocation of each workspace that is no
// longer in the rules.
func (l *RateLimiter) clearRemovedWorkspaces() {
	state := l.config.Fleet.State()
	l.mu.RLock()
	defer l.mu.RUnlock()
	for name, w := range l.limiters {
		if rules.Workspace(state.GetRules(), name) == nil {
			w.mu.Lock()
			w.ledger.SetBase(l.config.Clock.Now(), lending.Allocation{})
			w.mu.Unlock()
		}
	}
}

// adjustLoans returns surplus loans, extends those that end soon and requests
// what the workspace lacks.
func (l *RateLimiter) adjustLoans(w *workspaceLimiter) {
	now := l.config.Clock.Now()
	members := l.config.Fleet.Members()
	w.mu.Lock()
	returns := w.ledger.ReturnSurplus(now)
	want, needsMore := w.ledger.Deficit(now, len(w.waiters)).Get()
	if needsMore && len(members) > 0 {
		fraction := min(loanRequestRedundancy/float64(len(members)), 1)
		want.Allocation = want.Allocation.WithScale(fraction)
		want.Tokens *= fraction
	}
	var requests []*wire.LoanAsk
	var peers []Member
	for _, member := range members {
		extend := w.ledger.LoansToExtend(now, member.Seat.GetIncarnation())
		if !w.beginLoanRequest(now, member.Seat.GetIncarnation(), needsMore, len(extend) > 0) {
			continue
		}
		requests = append(requests, l.newLoanRequest(w.workspace, want, extend))
		peers = append(peers, member)
	}
	w.mu.Unlock()
	for i, member := range peers {
		go l.borrow(w, member, requests[i])
	}
	l.returnLoans(w.workspace, members, returns)
}

func (l *RateLimiter) newLoanRequest(workspace string, want lending.Loan, extend []string) *wire.LoanAsk {
	return &wire.LoanAsk{
		Borrower:  l.config.Fleet.Incarnation(),
		Workspace: workspace,
		RatePerS:  want.Allocation.Rate,
		Tokens:    want.Tokens,
		Extend:    extend,
	}
}

// borrow requests a loan from one peer. Its term starts when the request is sent,
// so that it ends here before it ends at the lender.
func (l *RateLimiter) borrow(w *workspaceLimiter, member Member, request *wire.LoanAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), l.config.LoanTerm.Duration())
	defer cancel()
	requestedAt := l.config.Clock.Now()
	lender := member.Seat.GetIncarnation()
	response, err := l.config.Network.Call(ctx, member.Seat.GetPeerAddress(), &wire.PeerRequest{
		Body: &wire.PeerRequest_LoanAsk{LoanAsk: request},
	})
	now := l.config.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	grant := response.GetLoanGrant()
	w.endLoanRequest(now, lender, err == nil && grant.GetId() != "")
	if err != nil {
		return
	}
	for _, id := range grant.GetExtended() {
		w.ledger.ApplyExtension(now, requestedAt, id)
	}
	if grant.GetId() != "" {
		w.ledger.AcceptLoan(now, requestedAt, lender, grantFromWire(grant))
	}
}

// returnLoans tells the lenders about loans that have already been removed from
// the ledger.
func (l *RateLimiter) returnLoans(workspace string, members []Member, returns map[string][]lending.Loan) {
	for _, member := range members {
		for _, grant := range returns[member.Seat.GetIncarnation()] {
			request := &wire.PeerRequest{Body: &wire.PeerRequest_LoanReturn{LoanReturn: &wire.LoanReturn{
				Id:        grant.ID,
				Workspace: workspace,
				RatePerS:  grant.Allocation.Rate,
				Burst:     grant.Allocation.Burst,
				Tokens:    grant.Tokens,
			}}}
			go l.sendReturn(member.Seat.GetPeerAddress(), request)
		}
	}
}

func (l *RateLimiter) sendReturn(address string, request *wire.PeerRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := l.config.Network.Call(ctx, address, request); err != nil {
		l.config.Log.Debug("failed to return a loan", "address", address, "error", err)
	}
}

// handleLoanRequest lends to a peer. An instance without authority lends nothing,
// because its allocation may already belong to another instance.
func (l *RateLimiter) handleLoanRequest(request *wire.LoanAsk) *wire.LoanGrant {
	response := &wire.LoanGrant{}
	w := l.limiter(request.GetWorkspace())
	if w == nil || !l.config.Fleet.HasAuthority() {
		return response
	}
	now := l.config.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range request.GetExtend() {
		if w.ledger.Extend(now, id, request.GetBorrower()) {
			response.Extended = append(response.Extended, id)
		}
	}
	want := lending.Loan{Allocation: lending.Allocation{Rate: request.GetRatePerS()}, Tokens: request.GetTokens()}
	id := fmt.Sprintf("%s/%d", l.config.Fleet.Incarnation(), l.loanCounter.Add(1))
	if grant, ok := w.ledger.Lend(now, id, request.GetBorrower(), want).Get(); ok {
		response.Id = grant.ID
		response.RatePerS = grant.Allocation.Rate
		response.Burst = grant.Allocation.Burst
		response.Tokens = grant.Tokens
	}
	return response
}

// handleLoanReturn adds a returned loan to the lender's ledger again.
func (l *RateLimiter) handleLoanReturn(returned *wire.LoanReturn) *wire.LoanReturnAnswer {
	if w := l.limiter(returned.GetWorkspace()); w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ledger.AcceptReturn(l.config.Clock.Now(), returned.GetId(), returned.GetTokens())
	}
	return &wire.LoanReturnAnswer{}
}

func grantFromWire(grant *wire.LoanGrant) lending.Loan {
	return lending.Loan{
		ID:         grant.GetId(),
		Allocation: lending.Allocation{Rate: grant.GetRatePerS(), Burst: grant.GetBurst()},
		Tokens:     grant.GetTokens(),
	}
}
