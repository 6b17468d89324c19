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
	// baselineBalancer is a simple balancer that knows no more than the load
	// that servers reported last.
	baselineBalancer struct {
		// servers holds the servers of each service.
		servers map[string][]placement.Server
		pick    pickFunc
		// reportedLoad holds the last reported load of each server.
		reportedLoad map[string]int
	}

	// pickFunc chooses one of the servers that were not tried yet.
	pickFunc func(servers []placement.Server, q placement.Query) placement.Server

	// strategy creates the pickFunc of one entry instance.
	strategy func(random *rand.Rand, b *baselineBalancer) pickFunc
)

// newBaseline returns a policy whose balancers choose servers by the given strategy.
func newBaseline(s strategy) Policy {
	return func(_ Config, _ Instance, servers []placement.Server, random *rand.Rand) Balancer {
		b := &baselineBalancer{servers: make(map[string][]placement.Server), reportedLoad: make(map[string]int)}
		for _, server := range servers {
			b.servers[server.Service] = append(b.servers[server.Service], server)
		}
		b.pick = s(random, b)
		return b
	}
}

// Choose implements Balancer.
func (b *baselineBalancer) Choose(_ clock.Millis, q placement.Query) (string, *placement.Refusal) {
	var candidates []placement.Server
	for _, server := range b.servers[q.Service] {
		if !q.Exclude.Has(server.ID) && q.RegionAllowed(server.Region) {
			candidates = append(candidates, server)
		}
	}
	if len(candidates) == 0 {
		return "", &placement.Refusal{Reason: "no server may take the request", RetryAfter: clock.Second}
	}
	return b.pick(candidates, q).ID, nil
}

// Done implements Balancer.
func (b *baselineBalancer) Done(_ clock.Millis, id string, _ placement.Query, result placement.Result) {
	b.reportedLoad[id] = result.Load
}

func pickRandom(random *rand.Rand, _ *baselineBalancer) pickFunc {
	return func(servers []placement.Server, _ placement.Query) placement.Server {
		return servers[random.IntN(len(servers))]
	}
}

func pickRoundRobin(random *rand.Rand, _ *baselineBalancer) pickFunc {
	next := random.IntN(1 << 16)
	return func(servers []placement.Server, _ placement.Query) placement.Server {
		next++
		return servers[next%len(servers)]
	}
}

// pickLeastReportedLoad starts its search at a random server, so that different
// instances pick different servers among those of equal load.
func pickLeastReportedLoad(random *rand.Rand, b *baselineBalancer) pickFunc {
	return func(servers []placement.Server, _ placement.Query) placement.Server {
		start := random.IntN(len(servers))
		best := servers[start]
		for i := range servers {
			if server := servers[(start+i)%len(servers)]; b.reportedLoad[server.ID] < b.reportedLoad[best.ID] {
				best = server
			}
		}
		return best
	}
}

func pickByObjectHash(*rand.Rand, *baselineBalancer) pickFunc {
	return func(servers []placement.Server, q placement.Query) placement.Server {
		return slices.MaxFunc(servers, func(x, y placement.Server) int {
			return cmp.Compare(rendezvousScore(x, q.Object), rendezvousScore(y, q.Object))
		})
	}
}

// rendezvousScore ranks a server for an object by rendezvous hashing.
func rendezvousScore(s placement.Server, object uint64) uint64 {
	return xxhash.Sum64String(s.ID + "/" + strconv.FormatUint(object, 10))
}
