package share

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"pgregory.net/rapid"
)

// The model runs seven ledgers with clocks of their own, frozen instances and
// messages that are late or lost, and holds what all of them admit against one
// token bucket of the whole fleet.

type (
	// breakage removes one part of the rule, to show that the model sees it.
	breakage struct {
		lenderResumesEarly bool
		burstStays         bool
		returnAfterSending bool
	}

	fleetModel struct {
		now       clock.Millis
		ledgers   []*Ledger
		offsets   []clock.Millis
		frozen    []clock.Millis
		inFlight  []message
		breakage  breakage
		level     float64
		levelAt   clock.Millis
		admitted  int
		refused   int
		loanCount int
	}

	message struct {
		at      clock.Millis
		to      int
		deliver func(m *fleetModel)
	}
)

const (
	modelNodes = 7
	modelRate  = 100.0
	modelBurst = 70.0
	modelTerm  = clock.Second
	epsilon    = 1e-6
	lossShare  = 10
	maxDelay   = 200
	maxFreeze  = 5000
)

var (
	loanRuns = flag.Int("loan_runs", 40, "random runs of the loan model")
	loanSeed = flag.Uint64("loan_seed", 1, "seed of the loan model's runs")
)

func newFleetModel(b breakage, offset func(i int) clock.Millis) *fleetModel {
	m := &fleetModel{breakage: b, level: modelBurst, frozen: make([]clock.Millis, modelNodes)}
	for i := range modelNodes {
		m.offsets = append(m.offsets, offset(i))
		margin := 50 * clock.Millis(1)
		if b.lenderResumesEarly {
			margin = -modelTerm / 5
		}
		l := NewLedger(LedgerConfig{LoanTerm: modelTerm, DriftMargin: margin}, m.local(i))
		l.SetBase(m.local(i), Allocation{Rate: modelRate, Burst: modelBurst}.Scale(1.0/modelNodes))
		m.ledgers = append(m.ledgers, l)
	}
	return m
}

func (m *fleetModel) local(i int) clock.Millis { return m.now + m.offsets[i] }

func (m *fleetModel) isFrozen(i int) bool { return m.frozen[i] > m.now }

// advance moves time and delivers what is due to instances that run. Messages
// to a frozen instance arrive when it runs again.
func (m *fleetModel) advance(span clock.Millis) {
	m.now += span
	sort.SliceStable(m.inFlight, func(i, j int) bool { return m.inFlight[i].at < m.inFlight[j].at })
	var kept []message
	queue := m.inFlight
	m.inFlight = nil
	for _, msg := range queue {
		if msg.at > m.now || m.isFrozen(msg.to) {
			kept = append(kept, msg)
			continue
		}
		msg.deliver(m)
	}
	m.inFlight = append(m.inFlight, kept...)
}

func (m *fleetModel) send(to int, delay clock.Millis, lost bool, deliver func(*fleetModel)) {
	if !lost {
		m.inFlight = append(m.inFlight, message{at: m.now + delay, to: to, deliver: deliver})
	}
}

// request is one caller's request at an instance.
func (m *fleetModel) request(i int) error {
	if m.isFrozen(i) {
		return nil
	}
	m.ledgers[i].RecordRequest(m.local(i))
	if !m.ledgers[i].Admit(m.local(i)) {
		m.refused++
		return nil
	}
	m.admitted++
	m.level = min(modelBurst, m.level+modelRate*(m.now-m.levelAt).Seconds())
	m.levelAt = m.now
	m.level -= tokensPerRequest
	if m.level < -epsilon {
		return fmt.Errorf("the fleet admitted %.3f requests past its bucket at %d", -m.level, m.now)
	}
	return nil
}

// ask lets an instance ask another one for a loan and renew those it has.
func (m *fleetModel) ask(i, j int, delays [2]clock.Millis, lost [2]bool) {
	if i == j || m.isFrozen(i) {
		return
	}
	want, ok := m.ledgers[i].Deficit(m.local(i), 3).Get()
	if !ok {
		return
	}
	askedAt := m.local(i)
	renewals := m.ledgers[i].LoansToExtend(askedAt, fmt.Sprint(j))
	m.loanCount++
	id := fmt.Sprint("loan", m.loanCount)
	m.send(j, delays[0], lost[0], func(m *fleetModel) {
		var extended []string
		for _, loan := range renewals {
			if m.ledgers[j].Extend(m.local(j), loan, fmt.Sprint(i)) {
				extended = append(extended, loan)
			}
		}
		grant, granted := m.ledgers[j].Lend(m.local(j), id, fmt.Sprint(i), want).Get()
		if granted && m.breakage.burstStays {
			l := m.ledgers[j].lent[id]
			l.part.Burst = 0
			m.ledgers[j].lent[id] = l
		}
		m.send(i, delays[1], lost[1], func(m *fleetModel) {
			for _, loan := range extended {
				m.ledgers[i].ApplyExtension(m.local(i), askedAt, loan)
			}
			if granted {
				m.ledgers[i].AcceptLoan(m.local(i), askedAt, fmt.Sprint(j), grant)
			}
		})
	})
}

