// Package lending divides a workspace's fleet-wide rate limit, a rate and a burst,
// among the instances, which lend parts of it to each other. Each instance spends
// only its base allocation, adjusted by its loans, so the fleet stays within the limit
// without synchronized clocks and no matter which messages are lost.
package lending

import (
	"math"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

type (
	// LedgerConfig configures a Ledger.
	LedgerConfig struct {
		// LoanTerm is how long a borrower may spend a loan, counted from its request.
		LoanTerm clock.Millis
		// DriftMargin is how much longer than LoanTerm a lender does without a loan,
		// so that clock drift does not let both sides spend it at once.
		DriftMargin clock.Millis
	}

	// Ledger is one instance's token bucket for one workspace. Its rate and burst
	// are the instance's base allocation, minus its loans to peers, plus its loans
	// from peers. It is not safe for concurrent use.
	Ledger struct {
		config LedgerConfig
		// base is the instance's allocation before any loans.
		base      Allocation
		tokens    float64
		updatedAt clock.Millis
		// lent and borrowed hold the running loans by loan ID.
		lent     map[string]activeLoan
		borrowed map[string]activeLoan
		demand   demandEstimator
	}

	activeLoan struct {
		// peer is the other party's incarnation.
		peer       string
		allocation Allocation
		expiresAt  clock.Millis
	}

	// Loan describes a loan that is requested, granted or returned. Its tokens move
	// from one party's bucket to the other's. A request has no ID.
	Loan struct {
		ID         string
		Allocation Allocation
		Tokens     float64
	}
)

const (
	tokensPerRequest = 1.0
	// demandHeadroom is the multiple of its own demand that an instance keeps for
	// itself before it lends, and aims at when it borrows.
	demandHeadroom = 1.25
	// minLoanRatePerS is the lowest rate that is lent or requested. Demand below it
	// counts as none.
	minLoanRatePerS = 0.01
	// extendBelowPercent is the percentage of LoanTerm below which the remaining time
	// of a loan makes it due for extension.
	extendBelowPercent = 65
	// returnSurplusFactor is the multiple of its demand that a borrower must still
	// have after it returns a loan.
	returnSurplusFactor = 1.6
)

// NewLedger returns a ledger without an allocation. It starts without tokens,
// because a previous holder of the same allocation may just have spent them.
func NewLedger(config LedgerConfig, now clock.Millis) *Ledger {
	return &Ledger{
		config:    config,
		updatedAt: now,
		lent:      make(map[string]activeLoan),
		borrowed:  make(map[string]activeLoan),
		demand:    demandEstimator{updatedAt: now},
	}
}

// SetBase sets the instance's base allocation, which applies before any loans.
func (l *Ledger) SetBase(now clock.Millis, base Allocation) {
	l.advance(now)
	l.base = base
	l.clampTokens()
}

// RecordRequest counts an arriving request, admitted or not, towards the demand.
func (l *Ledger) RecordRequest(now clock.Millis) {
	l.demand.record(now)
}

// Admit takes the token for one request and reports whether there was one.
func (l *Ledger) Admit(now clock.Millis) bool {
	l.advance(now)
	if l.tokens < tokensPerRequest {
		return false
	}
	l.tokens -= tokensPerRequest
	return true
}

// Effective returns the allocation that the instance may currently spend, loans
// included.
func (l *Ledger) Effective(now clock.Millis) Allocation {
	l.advance(now)
	return l.effective()
}

// Tokens returns the number of tokens in the bucket.
func (l *Ledger) Tokens(now clock.Millis) float64 {
	l.advance(now)
	return l.tokens
}

// Idle reports whether there is no recent demand and no running loan.
func (l *Ledger) Idle(now clock.Millis) bool {
	l.advance(now)
	return l.demand.rate(now) < minLoanRatePerS && len(l.lent) == 0 && len(l.borrowed) == 0
}

// Deficit returns the loan that the instance should request from its peers, if any.
// The rate covers its demand with headroom; the tokens cover the waiting requests.
func (l *Ledger) Deficit(now clock.Millis, waiting int) values.Option[Loan] {
	l.advance(now)
	want := Loan{
		Allocation: Allocation{Rate: l.demand.rate(now)*demandHeadroom - l.effective().Rate},
		Tokens:     float64(waiting)*tokensPerRequest - l.tokens,
	}
	want.Allocation.Rate = max(want.Allocation.Rate, 0)
	want.Tokens = max(want.Tokens, 0)
	if want.Allocation.Rate < minLoanRatePerS && want.Tokens == 0 {
		return values.None[Loan]()
	}
	return values.Some(want)
}

// Lend grants a loan, which may be smaller than the one wanted, or nothing. It is
// subtracted here, before the lender responds. Only the instance's base allocation
// is lent, never a borrowed one, because that would expire before the new loan.
func (l *Ledger) Lend(now clock.Millis, id, borrower string, want Loan) values.Option[Loan] {
	l.advance(now)
	fraction := l.lendableFraction(now, want)
	if fraction <= 0 {
		return values.None[Loan]()
	}
	unlent := l.base.WithRemoved(l.totalLent()).WithFloor()
	grant := Loan{ID: id, Allocation: unlent.WithScale(fraction)}
	grant.Tokens = min(l.tokens*fraction, grant.Allocation.Burst)
	l.tokens -= grant.Tokens
	l.lent[id] = activeLoan{peer: borrower, allocation: grant.Allocation, expiresAt: l.lenderExpiry(now)}
	l.clampTokens()
	return values.Some(grant)
}

// lendableFraction returns which fraction of its base allocation, minus what it has
// already lent, the instance does not need itself, up to what the borrower requested.
func (l *Ledger) lendableFraction(now clock.Millis, want Loan) float64 {
	unlent := l.base.WithRemoved(l.totalLent()).WithFloor()
	if unlent.Rate < minLoanRatePerS || unlent.Burst <= 0 {
		return 0
	}
	spareRate := min(l.effective().Rate-l.demand.rate(now)*demandHeadroom, unlent.Rate)
	wanted := want.Allocation.Rate / unlent.Rate
	if l.tokens > 0 {
		wanted = max(wanted, want.Tokens/l.tokens)
	}
	fraction := min(spareRate/unlent.Rate, wanted, 1)
	if fraction*unlent.Rate < minLoanRatePerS {
		return 0
	}
	return fraction
}

// Extend extends a running loan to a borrower by another term from now, and reports
// whether it did. It refuses if the lender's own demand, with headroom, exceeds what
// it has left.
func (l *Ledger) Extend(now clock.Millis, id, borrower string) bool {
	l.advance(now)
	active, ok := l.lent[id]
	if !ok || active.peer != borrower {
		return false
	}
	if l.demand.rate(now)*demandHeadroom > l.effective().Rate {
		return false
	}
	active.expiresAt = l.lenderExpiry(now)
	l.lent[id] = active
	return true
}

// AcceptReturn ends a loan that the borrower returned early. It accepts at most as
// many tokens as the burst of the loan.
func (l *Ledger) AcceptReturn(now clock.Millis, id string, tokens float64) {
	l.advance(now)
	active, ok := l.lent[id]
	if !ok {
		return
	}
	delete(l.lent, id)
	l.tokens += min(max(tokens, 0), active.allocation.Burst)
	l.clampTokens()
}

// AcceptLoan adds a loan that was requested at requestedAt. A loan that is empty or
// has expired by now is ignored.
func (l *Ledger) AcceptLoan(now, requestedAt clock.Millis, lender string, grant Loan) {
	l.advance(now)
	expiresAt := requestedAt + l.config.LoanTerm
	if expiresAt <= now || grant.Allocation.IsZero() {
		return
	}
	l.borrowed[grant.ID] = activeLoan{peer: lender, allocation: grant.Allocation, expiresAt: expiresAt}
	l.tokens += grant.Tokens
	l.clampTokens()
}

// ApplyExtension records that a lender extended a loan, as requested at requestedAt.
func (l *Ledger) ApplyExtension(now, requestedAt clock.Millis, id string) {
	l.advance(now)
	active, ok := l.borrowed[id]
	if !ok {
		return
	}
	active.expiresAt = max(active.expiresAt, requestedAt+l.config.LoanTerm)
	l.borrowed[id] = active
}

// LoansToExtend returns the IDs of the loans from a lender that are due for
// extension.
func (l *Ledger) LoansToExtend(now clock.Millis, lender string) []string {
	l.advance(now)
	var ids []string
	for id, active := range l.borrowed {
		if active.peer == lender && active.expiresAt-now < l.config.LoanTerm*extendBelowPercent/100 {
			ids = append(ids, id)
		}
	}
	return ids
}

// ReturnSurplus removes the borrowed loans that the instance no longer needs and
// returns them by lender. They leave this ledger before the message to the lender
// is sent, so a lost message leaves capacity unused until the loan expires at the
// lender, but the fleet never exceeds the limit.
func (l *Ledger) ReturnSurplus(now clock.Millis) map[string][]Loan {
	l.advance(now)
	need := l.demand.rate(now) * returnSurplusFactor
	returns := make(map[string][]Loan)
	for id, active := range l.borrowed {
		if l.effective().Rate-active.allocation.Rate < need {
			continue
		}
		before := l.effective().Burst
		delete(l.borrowed, id)
		tokens := l.tokens * boundedRatio(active.allocation.Burst, before)
		l.tokens -= tokens
		returns[active.peer] = append(returns[active.peer], Loan{ID: id, Allocation: active.allocation, Tokens: tokens})
	}
	l.clampTokens()
	return returns
}

// lenderExpiry returns when the lender of a loan may spend it again.
func (l *Ledger) lenderExpiry(now clock.Millis) clock.Millis {
	return now + l.config.LoanTerm + l.config.DriftMargin
}

func (l *Ledger) effective() Allocation {
	effective := l.base.WithRemoved(l.totalLent())
	for _, active := range l.borrowed {
		effective = effective.WithAdded(active.allocation)
	}
	return effective.WithFloor()
}

func (l *Ledger) totalLent() Allocation {
	var total Allocation
	for _, active := range l.lent {
		total = total.WithAdded(active.allocation)
	}
	return total
}

// advance refills the bucket up to now. Each loan ends at its own expiry, so that
// the rate in every interval is the one that applied then.
func (l *Ledger) advance(now clock.Millis) {
	for {
		next := l.nextExpiry(now)
		l.refill(next)
		if !l.expireLoans(next) {
			return
		}
	}
}

// nextExpiry returns the earliest expiry of a running loan, but not after now.
func (l *Ledger) nextExpiry(now clock.Millis) clock.Millis {
	next := now
	for _, loans := range []map[string]activeLoan{l.lent, l.borrowed} {
		for _, active := range loans {
			next = min(next, active.expiresAt)
		}
	}
	return next
}

func (l *Ledger) refill(now clock.Millis) {
	if now <= l.updatedAt {
		return
	}
	effective := l.effective()
	l.tokens = math.Min(effective.Burst, l.tokens+effective.Rate*(now-l.updatedAt).Seconds())
	l.updatedAt = now
}

// expireLoans removes the loans that have expired and reports whether there were
// any.
func (l *Ledger) expireLoans(now clock.Millis) bool {
	expired := false
	for _, loans := range []map[string]activeLoan{l.lent, l.borrowed} {
		for id, active := range loans {
			if active.expiresAt <= now {
				delete(loans, id)
				expired = true
			}
		}
	}
	l.clampTokens()
	return expired
}

func (l *Ledger) clampTokens() {
	l.tokens = min(l.tokens, l.effective().Burst)
}

// boundedRatio returns a/b, at most 1, or 0 if b is not positive.
func boundedRatio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return min(a/b, 1)
}
