// Package share splits a workspace's fleet-wide rate and burst over instances
// and lends parts of it between them. Every instance spends only its own part,
// so the fleet's bound holds without synchronised clocks and whatever messages
// are lost.
package share

// Allocation is a part of a workspace's rate and burst.
type Allocation struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the capacity of the token bucket, in requests.
	Burst float64
}

// Add returns the sum of two parts.
func (p Allocation) Add(other Allocation) Allocation {
	return Allocation{Rate: p.Rate + other.Rate, Burst: p.Burst + other.Burst}
}

// Sub returns the part less another one.
func (p Allocation) Sub(other Allocation) Allocation {
	return Allocation{Rate: p.Rate - other.Rate, Burst: p.Burst - other.Burst}
}

// Scale returns the part times a factor.
func (p Allocation) Scale(factor float64) Allocation {
	return Allocation{Rate: p.Rate * factor, Burst: p.Burst * factor}
}

// ClampToZero returns the part with negative amounts set to zero.
func (p Allocation) ClampToZero() Allocation {
	return Allocation{Rate: max(p.Rate, 0), Burst: max(p.Burst, 0)}
}

// IsZero reports whether the part lends nothing.
func (p Allocation) IsZero() bool {
	return p.Rate == 0 && p.Burst == 0
}
