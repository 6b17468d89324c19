package placement

import "math"

type (
	// plan says which part of the requests that come in at one region each
	// region's servers take. Objects belong to the region of their callers, so a
	// region keeps as much as it has room for, and the rest goes where others
	// have room left. All instances of a region make the same plan from the same
	// list of servers.
	plan struct {
		// weights holds a positive weight for each region with servers.
		weights map[string]float64
	}
)

// leastWeight keeps every region in the order of choice.
const leastWeight = 1e-6

// newPlan makes the plan of a home region from the regions' capacities in
// slots, taking the demand of all regions as equal.
func newPlan(home string, regions []string, capacity map[string]float64) plan {
	total := 0.0
	for _, c := range capacity {
		total += c
	}
	p := plan{weights: make(map[string]float64, len(capacity))}
	if total <= 0 {
		return p
	}
	demand := make(map[string]float64, len(regions))
	for _, region := range regions {
		demand[region] = total / float64(len(regions))
	}
	spare := 0.0
	for region, c := range capacity {
		spare += max(0, c-demand[region])
	}
	kept := 1.0
	if demand[home] > 0 {
		kept = min(1, capacity[home]/demand[home])
	}
	for region, c := range capacity {
		w := 0.0
		if region == home {
			w = kept
		} else if spare > 0 {
			w = (1 - kept) * max(0, c-demand[region]) / spare
		}
		p.weights[region] = max(w, leastWeight)
	}
	return p
}

// order ranks regions for an object by weighted rendezvous hashing.
func (p plan) order(object uint64, region string, hash uint64) float64 {
	u := (float64(mix(object, hash)>>11) + 0.5) / (1 << 53)
	return -p.weights[region] / math.Log(u)
}
