package placement

// Counts counts decisions of a balancer for its metrics.
type Counts struct {
	// IsolatedLatencies are those so far above the expected latency that they counted
	// little, since the one before was not.
	IsolatedLatencies int
}

// TakeCounts returns the counts since the last call.
func (b *Balancer) TakeCounts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.counts
	b.counts = Counts{}
	return taken
}
