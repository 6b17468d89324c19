package emulator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/cespare/xxhash/v2"
)

type (
	// baseline places by a rule that needs no more than the servers' last reports.
	baseline struct {
		servers map[string][]placement.Server
		pick    pick
		// load holds the load that each server reported last.
		load map[string]int
	}

	// pick chooses one of the servers that may take a request.
	pick func(servers []placement.Server, q placement.Query) placement.Server

	// rule makes the choice of one instance.
	rule func(random *rand.Rand, b *baseline) pick
)

// newBaseline returns the policy of a rule.
func newBaseline(r rule) Policy {
	return func(_ Config, _ FailureDomain, servers []placement.Server, random *rand.Rand) Balancer {
		b := &baseline{servers: make(map[string][]placement.Server), load: make(map[string]int)}
		for _, info := range servers {
			b.servers[info.Service] = append(b.servers[info.Service], info)
		}
		b.pick = r(random, b)
		return b
	}
}

// Choose implements Placer.
func (b *baseline) Choose(_ clock.Millis, q placement.Query) (string, *placement.Refusal) {
	var left []placement.Server
	for _, info := range b.servers[q.Service] {
		if !q.Exclude.Has(info.ID) {
			left = append(left, info)
		}
	}
	return b.pick(left, q).ID, nil
}

// Done implements Placer.
func (b *baseline) Done(_ clock.Millis, id string, _ placement.Query, report placement.Result) {
	b.load[id] = report.Load
}

func pickRandom(random *rand.Rand, _ *baseline) pick {
	return func(servers []placement.Server, _ placement.Query) placement.Server {
		return servers[random.IntN(len(servers))]
	}
}

func pickInTurn(random *rand.Rand, _ *baseline) pick {
	next := random.IntN(1 << 16)
	return func(servers []placement.Server, _ placement.Query) placement.Server {
		next++
		return servers[next%len(servers)]
	}
}

// pickLeastLoad begins at a random server, so that equal loads do not draw all
// instances to one.
func pickLeastLoad(random *rand.Rand, b *baseline) pick {
	return func(servers []placement.Server, _ placement.Query) placement.Server {
		start := random.IntN(len(servers))
		best := servers[start]
		for i := range servers {
			if next := servers[(start+i)%len(servers)]; b.load[next.ID] < b.load[best.ID] {
				best = next
			}
		}
		return best
	}
}

func pickByObject(*rand.Rand, *baseline) pick {
	return func(servers []placement.Server, q placement.Query) placement.Server {
		return slices.MaxFunc(servers, func(x, y placement.Server) int {
			return cmp.Compare(rendezvous(x, q.Object), rendezvous(y, q.Object))
		})
	}
}

// rendezvous scores a server for an object.
func rendezvous(s placement.Server, object uint64) uint64 {
	return xxhash.Sum64String(s.ID + "/" + strconv.FormatUint(object, 10))
}
