// Package retry decides which failed requests may be sent again: over the whole fleet no more
// than a part of the requests to a service, so that retries do not overload what is left of it.
package retry

import "sync"

type (
	// Limits are the limits of the fleet.
	Limits struct {
		// Ratio is the number of retries to a service for each request to it.
		Ratio float64
		// Slack is the number of retries per service and window in addition.
		Slack float64
	}

	// BudgetConfig configures a Budget.
	BudgetConfig struct {
		// Limits returns the limits in force.
		Limits func() Limits
		// InstanceCount returns how many instances share the slack.
		InstanceCount func() int
	}

	// Budget limits the retries to each service to a fraction of the requests
	// for it, with a token bucket for each service. It is safe for concurrent use.
	Budget struct {
		config BudgetConfig

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

// NewBudget returns a budget in which each service starts with this instance's
// equal share of the fleet's slack.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, tokens: make(map[string]float64)}
}

// Deposit adds the fraction of a retry that one request to a service earns.
func (b *Budget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.balance(service)+b.config.Limits().Ratio*ratioFraction, b.capacity())
}

// TryWithdraw takes one retry to a service and reports whether one was available.
func (b *Budget) TryWithdraw(service string) bool {
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
func (b *Budget) capacity() float64 {
	return max(1, b.config.Limits().Slack*slackFraction/float64(max(b.config.InstanceCount(), 1)))
}

// balance returns the retries available to a service. The caller must hold the lock.
func (b *Budget) balance(service string) float64 {
	balance, ok := b.tokens[service]
	if !ok {
		return b.capacity()
	}
	return balance
}
