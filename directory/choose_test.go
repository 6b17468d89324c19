package directory

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

const testCallers = 4000

// testDomain returns instances of one failure domain: large ones of 0.8 of a core, and
// small ones of 0.112.
func testDomain(large, small int) []Instance {
	var out []Instance
	for i := range large + small {
		in := Instance{Name: fmt.Sprintf("i%03d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Region: "r", Domain: "d"}
		in.Capacity = Capacity{Cores: 0.112, MemoryMB: 136, Descriptors: 2870, LinkMbitPerS: 20}
		if i < large {
			in.Capacity = Capacity{Cores: 0.8, MemoryMB: 536, Descriptors: 8192, LinkMbitPerS: 200}
		}
		out = append(out, in)
	}
	return out
}

func testCaller(n int) Caller {
	return Caller{Address: fmt.Sprintf("127.1.%d.%d", n/250, n%250), Region: "r", Domain: "d"}
}

// answersOf returns the answers to all callers.
func answersOf(view View) [][]string {
	out := make([][]string, testCallers)
	for n := range out {
		out[n] = Choose(testCaller(n), view).Addresses
	}
	return out
}

// TestWorkIsInProportion guards against small instances that get as much work as large
// ones: callers pick uniformly among the addresses of their answer.
func TestWorkIsInProportion(t *testing.T) {
	cases := map[string]struct {
		large, small int
		// tolerance is the largest deviation from the share of the capacity.
		tolerance float64
	}{
		"two large and seventeen small": {large: 2, small: 17, tolerance: 0.12},
		"two large and fourteen small":  {large: 2, small: 14, tolerance: 0.12},
		"two large and fifty small":     {large: 2, small: 50, tolerance: 0.2},
		"five large and three small":    {large: 5, small: 3, tolerance: 0.12},
		"all alike":                     {large: 0, small: 12, tolerance: 0.001},
		"more alike than in an answer":  {large: 0, small: 100, tolerance: 0.15},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			instances := testDomain(c.large, c.small)
			work, total := make(map[string]float64), 0.0
			for _, answer := range answersOf(View{Ready: instances}) {
				if len(answer) < minAddresses || len(answer) > MaxAddresses {
					t.Fatalf("an answer has %d addresses", len(answer))
				}
				for _, address := range answer {
					work[address] += 1 / float64(len(answer))
				}
			}
			for _, in := range instances {
				total += in.Capacity.Cores
			}
			for _, in := range instances {
				want := in.Capacity.Cores / total * testCallers
				if got := work[in.Address]; math.Abs(got/want-1) > c.tolerance {
					t.Errorf("instance %s with %.3f of a core gets the work of %.0f callers, want %.0f", in.Name, in.Capacity.Cores, got, want)
				}
			}
		})
	}
}

// TestAlikeInstancesAreAllNamed guards against a change for deployments whose instances are
// alike, or whose capacities are unknown.
func TestAlikeInstancesAreAllNamed(t *testing.T) {
	unknown := testDomain(0, 19)
	for i := range unknown {
		unknown[i].Capacity = Capacity{}
	}
	nearly := testDomain(0, 19)
	for i := range nearly {
		nearly[i].Capacity.Cores *= 1 + 0.005*float64(i)
	}
	oneUnknown := testDomain(0, 19)
	oneUnknown[3].Capacity = Capacity{}
	for name, instances := range map[string][]Instance{"alike": testDomain(0, 19), "unknown": unknown, "nearly alike": nearly, "one unknown": oneUnknown} {
		t.Run(name, func(t *testing.T) {
			for n := range 100 {
				if answer := Choose(testCaller(n), View{Ready: instances}); len(answer.Addresses) != len(instances) || answer.Cause != Full {
					t.Fatalf("got %d addresses, cause %s", len(answer.Addresses), answer.Cause)
				}
			}
		})
	}
}

