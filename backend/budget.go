package backend

import "sync"

// RetryBudgets bound each workspace's retries to a share of its requests. They are
// safe for concurrent use.
type RetryBudgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

const (
	// retryShare is how much of a retry each request earns.
	retryShare = 0.1
	maxRetries = 10.0
)

// NewRetryBudgets returns budgets that hold a few retries for every workspace.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{tokens: make(map[string]float64)}
}

// Earn notes a request of a workspace.
func (b *RetryBudgets) Earn(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[workspace] = min(b.level(workspace)+retryShare, maxRetries)
}

// Spend takes one retry and reports whether there was one.
func (b *RetryBudgets) Spend(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	level := b.level(workspace)
	if level < 1 {
		return false
	}
	b.tokens[workspace] = level - 1
	return true
}

func (b *RetryBudgets) level(workspace string) float64 {
	level, ok := b.tokens[workspace]
	if !ok {
		return maxRetries
	}
	return level
}
