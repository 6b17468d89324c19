package origin

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/rcrowley/go-metrics"
)

// TestParseLoad checks that each figure that can be read is used, whatever the others are,
// and that a wrong one is noticed.
func TestParseLoad(t *testing.T) {
	cases := map[string]struct {
		value string
		want  LoadReport
		valid bool
	}{
		"none":                       {"", LoadReport{}, true},
		"three figures":              {"3,2,6", LoadReport{Requests: 5, HasRequests: true}, true},
		"four figures":               {"3, 2, 6, 250", LoadReport{Requests: 5, HasRequests: true, Pace: 2.5, HasPace: true}, true},
		"a fraction":                 {"3,2,6,99.5", LoadReport{Requests: 5, HasRequests: true, Pace: 0.995, HasPace: true}, true},
		"one figure":                 {"3", LoadReport{}, false},
		"two figures":                {"3,2", LoadReport{Requests: 5, HasRequests: true}, false},
		"an extra figure":            {"3,2,6,250,1", LoadReport{Requests: 5, HasRequests: true, Pace: 2.5, HasPace: true}, false},
		"many figures":               {"3,2,6,250,,,,,1", LoadReport{Requests: 5, HasRequests: true, Pace: 2.5, HasPace: true}, false},
		"an empty pace":              {"3,2,6,", LoadReport{Requests: 5, HasRequests: true}, false},
		"a pace of zero":             {"3,2,6,0", LoadReport{Requests: 5, HasRequests: true}, false},
		"a negative pace":            {"3,2,6,-100", LoadReport{Requests: 5, HasRequests: true}, false},
		"a huge pace":                {"3,2,6,1e300", LoadReport{Requests: 5, HasRequests: true}, false},
		"a pace beyond all numbers":  {"3,2,6,1e999", LoadReport{Requests: 5, HasRequests: true}, false},
		"a pace that is no number":   {"3,2,6,NaN", LoadReport{Requests: 5, HasRequests: true}, false},
		"an infinite pace":           {"3,2,6,Inf", LoadReport{Requests: 5, HasRequests: true}, false},
		"a word for the pace":        {"3,2,6,slow", LoadReport{Requests: 5, HasRequests: true}, false},
		"a word for the requests":    {"busy,2,6,250", LoadReport{Pace: 2.5, HasPace: true}, false},
		"negative requests":          {"-3,2,6,100", LoadReport{Requests: 2, HasRequests: true, Pace: 1, HasPace: true}, false},
		"huge requests":              {"99999999999999999999,2,6", LoadReport{Requests: maxLoad + 2, HasRequests: true}, false},
		"hugely negative requests":   {"-99999999999999999999,2,6", LoadReport{Requests: 2, HasRequests: true}, false},
		"nothing between the commas": {",,,", LoadReport{}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, valid := parseLoad(c.value)
			if got != c.want || valid != c.valid {
				t.Errorf("got %+v, valid %v", got, valid)
			}
		})
	}
}

// TestInvalidLoadsAreBounded sends an invalid report with every answer. Each must be
// counted, and few be passed on for the log, in a short form.
func TestInvalidLoadsAreBounded(t *testing.T) {
	registry := metrics.NewRegistry()
	pool := NewPool(PoolConfig{Clock: clock.BootTime{}, Metrics: registry})
	field := make([]byte, 1000)
	shown := 0
	for range 500 {
		if report := pool.parseLoad(field); report.Invalid != "" {
			shown++
			if len(report.Invalid) > 5*maxLoggedValueBytes {
				t.Errorf("%d bytes are passed on", len(report.Invalid))
			}
		}
	}
	if counted := metrics.GetOrRegisterCounter("origin.invalid_loads", registry).Count(); shown != 1 || counted != 500 {
		t.Errorf("%d reports are counted, %d passed on, want 500 and 1", counted, shown)
	}
}
