package placement

import "github.com/bulrushferry/bulrushferry/values"

// serviceServers holds the servers of one service by region.
type serviceServers struct {
	regions []*regionServers
	plan    regionPlan
}

// region returns the servers of a region and creates the region if there is none.
func (s *serviceServers) region(name string) *regionServers {
	for _, region := range s.regions {
		if region.name == name {
			return region
		}
	}
	region := newRegionServers(name)
	s.regions = append(s.regions, region)
	return region
}

// capacity returns the slots of each region's servers that accept requests.
func (s *serviceServers) capacity() map[string]float64 {
	slots := make(map[string]float64, len(s.regions))
	for _, region := range s.regions {
		slots[region.name] = float64(region.slots)
	}
	return slots
}

// group adds a server to those of its service and region.
func (b *Balancer) group(s *serverState) {
	service, ok := b.services[s.info.Service]
	if !ok {
		service = &serviceServers{}
		b.services[s.info.Service] = service
	}
	b.accept(s)
	service.region(s.info.Region).add(s)
}

// accept sets how many slots of a server accept requests.
func (b *Balancer) accept(s *serverState) {
	s.evacuated = b.evacuated.Has(s.info.FailureDomain)
	s.acceptedSlots = 0
	if !s.info.Draining && !s.evacuated {
		s.acceptedSlots = s.info.Slots
	}
}

// ungroup removes a server from those of its service and region.
func (b *Balancer) ungroup(s *serverState) {
	service := b.services[s.info.Service]
	region := service.region(s.info.Region)
	region.remove(s)
	if len(region.servers) > 0 {
		return
	}
	for i, other := range service.regions {
		if other == region {
			service.regions = append(service.regions[:i], service.regions[i+1:]...)
			break
		}
	}
	if len(service.regions) == 0 {
		delete(b.services, s.info.Service)
	}
}

// sortRings sorts the rings of services to which servers were added.
func (b *Balancer) sortRings(changed values.Set[string]) {
	for _, name := range changed.Sorted() {
		if service := b.services[name]; service != nil {
			for _, region := range service.regions {
				region.sortRing()
			}
		}
	}
}

// replan computes the plans of services whose servers have changed.
func (b *Balancer) replan(changed values.Set[string]) {
	for _, name := range changed.Sorted() {
		if service := b.services[name]; service != nil {
			service.plan = newRegionPlan(b.config.Region, b.config.Regions, service.capacity())
		}
	}
}
