package lending

// Allocation is a part of a workspace's rate limit.
type Allocation struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the capacity of the token bucket, in requests.
	Burst float64
}

// WithAdded returns the sum of two allocations.
func (a Allocation) WithAdded(other Allocation) Allocation {
	return Allocation{Rate: a.Rate + other.Rate, Burst: a.Burst + other.Burst}
}

// WithRemoved returns the allocation minus another one.
func (a Allocation) WithRemoved(other Allocation) Allocation {
	return Allocation{Rate: a.Rate - other.Rate, Burst: a.Burst - other.Burst}
}

// WithScale returns the allocation multiplied by a factor.
func (a Allocation) WithScale(factor float64) Allocation {
	return Allocation{Rate: a.Rate * factor, Burst: a.Burst * factor}
}

// WithFloor returns the allocation with negative amounts set to zero.
func (a Allocation) WithFloor() Allocation {
	return Allocation{Rate: max(a.Rate, 0), Burst: max(a.Burst, 0)}
}

// IsZero reports whether both the rate and the burst are zero.
func (a Allocation) IsZero() bool {
	return a.Rate == 0 && a.Burst == 0
}
