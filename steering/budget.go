package steering

import "sync"

type (
	// RetryBudgetConfig configures a retry budget.
	RetryBudgetConfig struct {
		// Bounds returns the retry ratio and slack of the fleet.
		Bounds func() Bounds
		// InstanceCount returns how many instances share the slack.
		InstanceCount func() int
	}

	// RetryBudget bounds the retries to each service to a part of the requests for
	// it. It is safe for concurrent use.
	RetryBudget struct {
		config RetryBudgetConfig

		mu     sync.Mutex
		tokens map[string]float64
	}
)

const (
	// ratioFraction is the part of the fleet's ratio that is used.
	ratioFraction = 0.6
	// slackFraction is the part of the fleet's slack that is used.
	slackFraction = 0.5
)

// NewRetryBudget returns a budget with an equal part of the slack for each service.
func NewRetryBudget(config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config, tokens: make(map[string]float64)}
}

// Deposit notes a request for a service.
func (b *RetryBudget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.balance(service)+b.config.Bounds().RetryRatio*ratioFraction, b.capacity())
}

// TryWithdraw takes one retry to a service and reports whether there was one.
func (b *RetryBudget) TryWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	level := b.balance(service)
	if level < 1 {
		return false
	}
	b.tokens[service] = level - 1
	return true
}

func (b *RetryBudget) capacity() float64 {
	return max(1, b.config.Bounds().RetrySlack*slackFraction/float64(max(b.config.InstanceCount(), 1)))
}

func (b *RetryBudget) balance(service string) float64 {
	level, ok := b.tokens[service]
	if !ok {
		return b.capacity()
	}
	return level
}
