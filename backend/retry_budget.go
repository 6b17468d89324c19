package backend

import "sync"

// RetryBudgets limit the retries of each workspace to a fraction of its requests.
// They are safe for concurrent use.
type RetryBudgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

const (
	// tokensPerRequest is the number of retries that each request adds to a budget.
	tokensPerRequest = 0.1
	maxTokens        = 10.0
)

// NewRetryBudgets returns budgets that start full for every workspace.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{tokens: make(map[string]float64)}
}

// Deposit adds tokens to a workspace's budget for one new request.
func (b *RetryBudgets) Deposit(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[workspace] = min(b.balance(workspace)+tokensPerRequest, maxTokens)
}

// TryWithdraw takes the token for one retry and reports whether there was one.
func (b *RetryBudgets) TryWithdraw(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(workspace)
	if balance < 1 {
		return false
	}
	b.tokens[workspace] = balance - 1
	return true
}

func (b *RetryBudgets) balance(workspace string) float64 {
	balance, ok := b.tokens[workspace]
	if !ok {
		return maxTokens
	}
	return balance
}
