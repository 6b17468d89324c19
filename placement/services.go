package placement

import (
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/cespare/xxhash/v2"
)

type (
	// serviceServers are the servers of one service.
	serviceServers struct {
		regions []*regionServers
		plan    plan
	}

	regionServers struct {
		name    string
		hash    uint64
		servers []*record
	}
)

// regroup sorts the servers by service and region and makes the plans anew.
func (t *Balancer) regroup() {
	t.services = make(map[string]*serviceServers)
	for _, r := range t.servers {
		s, ok := t.services[r.info.Service]
		if !ok {
			s = &serviceServers{}
			t.services[r.info.Service] = s
		}
		s.add(r)
	}
	for _, s := range t.services {
		s.plan = newPlan(t.config.Region, t.config.Regions, s.capacity(t.evacuated))
	}
}

func (s *serviceServers) add(r *record) {
	for _, region := range s.regions {
		if region.name == r.info.Region {
			region.servers = append(region.servers, r)
			return
		}
	}
	s.regions = append(s.regions, &regionServers{
		name:    r.info.Region,
		hash:    xxhash.Sum64String(r.info.Region),
		servers: []*record{r},
	})
}

// capacity returns the slots of each region that take requests.
func (s *serviceServers) capacity(evacuated values.Set[string]) map[string]float64 {
	slots := make(map[string]float64, len(s.regions))
	for _, region := range s.regions {
		for _, r := range region.servers {
			if !r.info.Draining && !evacuated.Has(r.info.FailureDomain) {
				slots[region.name] += float64(r.info.Slots)
			}
		}
	}
	return slots
}
