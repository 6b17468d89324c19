package placement

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// LatencyBudget determines the expected latency up to which a request may
	// queue for a server.
	LatencyBudget struct {
		// Objective is the route's latency objective.
		Objective clock.Millis
		// Timeout is the longest time a caller is kept waiting.
		Timeout clock.Millis
		// Priority is the request's priority; zero is the most urgent.
		Priority int
		// Retry is set where the caller was refused before.
		Retry bool
	}
)

const (
	// priorityStepPercent is how much of the objective each priority step takes
	// away, in percent.
	priorityStepPercent = 8
	maxPrioritySteps    = 4
	// retryPercent is how long a retry may take, in percent of the objective.
	// Such a retry may miss the objective, but with a higher limit overloaded
	// servers would work only on requests that miss it.
	retryPercent = 150
)

// Limit returns the expected latency above which a request is not worth
// queueing. For a first attempt it is at most the objective, so that servers
// work on requests that can still meet it, and lower for less urgent ones. For
// a retry it is somewhat higher.
func (b LatencyBudget) Limit() clock.Millis {
	switch {
	case b.Objective <= 0:
		return b.Timeout
	case b.Retry:
		return min(b.Timeout, b.Objective*retryPercent/100)
	default:
		steps := clock.Millis(min(max(b.Priority, 0), maxPrioritySteps))
		return min(b.Timeout, b.Objective*(100-priorityStepPercent*steps)/100)
	}
}