// giveUp lets an instance return the loans that it does not need.
func (m *fleetModel) giveUp(i int, delay clock.Millis, lost bool) {
	if m.isFrozen(i) {
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
			if m.breakage.returnAfterSending {
				m.ledgers[i].borrowed[grant.ID] = before[grant.ID]
				m.ledgers[i].tokens += grant.Tokens
			}
			m.send(j, delay, lost, func(m *fleetModel) {
				m.ledgers[j].AcceptReturn(m.local(j), grant.ID, grant.Tokens)
			})
		}
	}
}

// checkParts asserts that the parts of all instances add up to no more than the
// fleet's rate and burst at this moment.
func (m *fleetModel) checkParts() error {
	var held Allocation
	tokens := 0.0
	for i, l := range m.ledgers {
		held = held.Add(l.Effective(m.local(i)))
		tokens += l.Tokens(m.local(i))
	}
	if held.Rate > modelRate+epsilon || held.Burst > modelBurst+epsilon || tokens > modelBurst+epsilon {
		return fmt.Errorf("the instances hold %+v with %.3f tokens at %d", held, tokens, m.now)
	}
	return nil
}

// run makes random steps. Callers crowd at one instance for a while, then at
// another one.
func (m *fleetModel) run(random *rand.Rand, steps int) error {
	crowd := 0
	for range steps {
		m.advance(clock.Millis(random.IntN(6)))
		if random.IntN(500) == 0 {
			crowd = random.IntN(modelNodes)
		}
		at := crowd
		if random.IntN(4) == 0 {
			at = random.IntN(modelNodes)
		}
		for range random.IntN(3) {
			if err := m.request(at); err != nil {
				return err
			}
		}
		i, j := at, random.IntN(modelNodes)
		delays := [2]clock.Millis{clock.Millis(random.IntN(maxDelay)), clock.Millis(random.IntN(maxDelay))}
		lost := [2]bool{random.IntN(lossShare) == 0, random.IntN(lossShare) == 0}
		if random.IntN(4) == 0 {
			m.ask(i, j, delays, lost)
		}
		if random.IntN(10) == 0 {
			if err := m.checkParts(); err != nil {
				return err
			}
		}
		if random.IntN(20) == 0 {
			m.giveUp(random.IntN(modelNodes), delays[0], lost[0])
		}
		if random.IntN(800) == 0 {
			m.frozen[random.IntN(modelNodes)] = m.now + clock.Millis(random.IntN(maxFreeze))
		}
	}
	return nil
}

func runModel(b breakage, runs int) (run int, last *fleetModel, err error) {
	for run := range runs {
		random := rand.New(rand.NewPCG(*loanSeed, uint64(run)))
		last = newFleetModel(b, func(int) clock.Millis { return clock.Millis(random.IntN(1_000_000)) })
		if err := last.run(random, 8000); err != nil {
			return run, last, err
		}
	}
	return runs, last, nil
}

func TestLoansKeepFleetWithinItsBucket(t *testing.T) {
	run, last, err := runModel(breakage{}, *loanRuns)
	if err != nil {
		t.Fatalf("run %d: %v", run, err)
	}
	t.Logf("%d runs, in the last one %d admitted, %d refused, %d asks", run, last.admitted, last.refused, last.loanCount)
}

func TestLoanModelSeesBrokenRules(t *testing.T) {
	cases := map[string]breakage{
		"the lender resumes early":           {lenderResumesEarly: true},
		"the lender keeps the lent burst":    {burstStays: true},
		"the borrower keeps a returned loan": {returnAfterSending: true},
	}
	for name, b := range cases {
		t.Run(name, func(t *testing.T) {
			run, _, err := runModel(b, *loanRuns)
			if err == nil {
				t.Fatalf("%d runs saw nothing wrong", run)
			}
			t.Logf("run %d: %v", run, err)
		})
	}
}

// TestLedgerParts checks with rapid that lending, taking back and ending loans
// never makes parts out of nothing.
func TestLedgerParts(t *testing.T) {
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
			both := lender.Effective(now).Add(borrower.Effective(now))
			if both.Rate > base.Rate+epsilon || both.Burst > base.Burst+epsilon {
				t.Fatalf("lender and borrower hold %+v of %+v", both, base)
			}
			if lender.Tokens(now)+borrower.Tokens(now) > base.Burst+epsilon {
				t.Fatalf("tokens beyond the burst")
			}
		}
	})
}
