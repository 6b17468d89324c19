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
		config  RateLimiterConfig
		counter atomic.Int64

		mu    sync.RWMutex
		books map[string]*book
	}
)

const (
	driftMargin = 50 * clock.Millis(1)
	askInterval = 100 * clock.Millis(1)
	// urgentAskInterval is the least time between asks of one peer.
	urgentAskInterval = 20 * clock.Millis(1)
	maxAskBackOff     = 400 * clock.Millis(1)
	// askOverlap is how many peers together are asked for the whole deficit.
	askOverlap = 2.0
)

// NewRateLimiter returns loans that admit nothing until the fleet's state is known.
func NewRateLimiter(config RateLimiterConfig) *RateLimiter {
	l := &RateLimiter{config: config, books: make(map[string]*book)}
	config.Fleet.OnChange(l.rebase)
	return l
}

// Run asks for and returns loans until the context ends.
func (l *RateLimiter) Run(ctx context.Context) {
	l.config.Fleet.every(ctx, askInterval, func(context.Context) {
		for _, b := range l.active() {
			l.tend(b)
		}
	})
}

// Admit takes one token of a workspace. It waits a short while for a loan when
// there is none, and reports whether the request is within the rate.
func (l *RateLimiter) Admit(ctx context.Context, workspace string) bool {
	b := l.book(workspace)
	if b == nil {
		return false
	}
	now := l.config.Clock.Now()
	admitted, wait := b.admit(now, now+l.config.MaxWait)
	if admitted || wait == nil {
		return admitted
	}
	l.tend(b)
	select {
	case admitted = <-wait:
		return admitted
	case <-ctx.Done():
		return false
	}
}

func (l *RateLimiter) book(workspace string) *book {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.books[workspace]
}

func (l *RateLimiter) active() []*book {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var out []*book
	now := l.config.Clock.Now()
	for _, b := range l.books {
		b.mu.Lock()
		if !b.ledger.Idle(now) {
			out = append(out, b)
		}
		b.mu.Unlock()
	}
	return out
}

// rebase sets every ledger's own part from the state in force.
func (l *RateLimiter) rebase() {
	for _, workspace := range l.config.Fleet.State().GetRules().GetWorkspaces() {
		base := l.base(workspace)
		b := l.openBook(workspace.GetName())
		b.mu.Lock()
		b.ledger.SetBase(l.config.Clock.Now(), base)
		b.mu.Unlock()
	}
	l.closeBooks()
}

// base returns this instance's own part of a workspace's rate. Only the share
// of the slots has to wait for former holders: a changed rate takes effect at
// once, for the parts of all instances still add up to no more than the higher
// of the two rates.
func (l *RateLimiter) base(workspace *wire.WorkspaceRule) lending.Allocation {
	incarnation := l.config.Fleet.Incarnation()
	slots := l.config.Fleet.RateAllowance(func(state *wire.State) float64 {
		return authority.SlotShare(state, incarnation)
	})
	whole := lending.Allocation{Rate: workspace.GetRatePerS(), Burst: workspace.GetBurst()}
	return whole.Scale(slots)
}

func (l *RateLimiter) openBook(workspace string) *book {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.books[workspace]; ok {
		return b
	}
	b := &book{
		workspace: workspace,
		clock:     l.config.Clock,
		ledger: lending.NewLedger(lending.LedgerConfig{
			LoanTerm:    l.config.Term,
			DriftMargin: driftMargin,
		}, l.config.Clock.Now()),
		asks: make(map[string]askState),
	}
	l.books[workspace] = b
	return b
}

// closeBooks empties the ledgers of the workspaces that the rules no longer hold.
func (l *RateLimiter) closeBooks() {
	state := l.config.Fleet.State()
	l.mu.RLock()
	defer l.mu.RUnlock()
	for name, b := range l.books {
		if rules.Workspace(state.GetRules(), name) == nil {
			b.mu.Lock()
			b.ledger.SetBase(l.config.Clock.Now(), lending.Allocation{})
			b.mu.Unlock()
		}
	}
}

// tend returns the loans that a book can do without and asks for what it lacks.
func (l *RateLimiter) tend(b *book) {
	now := l.config.Clock.Now()
	members := l.config.Fleet.Members()
	b.mu.Lock()
	returns := b.ledger.ReturnSurplus(now)
	want, needy := b.ledger.Deficit(now, len(b.waiters)).Get()
	if needy && len(members) > 0 {
		part := min(askOverlap/float64(len(members)), 1)
		want.Allocation = want.Allocation.Scale(part)
		want.Tokens *= part
	}
	var asks []*wire.LoanAsk
	var peers []Member
	for _, member := range members {
		extend := b.ledger.LoansToExtend(now, member.Seat.GetIncarnation())
		if !b.mayAsk(now, member.Seat.GetIncarnation(), needy, len(extend) > 0) {
			continue
		}
		asks = append(asks, l.ask(b.workspace, want, extend))
		peers = append(peers, member)
	}
	b.mu.Unlock()
	for i, member := range peers {
		go l.borrow(b, member, asks[i])
	}
	l.giveBack(b.workspace, members, returns)
}

