package emulator

import (
	"maps"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/rcrowley/go-metrics"
)

type (
	// Result holds the measurements of a run.
	Result struct {
		// CreditShare is the credit earned, as a share of the credit for
		// serving every request within its objective.
		CreditShare float64 `json:"earned"`
		// MinDomainShare and MinKindShare are the lowest such shares of any
		// failure domain and any kind of request.
		MinDomainShare float64 `json:"worst_domain"`
		MinKindShare   float64 `json:"worst_kind"`
		Requests       int     `json:"requests"`
		// InTime counts responses within the objective, Late those after it but
		// within the deadline. All other requests are Unserved.
		InTime   int `json:"in_time"`
		Late     int `json:"late"`
		Unserved int `json:"unserved"`
		// Refusals counts refused attempts.
		Refusals int     `json:"refusals"`
		P50Ms    float64 `json:"p50_ms"`
		P99Ms    float64 `json:"p99_ms"`
		// LimitViolations counts the responses at which a server ran more
		// requests than it has slots, or queued more than its queue capacity.
		LimitViolations int `json:"overfull"`
		// BusiestToMean is the most jobs of a server in relation to the mean of its
		// service, at the service where that is largest.
		BusiestToMean float64 `json:"busiest_to_mean"`

		creditByDomain map[string]*creditTotals
		creditByKind   map[string]*creditTotals
		// creditOfOthers is the credit of all requests but those of workspaces that send
		// more than usual.
		creditOfOthers creditTotals
		latencies      metrics.Histogram
	}

	// creditTotals sums up the credit that requests can earn and have earned.
	creditTotals struct{ possible, earned float64 }
)

// maxLatencySamples is the number of latencies sampled for the quantiles.
const maxLatencySamples = 100_000

func newResult(c Config) *Result {
	r := &Result{creditByDomain: make(map[string]*creditTotals), creditByKind: make(map[string]*creditTotals), latencies: metrics.NewHistogram(metrics.NewUniformSample(maxLatencySamples))}
	for _, d := range c.FailureDomains {
		r.creditByDomain[d.Name] = &creditTotals{}
	}
	for _, k := range c.RequestKinds {
		r.creditByKind[k.Name] = &creditTotals{}
	}
	return r
}

// recordRequest records that a caller sent a request.
func (r *Result) recordRequest(q *request) {
	r.Requests++
	r.creditByDomain[q.domain.Name].possible += q.kind.Credit
	r.creditByKind[q.kind.Name].possible += q.kind.Credit
	if !q.surging {
		r.creditOfOthers.possible += q.kind.Credit
	}
}

// recordResponse records a response when it reaches the caller.
func (r *Result) recordResponse(q *request, now clock.Millis) {
	latency := now - q.sentAt
	r.latencies.Update(int64(latency))
	credit := q.kind.LateCredit
	switch {
	case latency <= q.kind.Objective:
		r.InTime++
		credit = q.kind.Credit
	case latency <= q.kind.Deadline:
		r.Late++
	default:
		r.Unserved++
		return
	}
	r.creditByDomain[q.domain.Name].earned += credit
	r.creditByKind[q.kind.Name].earned += credit
	if !q.surging {
		r.creditOfOthers.earned += credit
	}
}

// recordFailure records a request that was not served.
func (r *Result) recordFailure() {
	r.Unserved++
}

// checkLimits records whether a server exceeds its limits.
func (r *Result) checkLimits(s *server) {
	if s.running > s.service.Slots || len(s.queue) > s.service.QueueCapacity {
		r.LimitViolations++
	}
}

// summarize computes the credit shares and the latency quantiles.
func (r *Result) summarize() {
	var all creditTotals
	for _, name := range slices.Sorted(maps.Keys(r.creditByKind)) {
		totals := r.creditByKind[name]
		all.possible += totals.possible
		all.earned += totals.earned
	}
	r.CreditShare = all.share()
	r.MinDomainShare, r.MinKindShare = minShare(r.creditByDomain), minShare(r.creditByKind)
	r.P50Ms, r.P99Ms = r.latencies.Percentile(0.5), r.latencies.Percentile(0.99)
}

// share returns the earned share of the credit; it is 1 if there were no
// requests.
func (t *creditTotals) share() float64 {
	if t.possible == 0 {
		return 1
	}
	return t.earned / t.possible
}

func minShare(totals map[string]*creditTotals) float64 {
	least := 1.0
	for _, t := range totals {
		least = min(least, t.share())
	}
	return least
}
