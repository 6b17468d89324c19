package peer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/authority"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/share"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
)

type (
	// RateLimiterConfig configures Loans.
	RateLimiterConfig struct {
		Fleet   *Fleet
		Clock   clock.Clock
		Network Network
		Log     hclog.Logger
		// Term is the length of a loan.
		Term clock.Millis
		// MaxWait is how long a request may wait for a token.
		MaxWait clock.Millis
	}

	// RateLimiter admits requests within their workspaces' rates and moves parts of
	// the rates between instances. A book's lock is never held during a call
	// and no other lock is taken under it.
	RateLimiter struct {
		config      RateLimiterConfig
		loanCounter atomic.Int64

		mu       sync.RWMutex
		limiters map[string]*workspaceLimiter
	}
)

const (
	clockDriftMargin = 50 * clock.Millis(1)
	askInterval      = 100 * clock.Millis(1)
	// minAskBackOff is the least time between asks of one peer.
	minAskBackOff = 20 * clock.Millis(1)
	maxAskBackOff = 400 * clock.Millis(1)
	// askRedundancy is how many peers together are asked for the whole deficit.
	askRedundancy = 2.0
)

// NewRateLimiter returns loans that admit nothing until the fleet's state is known.
func NewRateLimiter(config RateLimiterConfig) *RateLimiter {
	l := &RateLimiter{config: config, limiters: make(map[string]*workspaceLimiter)}
	config.Fleet.OnChange(l.updateBases)
	return l
}

// Run asks for and returns loans until the context ends.
func (l *RateLimiter) Run(ctx context.Context) {
	l.config.Fleet.runPeriodically(ctx, askInterval, func(context.Context) {
		for _, b := range l.activeLimiters() {
			l.adjustLoans(b)
		}
	})
}

// Admit takes one token of a workspace. It waits a short while for a loan when
// there is none, and reports whether the request is within the rate.
func (l *RateLimiter) Admit(ctx context.Context, workspace string) bool {
	b := l.limiter(workspace)
	if b == nil {
		return false
	}
	now := l.config.Clock.Now()
	admitted, wait := b.admit(now, now+l.config.MaxWait)
	if admitted || wait == nil {
		return admitted
	}
	l.adjustLoans(b)
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
	for _, b := range l.limiters {
		b.mu.Lock()
		if !b.ledger.Idle(now) {
			out = append(out, b)
		}
		b.mu.Unlock()
	}
	return out
}

// updateBases sets every ledger's own part from the state in force.
func (l *RateLimiter) updateBases() {
	for _, workspace := range l.config.Fleet.State().GetRules().GetWorkspaces() {
		base := l.ownPart(workspace)
		b := l.ensureLimiter(workspace.GetName())
		b.mu.Lock()
		b.ledger.SetBase(l.config.Clock.Now(), base)
		b.mu.Unlock()
	}
	l.clearRemovedWorkspaces()
}

// ownPart returns this instance's own part of a workspace's rate. Only the share
// of the slots has to wait for former holders: a changed rate takes effect at
// once, for the parts of all instances still add up to no more than the higher
// of the two rates.
func (l *RateLimiter) ownPart(workspace *wire.WorkspaceRule) share.Part {
	incarnation := l.config.Fleet.Incarnation()
	slots := l.config.Fleet.RateAllowance(func(state *wire.State) float64 {
		return authority.SlotShare(state, incarnation)
	})
	whole := share.Part{Rate: workspace.GetRatePerS(), Burst: workspace.GetBurst()}
	return whole.WithScale(slots)
}

func (l *RateLimiter) ensureLimiter(workspace string) *workspaceLimiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.limiters[workspace]; ok {
		return b
	}
	b := &workspaceLimiter{
		workspace: workspace,
		clock:     l.config.Clock,
		ledger: share.NewLedger(share.LedgerConfig{
			Term:        l.config.Term,
			DriftMargin: clockDriftMargin,
		}, l.config.Clock.Now()),
		asks: make(map[string]askState),
	}
	l.limiters[workspace] = b
	return b
}

// clearRemovedWorkspaces empties the ledgers of the workspaces that the rules no longer hold.
func (l *RateLimiter) clearRemovedWorkspaces() {
	state := l.config.Fleet.State()
	l.mu.RLock()
	defer l.mu.RUnlock()
	for name, b := range l.limiters {
		if rules.Workspace(state.GetRules(), name) == nil {
			b.mu.Lock()
			b.ledger.SetBase(l.config.Clock.Now(), share.Part{})
			b.mu.Unlock()
		}
	}
}

// adjustLoans returns the loans that a book can do without and asks for what it lacks.
func (l *RateLimiter) adjustLoans(b *workspaceLimiter) {
	now := l.config.Clock.Now()
	members := l.config.Fleet.Members()
	b.mu.Lock()
	returns := b.ledger.GiveUp(now)
	want, needsMore := b.ledger.Wanted(now, len(b.waiters)).Get()
	if needsMore && len(members) > 0 {
		part := min(askRedundancy/float64(len(members)), 1)
		want.Part = want.Part.WithScale(part)
		want.Tokens *= part
	}
	var asks []*wire.LoanAsk
	var peers []Member
	for _, member := range members {
		extend := b.ledger.ToExtend(now, member.Seat.GetIncarnation())
		if !b.beginAsk(now, member.Seat.GetIncarnation(), needsMore, len(extend) > 0) {
			continue
		}
		asks = append(asks, l.newLoanAsk(b.workspace, want, extend))
		peers = append(peers, member)
	}
	b.mu.Unlock()
	for i, member := range peers {
		go l.borrow(b, member, asks[i])
	}
	l.returnLoans(b.workspace, members, returns)
}

