package emulator

import (
	"maps"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/rcrowley/go-metrics"
)

type (
	// Result is what a run measured.
	Result struct {
		// CreditShare is the credit earned in parts of what was owed.
		CreditShare float64 `json:"earned"`
		// MinDomainShare and WorstKind are the least such parts.
		MinDomainShare float64 `json:"worst_domain"`
		MinKindShare   float64 `json:"worst_kind"`
		Requests       int     `json:"requests"`
		InTime         int     `json:"in_time"`
		Late           int     `json:"late"`
		Unserved       int     `json:"unserved"`
		// Refusals counts tries that were turned away.
		Refusals int     `json:"refusals"`
		P50Ms    float64 `json:"p50_ms"`
		P99Ms    float64 `json:"p99_ms"`
		// LimitViolations counts the moments at which a server ran more requests than it
		// has slots, or queued more than it may.
		LimitViolations int `json:"overfull"`

		domains map[string]*account
		kinds   map[string]*account
		times   metrics.Histogram
	}

	account struct{ owed, earned float64 }
)

// samples is how many times are kept for the quantiles.
const samples = 100_000

func newResult(c Config) *Result {
	r := &Result{domains: make(map[string]*account), kinds: make(map[string]*account), times: metrics.NewHistogram(metrics.NewUniformSample(samples))}
	for _, d := range c.FailureDomains {
		r.domains[d.Name] = &account{}
	}
	for _, k := range c.RequestKinds {
		r.kinds[k.Name] = &account{}
	}
	return r
}

// owe notes a request.
func (r *Result) owe(q *request) {
	r.Requests++
	r.domains[q.domain.Name].owed += q.kind.Credit
	r.kinds[q.kind.Name].owed += q.kind.Credit
}

// serve notes an answer.
func (r *Result) serve(q *request, now clock.Millis) {
	took := now - q.sentAt
	r.times.Update(int64(took))
	credit := q.kind.LateCredit
	switch {
	case took <= q.kind.Objective:
		r.InTime++
		credit = q.kind.Credit
	case took <= q.kind.Deadline:
		r.Late++
	default:
		r.Unserved++
		return
	}
	r.domains[q.domain.Name].earned += credit
	r.kinds[q.kind.Name].earned += credit
}

// fail notes a request that was not served.
func (r *Result) fail() {
	r.Unserved++
}

// observe checks that a server holds to its limits.
func (r *Result) observe(s *server) {
	if s.running > s.service.Slots || len(s.queue) > s.service.QueueCapacity {
		r.LimitViolations++
	}
}

func (r *Result) finish() {
	var all account
	for _, name := range slices.Sorted(maps.Keys(r.kinds)) {
		a := r.kinds[name]
		all.owed += a.owed
		all.earned += a.earned
	}
	r.CreditShare = all.part()
	r.MinDomainShare, r.MinKindShare = worst(r.domains), worst(r.kinds)
	r.P50Ms, r.P99Ms = r.times.Percentile(0.5), r.times.Percentile(0.99)
}

func (a *account) part() float64 {
	if a.owed == 0 {
		return 1
	}
	return a.earned / a.owed
}

func worst(accounts map[string]*account) float64 {
	least := 1.0
	for _, a := range accounts {
		least = min(least, a.part())
	}
	return least
}
