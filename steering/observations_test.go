package steering

import (
	"math"
	"testing"

	"github.com/bulrushferry/bulrushferry/admission"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// TestLevelsOfPeers checks which admission levels of a peer are taken in and passed on, with
// their age. A level that no instance can have reported must be dropped and counted, and an
// old one must not hold back requests.
func TestLevelsOfPeers(t *testing.T) {
	level := func(service string, priority, share int32, age int64) *wire.ServiceLevel {
		return &wire.ServiceLevel{Service: service, Priority: priority, SharePercent: share, AgeMs: age}
	}
	cases := map[string]struct {
		received *wire.ServiceLevel
		transit  clock.Millis
		known    bool
		rejected int64
	}{
		"plausible":             {received: level("s", 1, 125, 100), known: true},
		"old":                   {received: level("s", 1, 125, 3000)},
		"old on arrival":        {received: level("s", 1, 125, 1000), transit: 2000},
		"of an unknown service": {received: level("other", 1, 125, 0), rejected: 1},
		"of no service":         {received: &wire.ServiceLevel{}, rejected: 1},
		"with a huge priority":  {received: level("s", math.MaxInt32, 125, 0), rejected: 1},
		"with a negative share": {received: level("s", 1, math.MinInt32, 0), rejected: 1},
		"with a negative age":   {received: level("s", 1, 125, math.MinInt64), rejected: 1},
		"with the largest age":  {received: level("s", 1, 125, math.MaxInt64), transit: 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			manual := &clock.Manual{}
			manual.Set(100 * clock.Second)
			registry, config := metrics.NewRegistry(), testConfig(1, false)
			o := &observations{
				clock: manual, crashes: placement.NewCrashTracker(), balancer: placement.NewBalancer(placement.BalancerConfig{}), levels: admission.NewController(nil),
				config: func() *routing.Config { return config }, log: hclog.NewNullLogger(), registry: registry,
			}
			o.Record("peer", &wire.Observations{Levels: []*wire.ServiceLevel{c.received}}, c.transit)
			manual.Advance(500)
			passedOn := o.Get().GetLevels()
			if len(passedOn) > 0 != c.known {
				t.Fatalf("got %v", passedOn)
			}
			if c.known && (passedOn[0].GetAgeMs() < c.received.GetAgeMs()+500 || passedOn[0].GetSharePercent() != c.received.GetSharePercent()) {
				t.Errorf("got %v of %v", passedOn, c.received)
			}
			if n := metrics.GetOrRegisterCounter("admission.levels_rejected", registry).Count(); n != c.rejected {
				t.Errorf("%d levels were rejected, want %d", n, c.rejected)
			}
		})
	}
}