// TestAnswersAreStable guards against callers that close connections for no need: an answer
// changes only with the instances, and then for as few callers as possible.
func TestAnswersAreStable(t *testing.T) {
	base := testDomain(2, 17)
	without := func(i int) []Instance { return append(slices.Clone(base[:i]), base[i+1:]...) }
	near := slices.Clone(base)
	near[7].NearLimit = true
	cases := map[string]struct {
		instances []Instance
		removed   int
		// maxLost is the largest share of the callers' work on addresses that are lost
		// although their instance is still named to others.
		maxLost float64
	}{
		"no change":              {instances: base, removed: -1, maxLost: 0},
		"another order":          {instances: append(slices.Clone(base[9:]), base[:9]...), removed: -1, maxLost: 0},
		"a small one leaves":     {instances: without(7), removed: 7, maxLost: 0.03},
		"a small one near limit": {instances: near, removed: 7, maxLost: 0.03},
		"a small one joins":      {instances: append(slices.Clone(base), testDomain(0, 20)[19]), removed: -1, maxLost: 0.03},
		"a large one leaves":     {instances: without(0), removed: 0, maxLost: 0.16},
	}
	before := answersOf(View{Ready: base})
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			share := 0.0
			for n, answer := range answersOf(View{Ready: c.instances}) {
				for _, address := range before[n] {
					gone := c.removed >= 0 && address == base[c.removed].Address
					if !gone && !slices.Contains(answer, address) {
						share += 1 / float64(len(before[n])) / testCallers
					}
				}
			}
			t.Logf("lost %.4f of the work", share)
			if share > c.maxLost {
				t.Errorf("%.3f of the work was on addresses that were lost, want at most %.3f", share, c.maxLost)
			}
		})
	}
}

// TestFewCallersReachAllInstances guards against shares that depend on chance where a domain
// has few callers, and against instances that are named to nobody.
func TestFewCallersReachAllInstances(t *testing.T) {
	const callers = 100
	instances, work := testDomain(2, 17), make(map[string]float64)
	for n := range callers {
		answer := Choose(testCaller(n), View{Ready: instances}).Addresses
		for _, address := range answer {
			work[address] += 1 / float64(len(answer)) / callers
		}
	}
	for _, in := range instances {
		if share := in.Capacity.Cores / (2*0.8 + 17*0.112); work[in.Address] < 0.75*share || work[in.Address] > 1.25*share {
			t.Errorf("instance %s gets %.4f of the work, its share is %.4f", in.Name, work[in.Address], share)
		}
	}
}

// TestSharedAddressGetsAll guards against a gateway whose callers all use the same few
// instances.
func TestSharedAddressGetsAll(t *testing.T) {
	caller := testCaller(1)
	caller.Shared = true
	if n := len(Choose(caller, View{Ready: testDomain(2, 17)}).Addresses); n != 19 {
		t.Errorf("got %d addresses, want 19", n)
	}
	if n := len(Choose(caller, View{Ready: testDomain(20, 80)}).Addresses); n != MaxAddresses {
		t.Errorf("got %d addresses, want %d", n, MaxAddresses)
	}
}

