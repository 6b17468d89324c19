package placement

import (
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/cespare/xxhash/v2"
)

type (
	// serviceServers holds the servers of one service by region.
	serviceServers struct {
		regions []*regionServers
		plan    regionPlan
	}

	regionServers struct {
		name    string
		hash    uint64
		servers []*serverState
	}
)

// rebuildServices groups the servers by service and region and recomputes the
// plans.
func (b *Balancer) rebuildServices() {
	b.services = make(map[string]*serviceServers)
	for _, server := range b.servers {
		s, ok := b.services[server.info.Service]
		if !ok {
			s = &serviceServers{}
			b.services[server.info.Service] = s
		}
		s.add(server)
	}
	for _, s := range b.services {
		s.plan = newRegionPlan(b.config.Region, b.config.Regions, s.capacity(b.evacuated))
	}
}

func (s *serviceServers) add(server *serverState) {
	for _, region := range s.regions {
		if region.name == server.info.Region {
			region.servers = append(region.servers, server)
			return
		}
	}
	s.regions = append(s.regions, &regionServers{
		name:    server.info.Region,
		hash:    xxhash.Sum64String(server.info.Region),
		servers: []*serverState{server},
	})
}

// capacity returns the slots of each region's servers that accept requests.
func (s *serviceServers) capacity(evacuated values.Set[string]) map[string]float64 {
	slots := make(map[string]float64, len(s.regions))
	for _, region := range s.regions {
		for _, server := range region.servers {
			if !server.info.Draining && !evacuated.Has(server.info.FailureDomain) {
				slots[region.name] += float64(server.info.Slots)
			}
		}
	}
	return slots
}
