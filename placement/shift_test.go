package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

const (
	crowdTick   = 10 * clock.Millis(1)
	crowdWindow = 2 * clock.Second
	crowdWork   = 300 * clock.Millis(1)
	crowdEnd    = 24 * clock.Second
)

// crowd counts the requests of a crowd that comes and goes.
type crowd struct {
	table   *Balancer
	random  *rand.Rand
	running map[clock.Millis][]*Choice
	placed  float64
	away    float64
}

// perSecond is the rate of requests: 24 slots bear 80 of them.
func perSecond(now clock.Millis) float64 {
	if now >= 8*clock.Second && now < 16*clock.Second {
		return 130
	}
	return 40
}

// play returns the part of the placed requests that ran outside the table's
// region, for each window.
func (c *crowd) play() []float64 {
	var shares []float64
	for now := clock.Millis(0); now < crowdEnd; now += crowdTick {
		for _, choice := range c.running[now] {
			c.table.Done(now, choice, Result{Outcome: Answered})
		}
		delete(c.running, now)
		due := perSecond(now) * crowdTick.Seconds()
		for ; due > c.random.Float64(); due-- {
			c.send(now)
		}
		if (now+crowdTick)%crowdWindow == 0 {
			shares = append(shares, c.away/max(c.placed, 1))
			c.placed, c.away = 0, 0
		}
	}
	return shares
}

func (c *crowd) send(now clock.Millis) {
	choice, refusal := c.table.Choose(now, testQuery(1+c.random.Uint64N(50)))
	if refusal != nil {
		return
	}
	c.running[now+crowdWork] = append(c.running[now+crowdWork], choice)
	c.placed++
	if choice.Server.Region != c.table.config.Region {
		c.away++
	}
}

// TestCrowdsMoveFewRequests has more requests come than the region's slots bear.
// With the bound, no more than its share changes the region from one window to
// the next; without it, more does, or the test would show nothing.
func TestCrowdsMoveFewRequests(t *testing.T) {
	const bound = 0.15
	cases := map[string]struct {
		bound float64
		holds bool
	}{
		"bounded": {bound: bound, holds: true},
		"free":    {bound: 0, holds: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				table := newTestTable(4)
				table.SetMaxShift(c.bound)
				table.copiesOf(0, testService).count = maxCopies
				play := &crowd{table: table, random: rand.New(rand.NewPCG(1, seed)), running: make(map[clock.Millis][]*Choice)}
				shares := play.play()
				worst := 0.0
				for i := 1; i < len(shares); i++ {
					worst = max(worst, math.Abs(shares[i]-shares[i-1]))
				}
				if (worst <= bound) != c.holds {
					t.Errorf("seed %d: up to %.2f of the requests change their region within a window, bound %.2f: %.2f", seed, worst, bound, shares)
				}
			}
		})
	}
}
