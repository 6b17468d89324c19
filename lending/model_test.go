package lending

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"pgregory.net/rapid"
)

// The model runs seven ledgers with separate clocks, suspended instances and
// messages that are late or lost, and compares what all of them admit with one token
// bucket for the whole fleet.

type (
	// mutation disables parts of the lending protocol, to show that the model
	// detects it.
	mutation struct {
		lenderExpiresEarly bool
		keepLentBurst      bool
		keepReturnedLoan   bool
	}

	fleetModel struct {
		now     clock.Millis
		ledgers []*Ledger
		// offsets are added to now to get the local time of each instance.
		offsets []clock.Millis
		// suspendedUntil is when each instance runs again.
		suspendedUntil []clock.Millis
		inFlight       []message
		mutation       mutation
		// fleetTokens is the content of the reference bucket at fleetTokensAt.
		fleetTokens   float64
		fleetTokensAt clock.Millis
		admitted      int
		refused       int
		loanRequests  int
	}

	message struct {
		at      clock.Millis
		to      int
		deliver func(m *fleetModel)
	}
)

const (
	modelInstances = 7
	modelRate      = 100.0
	modelBurst     = 70.0
	modelTerm      = clock.Second
	epsilon        = 1e-6
	// lossInverse is the inverse of the probability that a message is lost.
	lossInverse  = 10
	maxDelayMs   = 200
	maxSuspendMs = 5000
)

var (
	loanRuns = flag.Int("loan_runs", 40, "random runs of the loan model")
	loanSeed = flag.Uint64("loan_seed", 1, "seed of the loan model's runs")
)

func newFleetModel(mut mutation, offset func(i int) clock.Millis) *fleetModel {
	m := &fleetModel{mutation: mut, fleetTokens: modelBurst, suspendedUntil: make([]clock.Millis, modelInstances)}
	for i := range modelInstances {
		m.offsets = append(m.offsets, offset(i))
		margin := 50 * clock.Millis(1)
		if mut.lenderExpiresEarly {
			margin = -modelTerm / 5
		}
		l := NewLedger(LedgerConfig{LoanTerm: modelTerm, DriftMargin: margin}, m.local(i))
		l.SetBase(m.local(i), Allocation{Rate: modelRate, Burst: modelBurst}.WithScale(1.0/modelInstances))
		m.ledgers = append(m.ledgers, l)
	}
	return m
}

// local returns the local time of an instance.
func (m *fleetModel) local(i int) clock.Millis { return m.now + m.offsets[i] }

func (m *fleetModel) isSuspended(i int) bool { return m.suspendedUntil[i] > m.now }

// advance moves time forward and delivers the messages that are due. Messages to a
// suspended instance arrive when it runs again.
func (m *fleetModel) advance(span clock.Millis) {
	m.now += span
	sort.SliceStable(m.inFlight, func(i, j int) bool { return m.inFlight[i].at < m.inFlight[j].at })
	var undelivered []message
	queue := m.inFlight
	m.inFlight = nil
	for _, msg := range queue {
		if msg.at > m.now || m.isSuspended(msg.to) {
			undelivered = append(undelivered, msg)
			continue
		}
		msg.deliver(m)
	}
	m.inFlight = append(m.inFlight, undelivered...)
}

// send schedules the delivery of a message, unless it is lost.
func (m *fleetModel) send(to int, delay clock.Millis, lost bool, deliver func(*fleetModel)) {
	if !lost {
		m.inFlight = append(m.inFlight, message{at: m.now + delay, to: to, deliver: deliver})
	}
}

// request sends one caller's request to an instance. It returns an error if the
// fleet admits the request although the reference bucket is empty.
func (m *fleetModel) request(i int) error {
	if m.isSuspended(i) {
		return nil
	}
	m.ledgers[i].RecordRequest(m.local(i))
	if !m.ledgers[i].Admit(m.local(i)) {
		m.refused++
		return nil
	}
	m.admitted++
	m.fleetTokens = min(modelBurst, m.fleetTokens+modelRate*(m.now-m.fleetTokensAt).Seconds())
	m.fleetTokensAt = m.now
	m.fleetTokens -= tokensPerRequest
	if m.fleetTokens < -epsilon {
		return fmt.Errorf("the fleet admitted %.3f requests too many at %d", -m.fleetTokens, m.now)
	}
	return nil
}

