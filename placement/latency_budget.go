package placement

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// LatencyBudget is what bounds the time that a request may wait for a server.
	LatencyBudget struct {
		// Objective is the time within which an answer has its full use.
		Objective clock.Millis
		// Timeout is the longest time for which a caller is kept waiting.
		Timeout clock.Millis
		// Priority is the request's priority; zero goes first.
		Priority int
		// Retry is set where the caller was turned away before.
		Retry bool
	}
)

const (
	// rankStep is how much of the objective each rank gives up, in percent.
	rankStep     = 8
	maxRankSteps = 4
	// cameBackPercent is how long a request that was turned away before may
	// take, in percent of the objective. Its answer is late, but more would have
	// servers work on late answers only once there is too much to do.
	cameBackPercent = 150
)

// Limit returns the expected time up to which waiting for a slot is worth it:
// the objective for a first try, so that servers work on what can still be in
// time, less for the less urgent, and some more for a caller that has come back.
func (p LatencyBudget) Limit() clock.Millis {
	switch {
	case p.Objective <= 0:
		return p.Timeout
	case p.Retry:
		return min(p.Timeout, p.Objective*cameBackPercent/100)
	default:
		steps := clock.Millis(min(max(p.Priority, 0), maxRankSteps))
		return min(p.Timeout, p.Objective*(100-rankStep*steps)/100)
	}
}
