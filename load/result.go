package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// Result is what a run measured.
	Result struct {
		Sent       int64                      `json:"sent"`
		Done       int64                      `json:"done"`
		NotRun     int64                      `json:"not_run"`
		Unknown    int64                      `json:"unknown"`
		Failed     int64                      `json:"failed"`
		Mismatched int64                      `json:"mismatched"`
		Codes      map[string]int64           `json:"codes"`
		Workspaces map[string]*WorkspaceStats `json:"workspaces"`
		P50Ms      float64                    `json:"p50_ms"`
		P99Ms      float64                    `json:"p99_ms"`
		P999Ms     float64                    `json:"p999_ms"`
		MaxMs      float64                    `json:"max_ms"`
		// NotRunNonces are the requests that were refused as not run.
		NotRunNonces []string `json:"-"`

		mu        sync.Mutex
		histogram *hdrhistogram.Histogram
	}

	// WorkspaceStats is what one workspace got.
	WorkspaceStats struct {
		Sent int64 `json:"sent"`
		Done int64 `json:"done"`
		// WithinRate counts the requests that were inside the workspace's rate.
		WithinRate int64 `json:"entitled"`
		// UnservedWithinRate counts the entitled requests that were refused.
		UnservedWithinRate int64 `json:"wrongful"`

		level   float64
		levelAt time.Duration
	}

	// verdict is one request's end.
	verdict struct {
		nonce     string
		workspace string
		outcome   string
		code      string
		failure   string
		matched   bool
		entitled  bool
		took      time.Duration
	}
)

const (
	maxTrackedMicros = 60_000_000
	significant      = 3
	outcomeDone      = "done"
	outcomeNotRun    = "not_run"
	outcomeUnknown   = "unknown"
)

func newResult(workspaces []Workspace) *Result {
	r := &Result{
		Codes:      make(map[string]int64),
		Workspaces: make(map[string]*WorkspaceStats),
		histogram:  hdrhistogram.New(1, maxTrackedMicros, significant),
	}
	for _, w := range workspaces {
		r.Workspaces[w.Name] = &WorkspaceStats{level: w.Burst}
	}
	return r
}

// entitle holds an arriving request against its workspace's whole rate.
func (r *Result) entitle(w Workspace, at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := r.Workspaces[w.Name]
	sum.level = min(w.Burst, sum.level+w.RatePerS*(at-sum.levelAt).Seconds())
	sum.levelAt = at
	if sum.level < 1 {
		return false
	}
	sum.level--
	return true
}

func (r *Result) add(v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := r.Workspaces[v.workspace]
	r.Sent++
	sum.Sent++
	if v.entitled {
		sum.WithinRate++
	}
	switch v.outcome {
	case outcomeDone:
		r.Done++
		sum.Done++
		_ = r.histogram.RecordValue(max(v.took.Microseconds(), 1))
		if !v.matched {
			r.Mismatched++
		}
	case outcomeNotRun:
		r.NotRun++
		r.NotRunNonces = append(r.NotRunNonces, v.nonce)
	case outcomeUnknown:
		r.Unknown++
	default:
		r.Failed++
		v.code = "failed: " + v.failure
	}
	if v.code != "" {
		r.Codes[v.code]++
	}
	if v.entitled && v.outcome != outcomeDone {
		sum.UnservedWithinRate++
	}
}

func (r *Result) finish() {
	micros := func(q float64) float64 { return float64(r.histogram.ValueAtQuantile(q)) / 1000 }
	r.P50Ms, r.P99Ms, r.P999Ms = micros(50), micros(99), micros(99.9)
	r.MaxMs = float64(r.histogram.Max()) / 1000
}

// MinServedShare returns the least share of its entitled requests that any
// workspace got done, and the workspace.
func (r *Result) MinServedShare() (share float64, workspace string) {
	share = 1
	for name, sum := range r.Workspaces {
		if sum.WithinRate == 0 {
			continue
		}
		if got := min(float64(sum.Done)/float64(sum.WithinRate), 1); got < share {
			share, workspace = got, name
		}
	}
	return share, workspace
}

// UnservedShare returns the share of entitled requests that were refused, of
// the workspaces that stayed inside their rates. Which requests of a workspace
// beyond its rate are refused is nobody's right.
func (r *Result) UnservedShare() float64 {
	var entitled, wrongful int64
	for _, sum := range r.Workspaces {
		if sum.WithinRate < sum.Sent {
			continue
		}
		entitled += sum.WithinRate
		wrongful += sum.UnservedWithinRate
	}
	if entitled == 0 {
		return 0
	}
	return float64(wrongful) / float64(entitled)
}
