package retry

import "testing"

// TestBudget checks that instances that retry as often as their budgets allow stay
// within the fleet's ratio and slack together, and do get some retries.
func TestBudget(t *testing.T) {
	const instances, requests = 5, 2000
	retries := 0
	budgets := make([]*Budget, instances)
	for i := range budgets {
		budgets[i] = NewBudget(BudgetConfig{Limits: func() Limits { return Limits{Ratio: 0.2, Slack: 60} }, InstanceCount: func() int { return instances }})
	}
	for i := range requests {
		b := budgets[i%instances]
		b.Deposit("s")
		for b.TryWithdraw("s") {
			retries++
		}
	}
	if most := requests*0.2 + 60; float64(retries) > most {
		t.Errorf("%d retries, want at most %.0f", retries, most)
	}
	if retries < requests/20 {
		t.Errorf("only %d retries, want at least one for each 20 requests", retries)
	}
}
