package emulator

import (
	"math/rand/v2"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
)

type (
	// Balancer decides at one instance where requests go.
	Balancer interface {
		// Choose returns the id of a server, or when to come back.
		Choose(now clock.Millis, q placement.Query) (id string, refusal *placement.Refusal)
		// Done tells what became of a request that was placed last at a server.
		Done(now clock.Millis, id string, q placement.Query, report placement.Result)
	}

	// Policy makes the placer of an instance.
	Policy func(c Config, d FailureDomain, servers []placement.Server, random *rand.Rand) Balancer

	// product is the placing of the product.
	product struct {
		table  *placement.Balancer
		chosen map[choiceKey][]*placement.Choice
	}

	choiceKey struct {
		server string
		object uint64
		route  string
	}
)

// Policies are the product's placing and the baselines, by name.
var Policies = map[string]Policy{
	"product":             newProduct,
	"random":              newBaseline(pickRandom),
	"round robin":         newBaseline(pickInTurn),
	"least reported load": newBaseline(pickLeastLoad),
	"object hash":         newBaseline(pickByObject),
}

func newProduct(c Config, d FailureDomain, servers []placement.Server, random *rand.Rand) Balancer {
	regions := values.NewSet[string]()
	var members []string
	for _, other := range c.FailureDomains {
		regions = regions.With(other.Region)
		members = append(members, other.Name)
	}
	table := placement.NewBalancer(placement.BalancerConfig{FailureDomain: d.Name, Region: d.Region, Regions: regions.Sorted(), ColdOverage: 1, ColdSlack: 1, Random: random})
	limits := make(map[string]routing.Service)
	for _, s := range c.Services {
		limits[s.Name] = routing.Service{Name: s.Name, MaxConnections: 1000}
	}
	table.SetServices(limits)
	table.SetFleet(placement.Fleet{Self: d.Name, Members: members})
	table.SetServers(0, servers)
	for _, region := range regions.Sorted() {
		table.SetRoundTrip(region, 2*c.delay(d.Region, region))
	}
	return &product{table: table, chosen: make(map[choiceKey][]*placement.Choice)}
}

// Choose implements Placer.
func (p *product) Choose(now clock.Millis, q placement.Query) (string, *placement.Refusal) {
	choice, refusal := p.table.Choose(now, q)
	if refusal != nil {
		return "", refusal
	}
	key := choiceKey{choice.Server.ID, q.Object, q.Route}
	p.chosen[key] = append(p.chosen[key], choice)
	return choice.Server.ID, nil
}

// Done implements Placer.
func (p *product) Done(now clock.Millis, id string, q placement.Query, report placement.Result) {
	key := choiceKey{id, q.Object, q.Route}
	choice := p.chosen[key][0]
	p.chosen[key] = p.chosen[key][1:]
	p.table.Done(now, choice, report)
}
