// Package lending divides a workspace's fleet-wide rate limit, a rate and a burst,
// among the instances, which lend parts of it to each other. Each instance spends
// only its own allocation, so the fleet stays within the limit without synchronised
// clocks and no matter which messages are lost.
package lending

// Allocation is a part of a workspace's rate limit.
type Allocation struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the capacity of the token bucket, in requests.
	Burst float64
}

// WithAdded returns the sum of two allocations.
func (p Allocation) WithAdded(other Allocation) Allocation {
	return Allocation{Rate: p.Rate + other.Rate, Burst: p.Burst + other.Burst}
}

// WithRemoved returns the allocation minus another one.
func (p Allocation) WithRemoved(other Allocation) Allocation {
	return Allocation{Rate: p.Rate - other.Rate, Burst: p.Burst - other.Burst}
}

// WithScale returns the allocation multiplied by a factor.
func (p Allocation) WithScale(factor float64) Allocation {
	return Allocation{Rate: p.Rate * factor, Burst: p.Burst * factor}
}

// WithFloor returns the allocation with negative amounts set to zero.
func (p Allocation) WithFloor() Allocation {
	return Allocation{Rate: max(p.Rate, 0), Burst: max(p.Burst, 0)}
}

// IsZero reports whether both the rate and the burst are zero.
func (p Allocation) IsZero() bool {
	return p.Rate == 0 && p.Burst == 0
}