// borrow lets instance i request a loan from instance j, and extensions of the loans
// that it has from j.
func (m *fleetModel) borrow(i, j int, delays [2]clock.Millis, lost [2]bool) {
	if i == j || m.isSuspended(i) {
		return
	}
	want, ok := m.ledgers[i].Deficit(m.local(i), 3).Get()
	if !ok {
		return
	}
	requestedAt := m.local(i)
	toExtend := m.ledgers[i].LoansToExtend(requestedAt, fmt.Sprint(j))
	m.loanRequests++
	id := fmt.Sprint("loan", m.loanRequests)
	m.send(j, delays[0], lost[0], func(m *fleetModel) {
		var extended []string
		for _, loan := range toExtend {
			if m.ledgers[j].Extend(m.local(j), loan, fmt.Sprint(i)) {
				extended = append(extended, loan)
			}
		}
		grant, granted := m.ledgers[j].Lend(m.local(j), id, fmt.Sprint(i), want).Get()
		if granted && m.mutation.keepLentBurst {
			l := m.ledgers[j].lent[id]
			l.allocation.Burst = 0
			m.ledgers[j].lent[id] = l
		}
		m.send(i, delays[1], lost[1], func(m *fleetModel) {
			for _, loan := range extended {
				m.ledgers[i].ApplyExtension(m.local(i), requestedAt, loan)
			}
			if granted {
				m.ledgers[i].AcceptLoan(m.local(i), requestedAt, fmt.Sprint(j), grant)
			}
		})
	})
}

// returnSurplus lets an instance return the loans that it does not need.
func (m *fleetModel) returnSurplus(i int, delay clock.Millis, lost bool) {
	if m.isSuspended(i) {
		return
	}
	before := make(map[string]activeLoan)
	for id, l := range m.ledgers[i].borrowed {
		before[id] = l
	}
	for lender, grants := range m.ledgers[i].ReturnSurplus(m.local(i)) {
		var j int
		_, _ = fmt.Sscan(lender, &j)
		for _, grant := range grants {
			if m.mutation.keepReturnedLoan {
				m.ledgers[i].borrowed[grant.ID] = before[grant.ID]
				m.ledgers[i].tokens += grant.Tokens
			}
			m.send(j, delay, lost, func(m *fleetModel) {
				m.ledgers[j].AcceptReturn(m.local(j), grant.ID, grant.Tokens)
			})
		}
	}
}

// checkAllocations checks that the allocations and tokens of all instances add up to
// no more than the fleet's rate and burst.
func (m *fleetModel) checkAllocations() error {
	var held Allocation
	tokens := 0.0
	for i, l := range m.ledgers {
		held = held.WithAdded(l.Effective(m.local(i)))
		tokens += l.Tokens(m.local(i))
	}
	if held.Rate > modelRate+epsilon || held.Burst > modelBurst+epsilon || tokens > modelBurst+epsilon {
		return fmt.Errorf("the instances hold %+v with %.3f tokens at %d, which exceeds the fleet's limit", held, tokens, m.now)
	}
	return nil
}

