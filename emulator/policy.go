package emulator

import (
	"math/rand/v2"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
)

type (
	// Balancer assigns requests to servers at one entry instance.
	Balancer interface {
		// Choose returns the ID of a server, or a refusal that says when to
		// retry.
		Choose(now clock.Millis, q placement.Query) (id string, refusal *placement.Refusal)
		// Done reports the result of a request that was sent to a server.
		Done(now clock.Millis, id string, q placement.Query, result placement.Result)
	}

	// Policy creates the balancer of an entry instance.
	Policy func(c Config, in Instance, servers []placement.Server, random *rand.Rand) Balancer

	// serverLister is a balancer that can be told of replaced servers.
	serverLister interface {
		SetServers(now clock.Millis, servers []placement.Server)
	}

	// productBalancer adapts placement.Balancer, which the product uses.
	productBalancer struct {
		balancer *placement.Balancer
		// pending holds the choices that are not released yet, oldest first.
		pending map[choiceKey][]*placement.Choice
		// admits is set where the instance decides on admission too.
		admits bool
	}

	// choiceKey identifies a choice by the arguments of Done.
	choiceKey struct {
		server string
		object uint64
		route  string
	}
)

// Policies maps names to the product's policy and to the baselines that it is
// compared with.
var Policies = map[string]Policy{
	"product":             newProductBalancer,
	"random":              newBaseline(pickRandom),
	"round robin":         newBaseline(pickRoundRobin),
	"least reported load": newBaseline(pickLeastReportedLoad),
	"object hash":         newBaseline(pickByObjectHash),
}

// PlacementOnly is the product's policy without the decisions on admission: each request is
// sent or refused at once. It shows what these decisions change.
var PlacementOnly Policy = newPlacementBalancer

// newProductBalancer returns a balancer of an instance that decides on admission too.
func newProductBalancer(c Config, in Instance, servers []placement.Server, random *rand.Rand) Balancer {
	p := newPlacementBalancer(c, in, servers, random).(*productBalancer)
	p.admits = true
	return p
}

// newPlacementBalancer returns the product's balancer alone.
func newPlacementBalancer(c Config, in Instance, servers []placement.Server, random *rand.Rand) Balancer {
	d := in.Domain
	regions := values.NewSet[string]()
	var members []string
	for _, other := range c.FailureDomains {
		regions = regions.With(other.Region)
		for _, member := range other.instances() {
			members = append(members, member.Name)
		}
	}
	balancer := placement.NewBalancer(placement.BalancerConfig{FailureDomain: d.Name, Region: d.Region, Regions: regions.Sorted(), ColdOverage: 1, ColdSlack: 1, Random: random})
	limits := make(map[string]routing.Service)
	for _, s := range c.Services {
		limits[s.Name] = routing.Service{Name: s.Name, MaxConnections: 1000}
	}
	balancer.SetServices(limits)
	balancer.SetFleet(placement.Fleet{Self: in.Name, Members: members})
	balancer.SetServers(0, servers)
	for _, region := range regions.Sorted() {
		balancer.SetRoundTrip(region, 2*c.delay(d.Region, region))
	}
	return &productBalancer{balancer: balancer, pending: make(map[choiceKey][]*placement.Choice)}
}

// SetServers implements serverLister.
func (p *productBalancer) SetServers(now clock.Millis, servers []placement.Server) {
	p.balancer.SetServers(now, servers)
}

// Choose implements Balancer.
func (p *productBalancer) Choose(now clock.Millis, q placement.Query) (string, *placement.Refusal) {
	choice, refusal := p.balancer.Choose(now, q)
	if refusal != nil {
		return "", refusal
	}
	key := choiceKey{choice.Server.ID, q.Object, q.Route}
	p.pending[key] = append(p.pending[key], choice)
	return choice.Server.ID, nil
}

// Done implements Balancer. It releases the oldest choice with the same key.
func (p *productBalancer) Done(now clock.Millis, id string, q placement.Query, result placement.Result) {
	key := choiceKey{id, q.Object, q.Route}
	choice := p.pending[key][0]
	p.pending[key] = p.pending[key][1:]
	p.balancer.Done(now, choice, result)
}
