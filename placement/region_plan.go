package placement

import "math"

type (
	// regionPlan is the share of the requests arriving in one region that each
	// region's servers handle. Objects belong to the region of their callers,
	// so a region keeps as many requests as it has capacity for, and the rest
	// goes to regions with spare capacity. All instances of a region derive the
	// same plan from the same list of servers.
	regionPlan struct {
		// weights holds a positive weight for each region with servers.
		weights map[string]float64
	}
)

// minRegionWeight keeps every region in the ranking.
const minRegionWeight = 1e-6

// newRegionPlan returns the plan of a home region, given the capacity of each
// region in slots. It assumes equal demand in all regions.
func newRegionPlan(home string, regions []string, capacity map[string]float64) regionPlan {
	total := 0.0
	for _, c := range capacity {
		total += c
	}
	p := regionPlan{weights: make(map[string]float64, len(capacity))}
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
	keptShare := 1.0
	if demand[home] > 0 {
		keptShare = min(1, capacity[home]/demand[home])
	}
	for region, c := range capacity {
		weight := 0.0
		if region == home {
			weight = keptShare
		} else if spare > 0 {
			weight = (1 - keptShare) * max(0, c-demand[region]) / spare
		}
		p.weights[region] = max(weight, minRegionWeight)
	}
	return p
}

// score ranks a region for an object by weighted rendezvous hashing.
func (p regionPlan) score(object uint64, region string, hash uint64) float64 {
	u := (float64(mixHashes(object, hash)>>11) + 0.5) / (1 << 53)
	return -p.weights[region] / math.Log(u)
}