// TestChooseUnderFailure checks which instances are named while some are missing, and that
// one is always named while any is ready.
func TestChooseUnderFailure(t *testing.T) {
	in := func(name, region, domain string, near bool) Instance {
		return Instance{Name: name, Address: name, Region: region, Domain: domain, NearLimit: near}
	}
	self, mate, other, far := in("self", "r", "d", false), in("mate", "r", "d", false), in("other", "r", "e", false), in("far", "q", "f", false)
	nearMate, nearSelf := in("mate", "r", "d", true), in("self", "r", "d", true)
	cases := map[string]struct {
		view  View
		want  []string
		cause Cause
	}{
		"the caller's domain":              {View{Ready: []Instance{self, mate, other, far}}, []string{"mate", "self"}, Full},
		"domain lost":                      {View{Ready: []Instance{other, far}}, []string{"other"}, OtherDomain},
		"region lost":                      {View{Ready: []Instance{far}}, []string{"far"}, OtherRegion},
		"one near a limit":                 {View{Ready: []Instance{self, nearMate, other}}, []string{"self"}, Full},
		"all near a limit":                 {View{Ready: []Instance{nearSelf, nearMate, other}}, []string{"mate", "self"}, NearLimits},
		"hears nobody":                     {View{Ready: []Instance{self}, Isolated: true, LastHeard: []Instance{mate, other}, Self: "self"}, []string{"mate", "self"}, Isolated},
		"hears nobody, all near a limit":   {View{Ready: []Instance{nearSelf}, Isolated: true, LastHeard: []Instance{nearMate}, Self: "self"}, []string{"mate", "self"}, NearLimits},
		"alone in its domain, near limits": {View{Ready: []Instance{far}, Isolated: true, LastHeard: []Instance{nearMate}, Self: "far"}, []string{"mate", "far"}, NearLimits},
		"hears nobody, in another domain":  {View{Ready: []Instance{far}, Isolated: true, LastHeard: []Instance{mate}, Self: "far"}, []string{"mate", "far"}, Isolated},
		"hears nobody from the start":      {View{Ready: []Instance{self}, Isolated: true, Self: "self", Unready: []Instance{mate}}, []string{"self"}, Full},
		"not ready, hears nobody":          {View{Isolated: true, LastHeard: []Instance{mate}, Self: "self", Unready: []Instance{self}}, []string{"mate"}, NotReady},
		"just started, knows the list":     {View{Isolated: true, Self: "self", Unready: []Instance{self, mate, other}}, []string{"mate", "self"}, NotReady},
		"just started, knows nobody":       {View{Isolated: true, Self: "self", Unready: []Instance{far}}, []string{"far"}, NotReady},
		"stopping and alone":               {View{Isolated: true, Self: "self"}, []string{}, Nobody},
		"all start, one of them was ready": {View{Ready: []Instance{far}, Unready: []Instance{self, mate}}, []string{"far"}, OtherRegion},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := Choose(Caller{Address: "127.0.0.1", Region: "r", Domain: "d"}, c.view)
			if fmt.Sprint(got.Addresses) != fmt.Sprint(c.want) || got.Cause != c.cause {
				t.Errorf("got %v, cause %s, want %v, cause %s", got.Addresses, got.Cause, c.want, c.cause)
			}
			if age := got.MaxAge(2000); (age < 2000) != (c.cause == NotReady) {
				t.Errorf("the answer may be kept for %d ms", age)
			}
		})
	}
}

// TestDifferentViews guards against callers that lose connections because they ask two
// instances with different views, as the halves of a fleet have while it is cut in two: both
// answers name the same instances of those that both know, for nearly all callers.
func TestDifferentViews(t *testing.T) {
	instances := testDomain(2, 17)
	seen := answersOf(View{Ready: append(slices.Clone(instances[:5]), instances[8:]...)})
	different := 0
	for n, answer := range answersOf(View{Ready: append(slices.Clone(instances[:12]), instances[14:]...)}) {
		kept := slices.DeleteFunc(slices.Clone(answer), func(address string) bool {
			return slices.ContainsFunc(instances[5:8], func(in Instance) bool { return in.Address == address })
		})
		for _, address := range kept {
			if !slices.Contains(seen[n], address) {
				different++
				break
			}
		}
	}
	if different > testCallers/20 {
		t.Errorf("%d of %d callers get other instances", different, testCallers)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{7, 105, 1000, 5300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			const domains = 6
			instances := testDomain(size/10, size-size/10)
			for i := range instances {
				instances[i].Domain = fmt.Sprint(i % domains)
			}
			caller := testCaller(1)
			caller.Domain = "1"
			for b.Loop() {
				Choose(caller, View{Ready: instances})
			}
		})
	}
}

// TestImplausibleCapacities guards against a peer's entry with impossible figures.
func TestImplausibleCapacities(t *testing.T) {
	instances := testDomain(2, 17)
	instances[0].Capacity = Capacity{Cores: math.NaN(), MemoryMB: -5, LinkMbitPerS: math.Inf(1), Descriptors: 1e300}
	instances[1].Capacity = Capacity{Cores: math.Inf(1)}
	named := make(map[string]bool)
	for _, answer := range answersOf(View{Ready: instances}) {
		if len(answer) < minAddresses {
			t.Fatalf("an answer has %d addresses", len(answer))
		}
		for _, address := range answer {
			named[address] = true
		}
	}
	if len(named) != len(instances) {
		t.Errorf("%d instances are named, want %d", len(named), len(instances))
	}
}
