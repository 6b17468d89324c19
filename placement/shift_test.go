package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

const (
	peakTick        = 10 * clock.Millis(1)
	peakWindow      = 2 * clock.Second
	peakServiceTime = 300 * clock.Millis(1)
	peakEnd         = 24 * clock.Second
)

// loadPeak simulates a load peak and counts the requests that leave their
// region.
type loadPeak struct {
	balancer *Balancer
	random   *rand.Rand
	running  map[clock.Millis][]*Choice
	assigned float64
	shifted  float64
}

// requestsPerSecond returns the request rate; 24 slots can handle 80 requests
// per second.
func requestsPerSecond(now clock.Millis) float64 {
	if now >= 8*clock.Second && now < 16*clock.Second {
		return 130
	}
	return 40
}

// run returns, for each window, the share of assigned requests that ran outside
// the balancer's region.
func (p *loadPeak) run() []float64 {
	var shares []float64
	for now := clock.Millis(0); now < peakEnd; now += peakTick {
		for _, choice := range p.running[now] {
			p.balancer.Done(now, choice, Result{Outcome: Answered})
		}
		delete(p.running, now)
		due := requestsPerSecond(now) * peakTick.Seconds()
		for ; due > p.random.Float64(); due-- {
			p.send(now)
		}
		if (now+peakTick)%peakWindow == 0 {
			shares = append(shares, p.shifted/max(p.assigned, 1))
			p.assigned, p.shifted = 0, 0
		}
	}
	return shares
}

func (p *loadPeak) send(now clock.Millis) {
	choice, refusal := p.balancer.Choose(now, testQuery(1+p.random.Uint64N(50)))
	if refusal != nil {
		return
	}
	p.running[now+peakServiceTime] = append(p.running[now+peakServiceTime], choice)
	p.assigned++
	if choice.Server.Region != p.balancer.config.Region {
		p.shifted++
	}
}

// TestMaxShiftBoundsLoadPeak sends more requests than the region's slots can
// handle. With the bound, the share of requests in another region changes by no
// more than it from one window to the next. Without the bound it must change by
// more, or the load would be too low to test the bound.
func TestMaxShiftBoundsLoadPeak(t *testing.T) {
	const bound = 0.15
	cases := map[string]struct {
		bound float64
		holds bool
	}{
		"bounded":       {bound: bound, holds: true},
		"without bound": {bound: 0, holds: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				balancer := newTestBalancer(4)
				balancer.SetMaxShift(c.bound)
				for _, region := range []string{"a", "b"} {
					balancer.fanoutOf(0, testService, region).count = maxFanout
				}
				peak := &loadPeak{balancer: balancer, random: rand.New(rand.NewPCG(1, seed)), running: make(map[clock.Millis][]*Choice)}
				shares := peak.run()
				worst := 0.0
				for i := 1; i < len(shares); i++ {
					worst = max(worst, math.Abs(shares[i]-shares[i-1]))
				}
				if (worst <= bound) != c.holds {
					t.Errorf("seed %d: the share of shifted requests changed by up to %.2f between windows, bound %.2f: %.2f", seed, worst, bound, shares)
				}
			}
		})
	}
}
