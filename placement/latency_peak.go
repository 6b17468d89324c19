package placement

import (
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// LatencyPeaks holds, for each service, the longest time that a backend server has
	// taken lately. It is safe for concurrent use.
	LatencyPeaks struct {
		mu        sync.Mutex
		byService map[string]latencyPeak
	}

	// latencyPeak is a time that a server took, and when.
	latencyPeak struct{ took, at clock.Millis }
)

// peakTimeConstant is the time constant with which a peak decays that no server reaches
// again.
const peakTimeConstant = 15 * clock.Second

// NewLatencyPeaks returns peaks without any.
func NewLatencyPeaks() *LatencyPeaks {
	return &LatencyPeaks{byService: make(map[string]latencyPeak)}
}

// Observe records the time that a server of a service took.
func (p *LatencyPeaks) Observe(now clock.Millis, service string, took clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took >= p.byService[service].value(now) {
		p.byService[service] = latencyPeak{took: took, at: now}
	}
}

// Get returns the peak of a service, or zero if none is known.
func (p *LatencyPeaks) Get(now clock.Millis, service string) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byService[service].value(now)
}

// value returns what is left of the peak.
func (p latencyPeak) value(now clock.Millis) clock.Millis {
	return clock.Millis(float64(p.took) * clock.Decay(now-p.at, peakTimeConstant))
}
