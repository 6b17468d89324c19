package share

import (
	"math"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

type (
	// LedgerConfig configures a Ledger.
	LedgerConfig struct {
		// LoanTerm is the length of a loan.
		LoanTerm clock.Millis
		// DriftMargin is how much longer a lender waits than its borrower.
		DriftMargin clock.Millis
	}

	// Ledger is one instance's part of one workspace's rate and burst: what
	// it owns, what it has lent and what it has borrowed. It is not safe for
	// concurrent use.
	Ledger struct {
		config    LedgerConfig
		base      Allocation
		tokens    float64
		updatedAt clock.Millis
		lent      map[string]activeLoan
		borrowed  map[string]activeLoan
		demand    demand
	}

	activeLoan struct {
		peer   string
		part   Allocation
		endsAt clock.Millis
	}

	// Loan is what a lender hands over.
	Loan struct {
		ID         string
		Allocation Allocation
		Tokens     float64
	}
)

const (
	tokensPerRequest = 1.0
	// demandHeadroom is the multiple of its own demand that an instance keeps.
	demandHeadroom = 1.25
	// smallestLoan is the least rate worth a loan, in requests per second.
	smallestLoan = 0.01
	// renewalShare is the share of a term, in percent, from which a loan is renewed.
	renewalShare = 65
	// surplusFactor is the multiple of its need above which a borrower returns loans.
	surplusFactor = 1.6
)

// NewLedger returns a ledger that owns nothing yet. It starts without tokens,
// for a former holder of the same part may have just spent them.
func NewLedger(config LedgerConfig, now clock.Millis) *Ledger {
	return &Ledger{
		config:    config,
		updatedAt: now,
		lent:      make(map[string]activeLoan),
		borrowed:  make(map[string]activeLoan),
		demand:    demand{updatedAt: now},
	}
}

// SetBase sets the part that the instance owns.
func (l *Ledger) SetBase(now clock.Millis, base Allocation) {
	l.advance(now)
	l.base = base
	l.clip()
}

// RecordRequest counts one arriving request towards the instance's demand.
func (l *Ledger) RecordRequest(now clock.Millis) {
	l.demand.add(now)
}

// Admit takes one request's token and reports whether there was one.
func (l *Ledger) Admit(now clock.Millis) bool {
	l.advance(now)
	if l.tokens < tokensPerRequest {
		return false
	}
	l.tokens -= tokensPerRequest
	return true
}

// Effective returns the part that the instance may spend at present.
func (l *Ledger) Effective(now clock.Millis) Allocation {
	l.advance(now)
	return l.effective()
}

// Tokens returns the tokens at hand.
func (l *Ledger) Tokens(now clock.Millis) float64 {
	l.advance(now)
	return l.tokens
}

// Idle reports whether the ledger has had no demand lately and no loans run.
func (l *Ledger) Idle(now clock.Millis) bool {
	l.advance(now)
	return l.demand.rate(now) < smallestLoan && len(l.lent) == 0 && len(l.borrowed) == 0
}

// Deficit returns what the instance should ask its peers for, if anything. The
// rate covers its demand with headroom; the tokens cover the requests that
// wait for one.
func (l *Ledger) Deficit(now clock.Millis, waiting int) values.Option[Loan] {
	l.advance(now)
	want := Loan{
		Allocation: Allocation{Rate: l.demand.rate(now)*demandHeadroom - l.effective().Rate},
		Tokens:     float64(waiting)*tokensPerRequest - l.tokens,
	}
	want.Allocation.Rate = max(want.Allocation.Rate, 0)
	want.Tokens = max(want.Tokens, 0)
	if want.Allocation.Rate < smallestLoan && want.Tokens == 0 {
		return values.None[Loan]()
	}
	return values.Some(want)
}

// Lend subtracts a loan before the lender answers. Only what the instance owns
// is lent, never what it has borrowed, for that ends sooner.
func (l *Ledger) Lend(now clock.Millis, id, borrower string, want Loan) values.Option[Loan] {
	l.advance(now)
	fraction := l.lendable(now, want)
	if fraction <= 0 {
		return values.None[Loan]()
	}
	owned := l.base.Sub(l.totalLent()).ClampToZero()
	grant := Loan{ID: id, Allocation: owned.Scale(fraction)}
	grant.Tokens = min(l.tokens*fraction, grant.Allocation.Burst)
	l.tokens -= grant.Tokens
	l.lent[id] = activeLoan{peer: borrower, part: grant.Allocation, endsAt: l.lenderEnd(now)}
	l.clip()
	return values.Some(grant)
}

// lendable returns the fraction of the owned part that the instance can do
// without and that the borrower asked for.
func (l *Ledger) lendable(now clock.Millis, want Loan) float64 {
	owned := l.base.Sub(l.totalLent()).ClampToZero()
	if owned.Rate < smallestLoan || owned.Burst <= 0 {
		return 0
	}
	spareRate := min(l.effective().Rate-l.demand.rate(now)*demandHeadroom, owned.Rate)
	wanted := want.Allocation.Rate / owned.Rate
	if l.tokens > 0 {
		wanted = max(wanted, want.Tokens/l.tokens)
	}
	fraction := min(spareRate/owned.Rate, wanted, 1)
	if fraction*owned.Rate < smallestLoan {
		return 0
	}
	return fraction
}

// Extend renews a running loan to a borrower for another term. It refuses when
// the lender needs the part itself.
func (l *Ledger) Extend(now clock.Millis, id, borrower string) bool {
	l.advance(now)
	running, ok := l.lent[id]
	if !ok || running.peer != borrower {
		return false
	}
	if l.demand.rate(now)*demandHeadroom > l.effective().Rate {
		return false
	}
	running.endsAt = l.lenderEnd(now)
	l.lent[id] = running
	return true
}

// AcceptReturn ends a loan that the borrower has returned before its term. Tokens
// and burst beyond the loan are not taken.
func (l *Ledger) AcceptReturn(now clock.Millis, id string, tokens float64) {
	l.advance(now)
	running, ok := l.lent[id]
	if !ok {
		return
	}
	delete(l.lent, id)
	l.tokens += min(max(tokens, 0), running.part.Burst)
	l.clip()
}

// AcceptLoan takes in a loan that was asked for at askedAt.
func (l *Ledger) AcceptLoan(now, askedAt clock.Millis, lender string, grant Loan) {
	l.advance(now)
	endsAt := askedAt + l.config.LoanTerm
	if endsAt <= now || grant.Allocation.IsZero() {
		return
	}
	l.borrowed[grant.ID] = activeLoan{peer: lender, part: grant.Allocation, endsAt: endsAt}
	l.tokens += grant.Tokens
	l.clip()
}

// ApplyExtension takes in a lender's renewal of a loan that was asked for at askedAt.
func (l *Ledger) ApplyExtension(now, askedAt clock.Millis, id string) {
	l.advance(now)
	running, ok := l.borrowed[id]
	if !ok {
		return
	}
	running.endsAt = max(running.endsAt, askedAt+l.config.LoanTerm)
	l.borrowed[id] = running
}

// LoansToExtend lists the loans from a lender that are due for renewal.
func (l *Ledger) LoansToExtend(now clock.Millis, lender string) []string {
	l.advance(now)
	var ids []string
	for id, running := range l.borrowed {
		if running.peer == lender && running.endsAt-now < l.config.LoanTerm*renewalShare/100 {
			ids = append(ids, id)
		}
	}
	return ids
}

// ReturnSurplus removes the loans that the instance no longer needs and returns them
// by lender. They leave this ledger before the message is sent, so a lost
// message costs capacity until the term ends and never breaks the bound.
func (l *Ledger) ReturnSurplus(now clock.Millis) map[string][]Loan {
	l.advance(now)
	need := l.demand.rate(now) * surplusFactor
	returns := make(map[string][]Loan)
	for id, running := range l.borrowed {
		if l.effective().Rate-running.part.Rate < need {
			continue
		}
		before := l.effective().Burst
		delete(l.borrowed, id)
		tokens := l.tokens * safeRatio(running.part.Burst, before)
		l.tokens -= tokens
		returns[running.peer] = append(returns[running.peer], Loan{ID: id, Allocation: running.part, Tokens: tokens})
	}
	l.clip()
	return returns
}

func (l *Ledger) lenderEnd(now clock.Millis) clock.Millis {
	return now + l.config.LoanTerm + l.config.DriftMargin
}

func (l *Ledger) effective() Allocation {
	held := l.base.Sub(l.totalLent())
	for _, running := range l.borrowed {
		held = held.Add(running.part)
	}
	return held.ClampToZero()
}

func (l *Ledger) totalLent() Allocation {
	var total Allocation
	for _, running := range l.lent {
		total = total.Add(running.part)
	}
	return total
}

// advance fills the bucket up to now, ending each loan at its own time.
func (l *Ledger) advance(now clock.Millis) {
	for {
		next := l.nextEnd(now)
		l.fill(next)
		if !l.endLoans(next) {
			return
		}
	}
}

func (l *Ledger) nextEnd(now clock.Millis) clock.Millis {
	next := now
	for _, loans := range []map[string]activeLoan{l.lent, l.borrowed} {
		for _, running := range loans {
			next = min(next, running.endsAt)
		}
	}
	return next
}

func (l *Ledger) fill(now clock.Millis) {
	if now <= l.updatedAt {
		return
	}
	held := l.effective()
	l.tokens = math.Min(held.Burst, l.tokens+held.Rate*(now-l.updatedAt).Seconds())
	l.updatedAt = now
}

func (l *Ledger) endLoans(now clock.Millis) bool {
	ended := false
	for _, loans := range []map[string]activeLoan{l.lent, l.borrowed} {
		for id, running := range loans {
			if running.endsAt <= now {
				delete(loans, id)
				ended = true
			}
		}
	}
	l.clip()
	return ended
}

func (l *Ledger) clip() {
	l.tokens = min(l.tokens, l.effective().Burst)
}

func safeRatio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return min(a/b, 1)
}
