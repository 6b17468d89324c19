package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/cespare/xxhash/v2"
)

// neighbors returns the members of a list that an instance exchanges updates with:
// on a ring ordered by the hashes of names, those at distances 1, 2, 4, 8 and so on
// from the instance. Both their number and the number of hops to reach all members
// grow with the logarithm of the list's length (Stoica et al., Chord, 2001).
func neighbors(self *wire.FleetInstance, list []*wire.FleetInstance) []*wire.FleetInstance {
	type ringPosition struct {
		distance uint64
		member   *wire.FleetInstance
	}
	origin := xxhash.Sum64String(self.GetInstance())
	ring := make([]ringPosition, 0, len(list))
	for _, member := range list {
		ring = append(ring, ringPosition{xxhash.Sum64String(member.GetInstance()) - origin, member})
	}
	slices.SortFunc(ring, func(a, b ringPosition) int { return cmp.Compare(a.distance, b.distance) })
	var out []*wire.FleetInstance
	for step := 1; step <= len(ring); step *= 2 {
		out = append(out, ring[step-1].member)
	}
	return out
}

// sample returns up to limit members of a list, chosen at random.
func sample(list []*wire.FleetInstance, limit int) []*wire.FleetInstance {
	list = slices.Clone(list)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), limit)]
}
