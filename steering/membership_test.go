package steering

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
)

// TestOwnPart checks when an instance may use its part of the limits on workspaces: not
// before the loans of an earlier process have ended or the others know of it, not after a
// pause, and not after it was given up.
func TestOwnPart(t *testing.T) {
	const start = 100 * clock.Second
	type testCase struct {
		predecessor *wire.FleetInstance
		replaced    bool
		// allTold is set if all others know of the instance, othersHold if they have
		// parts.
		allTold, othersHold bool
		// then is called after the part was allowed, 300 ms after the start.
		then func(m *membership, manual *clock.Manual)
		// from is the time after the start from which the part is used, or -1 for never.
		from clock.Millis
	}
	cases := map[string]testCase{
		"a new instance":                                    {from: 200 + 1800 + quota.PartTerm},
		"a new instance that all know":                      {allTold: true, othersHold: true, from: 200 + 1800 + quota.PartTerm},
		"a new fleet":                                       {allTold: true, from: 200 + newFleetWait},
		"a new fleet that not all know yet":                 {from: 200 + 1800 + quota.PartTerm},
		"its earlier process was killed, says the platform": {replaced: true, from: quota.PartTerm},
		"its earlier process was killed, says a peer":       {predecessor: &wire.FleetInstance{HoldsPart: true, HeardAgeMs: 9000}, from: quota.PartTerm},
		"its earlier process was killed, as all know":       {predecessor: &wire.FleetInstance{HoldsPart: true}, allTold: true, othersHold: true, from: 300},
		"its earlier process was killed, as no peer says":   {replaced: true, othersHold: true, from: 200 + 1800 + quota.PartTerm},
		"its earlier process stopped and may have lent it":  {predecessor: &wire.FleetInstance{HeardAgeMs: 1000}, from: quota.PartTerm},
		"its earlier process has taken it back":             {predecessor: &wire.FleetInstance{PartFree: true}, from: 300},
		"after a pause": {replaced: true, then: func(m *membership, manual *clock.Manual) {
			manual.Advance(8 * clock.Second)
			m.refresh()
		}, from: 8300 + 1800},
		"after it was given up": {then: func(m *membership, _ *clock.Manual) { m.giveUpPart() }, from: -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			manual := &clock.Manual{}
			manual.Set(start)
			members := fleet.NewMembers(&wire.FleetInstance{Instance: "self", Incarnation: "2"}, 5*clock.Second)
			members.RecordRegistered([]*wire.FleetInstance{{Instance: "other", HoldsPart: c.othersHold}}, start)
			m := &membership{
				bootClock: manual, members: members, balancer: placement.NewBalancer(placement.BalancerConfig{}),
				onPartChange: func() {}, onOwnersChange: func() {}, startedAt: start,
			}
			m.refresh()
			manual.Advance(300)
			if c.predecessor != nil {
				c.predecessor.Instance, c.predecessor.Incarnation = "self", "1"
				members.RecordOwnPredecessor(c.predecessor)
			}
			m.allowPart(joining{replaced: c.replaced, registeredAt: start + 200, allTold: c.allTold})
			if c.then != nil {
				c.then(m, manual)
			}
			from := clock.Millis(-1)
			for ; manual.Now() < start+15*clock.Second && from < 0; manual.Advance(50) {
				m.refresh()
				if m.ownPart() == 0.5 {
					from = manual.Now() - start
				}
			}
			if from != c.from {
				t.Errorf("the part is used from %d ms on, want %d", from, c.from)
			}
		})
	}
}
