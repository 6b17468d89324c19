package placement

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// TestDomainLoadAppliesToSilentServers reports an overload on all but two servers.
// The two silent servers must not be treated as idle: they receive no requests
// until the reports have decayed.
func TestDomainLoadAppliesToSilentServers(t *testing.T) {
	const (
		objects    = 200
		reportedAt = 10 * clock.Second
		overload   = 6 * testSlots
	)
	balancer := newTestBalancer(6)
	for object := range uint64(objects) {
		balancer.warmUp(t, object)
	}
	silent := map[string]bool{"a1-0": true, "a2-0": true}
	for range 5 {
		for id, server := range balancer.servers {
			if !silent[id] {
				server.recordLoad(reportedAt, overload)
			}
		}
	}
	cases := map[string]struct {
		at   clock.Millis
		sent bool
	}{
		"after the reports":       {at: reportedAt + maxReportAge/2, sent: false},
		"after they have decayed": {at: reportedAt + 10*clock.Second, sent: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sent := 0
			for object := range uint64(objects) {
				choice, refusal := balancer.Choose(c.at, testQuery(object))
				if refusal != nil {
					continue
				}
				balancer.Done(c.at, choice, Result{Outcome: Canceled})
				if silent[choice.Server.ID] {
					sent++
				}
			}
			if (sent > 0) != c.sent {
				t.Errorf("%d requests were sent to servers without a report", sent)
			}
		})
	}
}

// TestDomainLoadDecays checks the average load at several times after the last
// report.
func TestDomainLoadDecays(t *testing.T) {
	var load domainLoad
	for range 60 {
		load.record(clock.Second, 10)
	}
	cases := map[string]struct {
		at        clock.Millis
		low, high float64
	}{
		"right after the reports": {at: clock.Second, low: 9.5, high: 10},
		"after 2 s":               {at: 3 * clock.Second, low: 3, high: 4.5},
		"after 20 s":              {at: 21 * clock.Second, low: 0, high: 0.1},
	}
	for name, test := range cases {
		if got := load.at(test.at); got < test.low || got > test.high {
			t.Errorf("%s: average load %.2f, want %.2f to %.2f", name, got, test.low, test.high)
		}
	}
}

// TestDomainFactorAppliesToUnusedServers has requests take five times as long as expected
// on all servers of a region but one, which this instance has not used for a while. It must
// be expected to be slow too, and as fast as before once the others are.
func TestDomainFactorAppliesToUnusedServers(t *testing.T) {
	b := newTestBalancerOf(testServers(3))
	b.warmUp(t, 1)
	unused := b.servers["a1-0"]
	answer := func(from, to clock.Millis, took clock.Millis) {
		for now := from; now < to; now += 20 {
			choice, refusal := b.Choose(now, onlyRegion(uint64(now)%50+1, "a"))
			if refusal != nil {
				continue
			}
			if choice.Server.ID == unused.info.ID {
				b.Done(now, choice, Result{Outcome: Canceled})
				continue
			}
			b.Done(now+took, choice, Result{Outcome: Answered, HasLoad: true})
		}
	}
	answer(1000, 5000, 1500)
	slow := unused.currentLatencyFactor(5000)
	answer(7000, 11_000, 150)
	fast := unused.currentLatencyFactor(11_000)
	if slow < 1.5 || fast > 1.2 {
		t.Errorf("the factor of the unused server is %.2f while the others are slow and %.2f afterwards", slow, fast)
	}
}
