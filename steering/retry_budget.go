package steering

import "sync"

type (
	// RetryBudgetConfig configures a RetryBudget.
	RetryBudgetConfig struct {
		// Bounds returns the bounds in force, among them the fleet's retry ratio
		// and slack.
		Bounds func() Bounds
		// InstanceCount returns how many instances share the slack.
		InstanceCount func() int
	}

	// RetryBudget limits the retries to each service to a fraction of the requests
	// for it, with a token bucket for each service. It is safe for concurrent use.
	RetryBudget struct {
		config RetryBudgetConfig

		mu     sync.Mutex
		tokens map[string]float64
	}
)

const (
	// ratioFraction is the fraction of the fleet's retry ratio that is used.
	ratioFraction = 0.6
	// slackFraction is the fraction of the fleet's retry slack that is used.
	slackFraction = 0.5
)

// NewRetryBudget returns a budget in which each service starts with this instance's
// equal share of the fleet's slack.
func NewRetryBudget(config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config, tokens: make(map[string]float64)}
}

// Deposit adds the fraction of a retry that one request to a service earns.
func (b *RetryBudget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.balance(service)+b.config.Bounds().RetryRatio*ratioFraction, b.capacity())
}

// TryWithdraw takes one retry to a service and reports whether one was available.
func (b *RetryBudget) TryWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(service)
	if balance < 1 {
		return false
	}
	b.tokens[service] = balance - 1
	return true
}

// capacity returns the most retries that a service can save up: this instance's share
// of the fleet's slack, but at least one.
func (b *RetryBudget) capacity() float64 {
	return max(1, b.config.Bounds().RetrySlack*slackFraction/float64(max(b.config.InstanceCount(), 1)))
}

// balance returns the retries available to a service. The caller must hold the lock.
func (b *RetryBudget) balance(service string) float64 {
	balance, ok := b.tokens[service]
	if !ok {
		return b.capacity()
	}
	return balance
}