// mayAsk reports whether a peer is to be asked now and notes that it is. The
// caller holds the book's lock.
func (b *book) mayAsk(now clock.Millis, peer string, needy, renewal bool) bool {
	ask := b.asks[peer]
	due := renewal || (needy && now >= ask.nextAt)
	if ask.running || !due {
		return false
	}
	ask.running = true
	b.asks[peer] = ask
	return true
}

// asked notes the end of an ask. A peer that lent nothing is left alone for a
// longer and longer time.
func (b *book) asked(now clock.Millis, peer string, lent bool) {
	ask := b.asks[peer]
	ask.running = false
	ask.backOff = min(max(ask.backOff*2, urgentAskInterval), maxAskBackOff)
	if lent {
		ask.backOff = urgentAskInterval
	}
	ask.nextAt = now + ask.backOff
	b.asks[peer] = ask
}

func (l *RateLimiter) ask(workspace string, want lending.Loan, extend []string) *wire.LoanAsk {
	return &wire.LoanAsk{
		Borrower:  l.config.Fleet.Incarnation(),
		Workspace: workspace,
		RatePerS:  want.Allocation.Rate,
		Tokens:    want.Tokens,
		Extend:    extend,
	}
}

// borrow asks one peer for a loan. The term counts from the moment of asking.
func (l *RateLimiter) borrow(b *book, member Member, ask *wire.LoanAsk) {
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
	b.asked(now, lender, err == nil && grant.GetId() != "")
	if err != nil {
		return
	}
	for _, id := range grant.GetExtended() {
		b.ledger.ApplyExtension(now, askedAt, id)
	}
	if grant.GetId() != "" {
		b.ledger.AcceptLoan(now, askedAt, lender, fromWire(grant))
	}
}

// giveBack tells lenders about loans that have already left the ledger.
func (l *RateLimiter) giveBack(workspace string, members []Member, returns map[string][]lending.Loan) {
	for _, member := range members {
		for _, grant := range returns[member.Seat.GetIncarnation()] {
			request := &wire.PeerRequest{Body: &wire.PeerRequest_LoanReturn{LoanReturn: &wire.LoanReturn{
				Id:        grant.ID,
				Workspace: workspace,
				RatePerS:  grant.Allocation.Rate,
				Burst:     grant.Allocation.Burst,
				Tokens:    grant.Tokens,
			}}}
			go l.send(member.Seat.GetPeerAddress(), request)
		}
	}
}

func (l *RateLimiter) send(address string, request *wire.PeerRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := l.config.Network.Call(ctx, address, request); err != nil {
		l.config.Log.Debug("returning a loan", "address", address, "error", err)
	}
}

// handleAsk lends to a peer. An instance without authority lends nothing, for
// its part may have passed to another one.
func (l *RateLimiter) handleAsk(ask *wire.LoanAsk) *wire.LoanGrant {
	answer := &wire.LoanGrant{}
	b := l.book(ask.GetWorkspace())
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
	want := lending.Loan{Allocation: lending.Allocation{Rate: ask.GetRatePerS()}, Tokens: ask.GetTokens()}
	id := fmt.Sprintf("%s/%d", l.config.Fleet.Incarnation(), l.counter.Add(1))
	if grant, ok := b.ledger.Lend(now, id, ask.GetBorrower(), want).Get(); ok {
		answer.Id = grant.ID
		answer.RatePerS = grant.Allocation.Rate
		answer.Burst = grant.Allocation.Burst
		answer.Tokens = grant.Tokens
	}
	return answer
}

// handleReturn takes a loan back.
func (l *RateLimiter) handleReturn(back *wire.LoanReturn) *wire.LoanReturnAnswer {
	if b := l.book(back.GetWorkspace()); b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ledger.AcceptReturn(l.config.Clock.Now(), back.GetId(), back.GetTokens())
	}
	return &wire.LoanReturnAnswer{}
}

func fromWire(grant *wire.LoanGrant) lending.Loan {
	return lending.Loan{
		ID:         grant.GetId(),
		Allocation: lending.Allocation{Rate: grant.GetRatePerS(), Burst: grant.GetBurst()},
		Tokens:     grant.GetTokens(),
	}
}