// beginAsk reports whether a peer is to be asked now and notes that it is. The
// caller holds the book's lock.
func (b *workspaceLimiter) beginAsk(now clock.Millis, peer string, needsMore, renewal bool) bool {
	ask := b.asks[peer]
	due := renewal || (needsMore && now >= ask.nextAt)
	if ask.running || !due {
		return false
	}
	ask.running = true
	b.asks[peer] = ask
	return true
}

// endAsk notes the end of an ask. A peer that lent nothing is left alone for a
// longer and longer time.
func (b *workspaceLimiter) endAsk(now clock.Millis, peer string, lent bool) {
	ask := b.asks[peer]
	ask.running = false
	ask.backOff = min(max(ask.backOff*2, minAskBackOff), maxAskBackOff)
	if lent {
		ask.backOff = minAskBackOff
	}
	ask.nextAt = now + ask.backOff
	b.asks[peer] = ask
}

func (l *RateLimiter) newLoanAsk(workspace string, want share.Grant, extend []string) *wire.LoanAsk {
	return &wire.LoanAsk{
		Borrower:  l.config.Fleet.Incarnation(),
		Workspace: workspace,
		RatePerS:  want.Part.Rate,
		Tokens:    want.Tokens,
		Extend:    extend,
	}
}

// borrow asks one peer for a loan. The term counts from the moment of asking.
func (l *RateLimiter) borrow(b *workspaceLimiter, member Member, ask *wire.LoanAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), l.config.Term.Duration())
	defer cancel()
	askedAt := l.config.Clock.Now()
	lender := member.Seat.GetIncarnation()
	response, err := l.config.Network.Call(ctx, member.Seat.GetPeerAddress(), &wire.PeerRequest{
		Body: &wire.PeerRequest_LoanAsk{LoanAsk: ask},
	})
	now := l.config.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	grant := response.GetLoanGrant()
	b.endAsk(now, lender, err == nil && grant.GetId() != "")
	if err != nil {
		return
	}
	for _, id := range grant.GetExtended() {
		b.ledger.Extended(now, askedAt, id)
	}
	if grant.GetId() != "" {
		b.ledger.Accept(now, askedAt, lender, grantFromWire(grant))
	}
}

// returnLoans tells lenders about loans that have already left the ledger.
func (l *RateLimiter) returnLoans(workspace string, members []Member, returns map[string][]share.Grant) {
	for _, member := range members {
		for _, grant := range returns[member.Seat.GetIncarnation()] {
			request := &wire.PeerRequest{Body: &wire.PeerRequest_LoanReturn{LoanReturn: &wire.LoanReturn{
				Id:        grant.ID,
				Workspace: workspace,
				RatePerS:  grant.Part.Rate,
				Burst:     grant.Part.Burst,
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
		l.config.Log.Debug("returning a loan", "address", address, "error", err)
	}
}

// handleLoanAsk lends to a peer. An instance without authority lends nothing, for
// its part may have passed to another one.
func (l *RateLimiter) handleLoanAsk(ask *wire.LoanAsk) *wire.LoanGrant {
	answer := &wire.LoanGrant{}
	b := l.limiter(ask.GetWorkspace())
	if b == nil || !l.config.Fleet.HasAuthority() {
		return answer
	}
	now := l.config.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ask.GetExtend() {
		if b.ledger.Extend(now, id, ask.GetBorrower()) {
			answer.Extended = append(answer.Extended, id)
		}
	}
	want := share.Grant{Part: share.Part{Rate: ask.GetRatePerS()}, Tokens: ask.GetTokens()}
	id := fmt.Sprintf("%s/%d", l.config.Fleet.Incarnation(), l.loanCounter.Add(1))
	if grant, ok := b.ledger.Lend(now, id, ask.GetBorrower(), want).Get(); ok {
		answer.Id = grant.ID
		answer.RatePerS = grant.Part.Rate
		answer.Burst = grant.Part.Burst
		answer.Tokens = grant.Tokens
	}
	return answer
}

// handleLoanReturn takes a loan back.
func (l *RateLimiter) handleLoanReturn(returned *wire.LoanReturn) *wire.LoanReturnAnswer {
	if b := l.limiter(returned.GetWorkspace()); b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ledger.TakeBack(l.config.Clock.Now(), returned.GetId(), returned.GetTokens())
	}
	return &wire.LoanReturnAnswer{}
}

func grantFromWire(grant *wire.LoanGrant) share.Grant {
	return share.Grant{
		ID:     grant.GetId(),
		Part:   share.Part{Rate: grant.GetRatePerS(), Burst: grant.GetBurst()},
		Tokens: grant.GetTokens(),
	}
}
