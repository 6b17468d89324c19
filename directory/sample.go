package directory

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// weighted is an instance with its share of the work.
	weighted struct {
		Instance
		weight float64
		// rank is its position in the caller's order; the lowest are chosen.
		rank float64
	}

	// numbers are a caller's permanent random numbers, one for each name: the hashes of
	// names after these bytes.
	numbers []byte

	// resource is one of the resources of an instance.
	resource struct {
		amount func(Capacity) float64
		// perCore is how much of it one core of work uses.
		perCore float64
	}
)

const (
	// alikeRatio is the ratio of the smallest to the largest weight from which instances
	// count as alike and are all named.
	alikeRatio = 0.9
)

// resources are compared in units of what one core of work uses: cores, MiB of memory, Mbit/s
// of the network link and file descriptors. The figures are estimates for 5,000 requests a
// second of 2.5 KB in and out: only a resource that is much scarcer than the processor lowers
// an instance's weight.
var resources = []resource{
	{amount: func(c Capacity) float64 { return c.Cores }, perCore: 1},
	{amount: func(c Capacity) float64 { return c.MemoryMB }, perCore: 512},
	{amount: func(c Capacity) float64 { return c.LinkMbitPerS }, perCore: 100},
	{amount: func(c Capacity) float64 { return c.Descriptors }, perCore: 8192},
}

// sample returns the instances that a caller is sent to, in the order of their names. Over
// all callers each instance gets a share of the work in proportion to its weight.
func sample(caller Caller, instances []Instance) []Instance {
	all := weigh(instances)
	if !caller.Shared {
		all = newPlan(all).choose(caller, all)
	}
	all = draw(caller, all, MaxAddresses)
	chosen := make([]Instance, 0, len(all))
	for _, in := range all {
		chosen = append(chosen, in.Instance)
	}
	slices.SortFunc(chosen, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return chosen
}

// weigh returns the instances with their weights, the largest first: the least of their
// resources, in cores of work. An unknown resource counts as the median of the others'. All
// weights are equal if no resource is known or if the instances are nearly alike.
func weigh(instances []Instance) []weighted {
	out := make([]weighted, len(instances))
	for i, in := range instances {
		out[i] = weighted{Instance: in, weight: math.Inf(1)}
	}
	for _, r := range resources {
		amounts := knownAmounts(instances, r.amount)
		if amounts == nil {
			continue
		}
		for i, amount := range amounts {
			out[i].weight = min(out[i].weight, amount/r.perCore)
		}
	}
	least, largest := math.Inf(1), 0.0
	for _, in := range out {
		least, largest = min(least, in.weight), max(largest, in.weight)
	}
	for i := range out {
		if math.IsInf(largest, 1) || least >= alikeRatio*largest {
			out[i].weight = 1
		}
	}
	slices.SortFunc(out, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// knownAmounts returns the instances' amounts of a resource, with the median in place of
// unknown ones, or nil if none is known.
func knownAmounts(instances []Instance, amount func(Capacity) float64) []float64 {
	amounts := make([]float64, len(instances))
	var known []float64
	for i, in := range instances {
		if amounts[i] = amount(in.Capacity); amounts[i] > 0 {
			known = append(known, amounts[i])
		}
	}
	if len(known) == 0 {
		return nil
	}
	if len(known) == len(amounts) {
		return amounts
	}
	slices.Sort(known)
	for i, a := range amounts {
		if !(a > 0) {
			amounts[i] = known[len(known)/2]
		}
	}
	return amounts
}

// draw returns a number of the instances, or all if there are no more. It is Pareto sampling
// (Rosén, 1997) with the caller's hash of each instance as its permanent random number: each
// instance is chosen with a probability in proportion to its weight, and a change of one
// instance changes few choices.
func draw(caller Caller, all []weighted, count int) []weighted {
	if count >= len(all) {
		return all
	}
	probabilities, numbers := inclusion(all, count), newNumbers(caller)
	for i := range all {
		p, u := probabilities[i], numbers.of(all[i].Name)
		all[i].rank = u * (1 - p) / ((1 - u) * p)
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
	})
	return all[:count]
}

// inclusion returns the probability with which each instance is in an answer of a size. It
// is in proportion to the weights, but at most one.
func inclusion(all []weighted, size int) []float64 {
	out := make([]float64, len(all))
	certain := 0
	for {
		total := 0.0
		for i, in := range all {
			if out[i] < 1 {
				total += in.weight
			}
		}
		more := 0
		for i, in := range all {
			if out[i] >= 1 {
				continue
			}
			out[i] = float64(size-certain) * in.weight / total
			if out[i] >= 1 {
				out[i] = 1
				more++
			}
		}
		if more == 0 {
			return out
		}
		if certain += more; certain >= size {
			return out
		}
	}
}

// newNumbers returns the permanent random numbers of a caller.
func newNumbers(caller Caller) numbers {
	return numbers(caller.Address + "\x00" + caller.Region + "\x00" + caller.Domain + "\x00")
}

// of returns a number in (0, 1) that is fixed for the caller and a name.
func (n numbers) of(name string) float64 {
	const bits = 53
	hash := xxhash.Sum64(append(n, name...))
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}
