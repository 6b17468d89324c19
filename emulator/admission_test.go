package emulator

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

const (
	surgeStart = 8 * clock.Second
	surgeEnd   = 14 * clock.Second
)

// sharedService returns a deployment in which an urgent type of requests with a short objective
// shares the servers with a less urgent one with a long objective.
func sharedService(instances int) Config {
	c := Config{
		Services: []Service{{Name: "visits", Servers: 60, Slots: 6, QueueCapacity: 18, MaxWarmObjects: 40}},
		RequestKinds: []RequestKind{
			{Name: "shift-swap", Service: "visits", RatePerS: 200, ObjectsPerRegion: 300, ColdServiceTime: 920, WarmServiceTime: 276, Objective: 500, Deadline: 5000, Credit: 3, LateCredit: 0.9, Priority: 0},
			{Name: "visit-confirmation", Service: "visits", RatePerS: 260, ObjectsPerRegion: 300, ColdServiceTime: 1680, WarmServiceTime: 504, Objective: 2000, Deadline: 8000, Credit: 1, LateCredit: 0.3, Priority: 2},
		},
		Workspaces:  Workspaces{Count: 40},
		CallerDelay: 3, IntraRegionDelay: 1, InterRegionDelay: 20,
		Duration: surgeEnd + clock.Second, Load: 1, Seed: 1, Retries: 4,
	}
	for _, name := range []string{"north-a", "north-b", "south-a", "south-b"} {
		c.FailureDomains = append(c.FailureDomains, FailureDomain{Name: name, Region: name[:5], Instances: instances})
	}
	return c
}

// TestAdmissionUnderLoad replays loads beyond the servers' capacity with and without admission.
// With it the requests together, those of workspaces that send as usual, and the urgent ones
// must each earn no less credit, and no more requests may stay unserved. Otherwise less urgent
// requests, or those of one workspace, take the capacity of the others.
func TestAdmissionUnderLoad(t *testing.T) {
	surge := func(kind string, factor float64) []Surge {
		return []Surge{{Kind: kind, From: surgeStart, To: surgeEnd, Factor: factor}}
	}
	flood := func(kind string) []Surge {
		return []Surge{{Kind: kind, From: surgeStart, To: surgeEnd, Factor: 7, OneWorkspace: true}}
	}
	cases := map[string]struct {
		surges     []Surge
		load       float64
		instances  int
		noExchange bool
	}{
		"the less urgent type doubles":            {surges: surge("visit-confirmation", 2), load: 1, instances: 4},
		"the urgent type doubles":                 {surges: surge("shift-swap", 2), load: 1, instances: 4},
		"one workspace floods the urgent type":    {surges: flood("shift-swap"), load: 1, instances: 4},
		"one workspace floods the other type":     {surges: flood("visit-confirmation"), load: 1, instances: 4},
		"many instances":                          {surges: surge("visit-confirmation", 2), load: 1, instances: 12},
		"all callers return again and again":      {load: 1.6, instances: 4},
		"no instance hears another, type doubles": {surges: surge("visit-confirmation", 2), load: 1, instances: 4, noExchange: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := sharedService(c.instances).WithLoad(c.load)
			config.Surges, config.NoExchange = c.surges, c.noExchange
			before, after := Run(config, PlacementOnly), Run(config, Policies["product"])
			share := func(r *Result, kind string) float64 { return r.creditByKind[kind].share() }
			t.Logf("credit %.3f, was %.3f; of others %.3f, was %.3f; urgent %.3f, was %.3f; less urgent %.3f, was %.3f; unserved %d, was %d; refusals %d, was %d; of %d",
				after.CreditShare, before.CreditShare, after.creditOfOthers.share(), before.creditOfOthers.share(),
				share(after, "shift-swap"), share(before, "shift-swap"), share(after, "visit-confirmation"), share(before, "visit-confirmation"),
				after.Unserved, before.Unserved, after.Refusals, before.Refusals, after.Requests)
			if after.CreditShare < before.CreditShare || after.creditOfOthers.share() < before.creditOfOthers.share() {
				t.Error("requests earn less credit")
			}
			if share(after, "shift-swap") < share(before, "shift-swap") {
				t.Error("urgent requests earn less credit")
			}
			if after.Unserved > before.Unserved {
				t.Error("more requests stay unserved")
			}
		})
	}
}
