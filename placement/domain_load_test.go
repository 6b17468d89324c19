package placement

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// TestCrowdsAreSeenOnOtherServers has all servers of a region say that they are
// run over. A request on an object whose server has said nothing lately is not
// sent there as if that were idle, and is again once the reports are old.
func TestCrowdsAreSeenOnOtherServers(t *testing.T) {
	const (
		objects  = 200
		reported = 10 * clock.Second
		crowded  = 6 * testSlots
	)
	table := newTestTable(6)
	for object := range uint64(objects) {
		table.warmUp(t, object)
	}
	silent := map[string]bool{"a1-0": true, "a2-0": true}
	for range 5 {
		for id, server := range table.servers {
			if !silent[id] {
				server.report(reported, crowded)
			}
		}
	}
	cases := map[string]struct {
		at   clock.Millis
		sent bool
	}{
		"after the reports": {at: reported + reportAge/2, sent: false},
		"long after them":   {at: reported + 10*clock.Second, sent: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sent := 0
			for object := range uint64(objects) {
				choice, refusal := table.Choose(c.at, testQuery(object))
				if refusal != nil {
					continue
				}
				table.Done(c.at, choice, Result{Outcome: GivenUp})
				if silent[choice.Server.ID] {
					sent++
				}
			}
			if (sent > 0) != c.sent {
				t.Errorf("%d requests go to servers without a report", sent)
			}
		})
	}
}

// TestCrowdingFades checks the usual load that reports leave.
func TestCrowdingFades(t *testing.T) {
	var c crowding
	for range 60 {
		c.note(clock.Second, 10)
	}
	cases := map[string]struct {
		at        clock.Millis
		low, high float64
	}{
		"at once":    {at: clock.Second, low: 9.5, high: 10},
		"after 2 s":  {at: 3 * clock.Second, low: 3, high: 4.5},
		"after 20 s": {at: 21 * clock.Second, low: 0, high: 0.1},
	}
	for name, test := range cases {
		if got := c.at(test.at); got < test.low || got > test.high {
			t.Errorf("%s the usual load is %.2f, want %.2f to %.2f", name, got, test.low, test.high)
		}
	}
}
