package steering

import (
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/rcrowley/go-metrics"
)

// capacity holds how many connections of each kind an instance may have open.
type capacity struct {
	callers, servers, lookups, endpoint int
}

const (
	// The parts of the descriptors for callers, for backend servers and for each of the
	// other ports, in sixteenths.
	callerSixteenths   = 10
	serverSixteenths   = 3
	endpointSixteenths = 1
	// maxLookupConnections and maxEndpointConnections limit the connections to the port
	// for lookups and to each of those for readiness and metrics, however many
	// descriptors there are.
	maxLookupConnections   = 512
	maxEndpointConnections = 64
	// endpointConnectionBytes is what a connection to one of these ports takes.
	endpointConnectionBytes = memory.ConnectionBytes + 4<<10
)

// capacityOf returns the numbers of connections that fit in the descriptors and the memory
// of an instance.
func capacityOf(s Settings) capacity {
	usable := socket.UsableDescriptors(s.MaxFDs)
	limits := memory.LimitsOf(s.MemoryMB)
	each := usable * endpointSixteenths / 16
	return capacity{
		callers:  min(usable*callerSixteenths/16, limits.MaxConnections(memory.ConnectionBytes)),
		servers:  usable * serverSixteenths / 16,
		lookups:  min(each, maxLookupConnections),
		endpoint: min(each, maxEndpointConnections),
	}
}

// capacity returns the numbers of connections under the settings in force.
func (l *liveSettings) capacity() capacity {
	return capacityOf(l.get())
}

// processor returns how many cores the instance may use; zero if that is not known.
func (s Settings) processor() float64 {
	if s.CPUShare > 0 && s.Cores > 0 {
		return s.CPUShare * s.Cores
	}
	return max(s.CPUShare, s.Cores)
}

// updateMemory frees memory if the limit has been lowered, and updates the gauges of what is
// held.
func (p process) updateMemory() {
	if excess := p.Memory.Excess(); excess > 0 {
		p.Gateway.Reclaim(memory.RequestBodies, excess)
	}
	p.Memory.Publish(p.Metrics)
	metrics.GetOrRegisterGauge("gateway.connections", p.Metrics).Update(int64(p.Gateway.Connections()))
	metrics.GetOrRegisterGauge("gateway.max_connections", p.Metrics).Update(int64(p.LiveSettings.capacity().callers))
}
