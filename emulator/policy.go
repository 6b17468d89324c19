package emulator

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/cespare/xxhash/v2"
)

type (
	// Placer decides at one instance where requests go.
	Placer interface {
		// Place returns the id of a server, or when to come back.
		Place(now clock.Millis, q placement.Query) (id string, refusal *placement.Refusal)
		// Done tells what became of a request that was placed last at a server.
		Done(now clock.Millis, id string, q placement.Query, report placement.Report)
	}

	// Policy makes the placer of an instance.
	Policy func(c Config, d Domain, servers []placement.Server, random *rand.Rand) Placer

	// product is the placing of the product.
	product struct {
		table  *placement.Table
		chosen map[choiceKey][]*placement.Choice
	}

	choiceKey struct {
		server string
		object uint64
		route  string
	}

	// simple is a policy without knowledge of its own.
	simple struct {
		servers map[string][]placement.Server
		pick    func(servers []placement.Server, q placement.Query) placement.Server
		load    map[string]int
	}
)

// Policies are the product's placing and the baselines, by name.
var Policies = map[string]Policy{
	"product": newProduct,
	"random": newSimple(func(random *rand.Rand, _ *simple) func([]placement.Server, placement.Query) placement.Server {
		return func(servers []placement.Server, _ placement.Query) placement.Server {
			return servers[random.IntN(len(servers))]
		}
	}),
	"round robin": newSimple(func(random *rand.Rand, _ *simple) func([]placement.Server, placement.Query) placement.Server {
		next := random.IntN(1 << 16)
		return func(servers []placement.Server, _ placement.Query) placement.Server {
			next++
			return servers[next%len(servers)]
		}
	}),
	"least reported load": newSimple(func(random *rand.Rand, s *simple) func([]placement.Server, placement.Query) placement.Server {
		return func(servers []placement.Server, _ placement.Query) placement.Server {
			start := random.IntN(len(servers))
			best := servers[start]
			for i := range servers {
				if next := servers[(start+i)%len(servers)]; s.load[next.ID] < s.load[best.ID] {
					best = next
				}
			}
			return best
		}
	}),
	"object hash": newSimple(func(*rand.Rand, *simple) func([]placement.Server, placement.Query) placement.Server {
		return func(servers []placement.Server, q placement.Query) placement.Server {
			return slices.MaxFunc(servers, func(a, b placement.Server) int {
				if rendezvous(a, q.Object) < rendezvous(b, q.Object) {
					return -1
				}
				return 1
			})
		}
	}),
}

// rendezvous scores a server for an object.
func rendezvous(s placement.Server, object uint64) uint64 {
	return xxhash.Sum64String(s.ID + "/" + strconv.FormatUint(object, 10))
}

func newProduct(c Config, d Domain, servers []placement.Server, random *rand.Rand) Placer {
	regions := values.NewSet[string]()
	var members []string
	for _, other := range c.Domains {
		regions = regions.With(other.Region)
		members = append(members, other.Name)
	}
	table := placement.NewTable(placement.TableConfig{FailureDomain: d.Name, Region: d.Region, Regions: regions.Sorted(), ColdOverage: 1, ColdSlack: 1, Random: random})
	limits := make(map[string]routing.Service)
	for _, s := range c.Services {
		limits[s.Name] = routing.Service{Name: s.Name, MaxConnections: 1000}
	}
	table.Configure(limits)
	table.SetFleet(placement.Fleet{Self: d.Name, Members: members})
	table.Update(0, servers)
	for _, region := range regions.Sorted() {
		table.SetDistance(region, 2*c.delay(d.Region, region))
	}
	return &product{table: table, chosen: make(map[choiceKey][]*placement.Choice)}
}

// Place implements Placer.
func (p *product) Place(now clock.Millis, q placement.Query) (string, *placement.Refusal) {
	choice, refusal := p.table.Choose(now, q)
	if refusal != nil {
		return "", refusal
	}
	key := choiceKey{choice.Server.ID, q.Object, q.Route}
	p.chosen[key] = append(p.chosen[key], choice)
	return choice.Server.ID, nil
}

// Done implements Placer.
func (p *product) Done(now clock.Millis, id string, q placement.Query, report placement.Report) {
	key := choiceKey{id, q.Object, q.Route}
	choice := p.chosen[key][0]
	p.chosen[key] = p.chosen[key][1:]
	p.table.Done(now, choice, report)
}

func newSimple(make func(random *rand.Rand, s *simple) func([]placement.Server, placement.Query) placement.Server) Policy {
	return func(_ Config, _ Domain, servers []placement.Server, random *rand.Rand) Placer {
		s := &simple{servers: map[string][]placement.Server{}, load: map[string]int{}}
		for _, info := range servers {
			s.servers[info.Service] = append(s.servers[info.Service], info)
		}
		s.pick = make(random, s)
		return s
	}
}

// Place implements Placer.
func (s *simple) Place(_ clock.Millis, q placement.Query) (string, *placement.Refusal) {
	var left []placement.Server
	for _, info := range s.servers[q.Service] {
		if !q.Except.Has(info.ID) {
			left = append(left, info)
		}
	}
	return s.pick(left, q).ID, nil
}

// Done implements Placer.
func (s *simple) Done(_ clock.Millis, id string, _ placement.Query, report placement.Report) {
	s.load[id] = report.Load
}
