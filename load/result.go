package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// Result holds the measurements of a run.
	Result struct {
		// Sent counts the requests. The next four fields count them by outcome;
		// Failed are those without a response or with one that names none of
		// these outcomes.
		Sent    int64 `json:"sent"`
		Done    int64 `json:"done"`
		NotRun  int64 `json:"not_run"`
		Unknown int64 `json:"unknown"`
		Failed  int64 `json:"failed"`
		// Mismatched counts the requests done whose response does not echo their
		// nonce.
		Mismatched int64 `json:"mismatched"`
		// Codes counts the requests that were not done, by refusal code or error.
		Codes      map[string]int64           `json:"codes"`
		Workspaces map[string]*WorkspaceStats `json:"workspaces"`
		// The latencies are those of the requests that were done.
		P50Ms  float64 `json:"p50_ms"`
		P99Ms  float64 `json:"p99_ms"`
		P999Ms float64 `json:"p999_ms"`
		MaxMs  float64 `json:"max_ms"`
		// NotRunNonces lists the nonces of requests that were refused as not run.
		NotRunNonces []string `json:"-"`

		mu        sync.Mutex
		histogram *hdrhistogram.Histogram
	}

	// WorkspaceStats counts the requests of one workspace.
	WorkspaceStats struct {
		Sent int64 `json:"sent"`
		Done int64 `json:"done"`
		// WithinRate counts the requests within the workspace's rate limit.
		WithinRate int64 `json:"entitled"`
		// UnservedWithinRate counts those within the rate limit that were not
		// done.
		UnservedWithinRate int64 `json:"wrongful"`

		// tokens is the level of the token bucket that determines WithinRate, as
		// of refilledAt, the time since the run's start.
		tokens     float64
		refilledAt time.Duration
	}

	// requestResult is the result of one request after all its attempts.
	requestResult struct {
		nonce     string
		workspace string
		outcome   string
		code      string
		errorText string
		// matched is set if the response echoes the nonce.
		matched    bool
		withinRate bool
		latency    time.Duration
	}
)

const (
	// maxLatencyMicros is the highest latency that the histogram must hold.
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	outcomeDone       = "done"
	outcomeNotRun     = "not_run"
	outcomeUnknown    = "unknown"
)

func newResult(workspaces []Workspace) *Result {
	r := &Result{
		Codes:      make(map[string]int64),
		Workspaces: make(map[string]*WorkspaceStats),
		histogram:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	for _, w := range workspaces {
		r.Workspaces[w.Name] = &WorkspaceStats{tokens: w.Burst}
	}
	return r
}

// takeToken reports whether a request is within its workspace's rate limit, which
// holds for the whole fleet, and takes its token in that case.
func (r *Result) takeToken(w Workspace, at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.Workspaces[w.Name]
	stats.tokens = min(w.Burst, stats.tokens+w.RatePerS*(at-stats.refilledAt).Seconds())
	stats.refilledAt = at
	if stats.tokens < 1 {
		return false
	}
	stats.tokens--
	return true
}

// add records the result of a request.
func (r *Result) add(result requestResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.Workspaces[result.workspace]
	r.Sent++
	stats.Sent++
	if result.withinRate {
		stats.WithinRate++
	}
	switch result.outcome {
	case outcomeDone:
		r.Done++
		stats.Done++
		_ = r.histogram.RecordValue(max(result.latency.Microseconds(), 1))
		if !result.matched {
			r.Mismatched++
		}
	case outcomeNotRun:
		r.NotRun++
		r.NotRunNonces = append(r.NotRunNonces, result.nonce)
	case outcomeUnknown:
		r.Unknown++
	default:
		r.Failed++
		result.code = "failed: " + result.errorText
	}
	if result.code != "" {
		r.Codes[result.code]++
	}
	if result.withinRate && result.outcome != outcomeDone {
		stats.UnservedWithinRate++
	}
}

// summarize computes the latency quantiles.
func (r *Result) summarize() {
	quantileMs := func(q float64) float64 { return float64(r.histogram.ValueAtQuantile(q)) / 1000 }
	r.P50Ms, r.P99Ms, r.P999Ms = quantileMs(50), quantileMs(99), quantileMs(99.9)
	r.MaxMs = float64(r.histogram.Max()) / 1000
}

// MinServedShare returns the lowest ratio of requests done to requests within the
// rate limit of any workspace, and the workspace. It is 1 with no workspace if all
// were served in full.
func (r *Result) MinServedShare() (share float64, workspace string) {
	share = 1
	for name, stats := range r.Workspaces {
		if stats.WithinRate == 0 {
			continue
		}
		if served := min(float64(stats.Done)/float64(stats.WithinRate), 1); served < share {
			share, workspace = served, name
		}
	}
	return share, workspace
}

// UnservedShare returns the share of requests that were not done, over the
// workspaces that stayed within their rate limits. The others are left out, because
// the instances may choose which of their requests to refuse.
func (r *Result) UnservedShare() float64 {
	var withinRate, unserved int64
	for _, stats := range r.Workspaces {
		if stats.WithinRate < stats.Sent {
			continue
		}
		withinRate += stats.WithinRate
		unserved += stats.UnservedWithinRate
	}
	if withinRate == 0 {
		return 0
	}
	return float64(unserved) / float64(withinRate)
}