// run takes random steps. Most requests go to one instance for a while, then to
// another one.
func (m *fleetModel) run(random *rand.Rand, steps int) error {
	hotspot := 0
	for range steps {
		m.advance(clock.Millis(random.IntN(6)))
		if random.IntN(500) == 0 {
			hotspot = random.IntN(modelInstances)
		}
		at := hotspot
		if random.IntN(4) == 0 {
			at = random.IntN(modelInstances)
		}
		for range random.IntN(3) {
			if err := m.request(at); err != nil {
				return err
			}
		}
		i, j := at, random.IntN(modelInstances)
		delays := [2]clock.Millis{clock.Millis(random.IntN(maxDelayMs)), clock.Millis(random.IntN(maxDelayMs))}
		lost := [2]bool{random.IntN(lossInverse) == 0, random.IntN(lossInverse) == 0}
		if random.IntN(4) == 0 {
			m.borrow(i, j, delays, lost)
		}
		if random.IntN(10) == 0 {
			if err := m.checkAllocations(); err != nil {
				return err
			}
		}
		if random.IntN(20) == 0 {
			m.returnSurplus(random.IntN(modelInstances), delays[0], lost[0])
		}
		if random.IntN(800) == 0 {
			m.suspendedUntil[random.IntN(modelInstances)] = m.now + clock.Millis(random.IntN(maxSuspendMs))
		}
	}
	return nil
}

// runModel takes random runs until one violates the limit. It returns the run's
// number, its model and the violation.
func runModel(mut mutation, runs int) (run int, last *fleetModel, err error) {
	for run := range runs {
		random := rand.New(rand.NewPCG(*loanSeed, uint64(run)))
		last = newFleetModel(mut, func(int) clock.Millis { return clock.Millis(random.IntN(1_000_000)) })
		if err := last.run(random, 8000); err != nil {
			return run, last, err
		}
	}
	return runs, last, nil
}

// TestLoansKeepFleetWithinLimit guards against a fleet that admits more requests than
// its rate limit allows when messages are late, lost or reordered, clocks differ or
// instances are suspended.
func TestLoansKeepFleetWithinLimit(t *testing.T) {
	run, last, err := runModel(mutation{}, *loanRuns)
	if err != nil {
		t.Fatalf("run %d: %v", run, err)
	}
	t.Logf("%d runs, in the last one %d admitted, %d refused, %d loan requests", run, last.admitted, last.refused, last.loanRequests)
}

// TestLoanModelDetectsMutations guards against a model that is too weak: it must find
// a violation once a part of the lending protocol is disabled.
func TestLoanModelDetectsMutations(t *testing.T) {
	cases := map[string]mutation{
		"the lender resumes early":           {lenderExpiresEarly: true},
		"the lender keeps the lent burst":    {keepLentBurst: true},
		"the borrower keeps a returned loan": {keepReturnedLoan: true},
	}
	for name, mut := range cases {
		t.Run(name, func(t *testing.T) {
			run, _, err := runModel(mut, *loanRuns)
			if err == nil {
				t.Fatalf("no violation in %d runs", run)
			}
			t.Logf("run %d: %v", run, err)
		})
	}
}

// TestLoansConserveAllocation guards against lending that creates capacity: over any
// sequence of loans and their expiry, lender and borrower together never hold more
// than the lender's base allocation.
func TestLoansConserveAllocation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := Allocation{Rate: 50, Burst: 40}
		lender := NewLedger(LedgerConfig{LoanTerm: modelTerm}, 0)
		borrower := NewLedger(LedgerConfig{LoanTerm: modelTerm}, 0)
		lender.SetBase(0, base)
		now := clock.Millis(0)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 400).Draw(t, "span"))
			want := Loan{Allocation: Allocation{Rate: rapid.Float64Range(0, 80).Draw(t, "rate")}, Tokens: rapid.Float64Range(0, 50).Draw(t, "tokens")}
			if grant, ok := lender.Lend(now, fmt.Sprint(step), "b", want).Get(); ok {
				borrower.AcceptLoan(now, now, "a", grant)
			}
			both := lender.Effective(now).WithAdded(borrower.Effective(now))
			if both.Rate > base.Rate+epsilon || both.Burst > base.Burst+epsilon {
				t.Fatalf("lender and borrower hold %+v, want at most %+v", both, base)
			}
			if lender.Tokens(now)+borrower.Tokens(now) > base.Burst+epsilon {
				t.Fatalf("lender and borrower hold more tokens than the burst")
			}
		}
	})
}
