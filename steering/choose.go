package steering

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
)

const (
	// stopLatencyFactor is how many times its expected latency a request must have left
	// before the instance stops.
	stopLatencyFactor = 2
	// stopPeakPercent is the same for the longest time that a server has taken lately, in
	// percent, for requests that may not be repeated.
	stopPeakPercent = 125
)

// placementQuery describes the request to the balancer. Servers in tried are excluded;
// left is the time until the deadline.
func (h *Handler) placementQuery(req *callerRequest, tried values.Set[string], left clock.Millis) placement.Query {
	return placement.Query{
		Service:       req.service,
		Route:         req.route.Name,
		Object:        req.affinityKey,
		RegionAllowed: func(region string) bool { return req.route.AllowsRegion(req.workspace, region) },
		Exclude:       tried,
		Idempotent:    req.route.Mode == routing.Idempotent,
		TimeLeft:      left,
		Objective:     req.route.Objective,
		LatencyLimit:  req.latencyLimit,
	}
}

// endsInTime reports whether a request with some time left that is expected to take a
// latency can end before the instance stops. One that may not be repeated must also be able to
// take somewhat longer than the slowest of its service lately.
func (h *Handler) endsInTime(req *callerRequest, left, expected clock.Millis) bool {
	stopsAt := clock.Millis(h.stopsAt.Load())
	if stopsAt == 0 {
		return true
	}
	now := h.config.Clock.Now()
	needed := stopLatencyFactor * expected
	if req.route.Mode != routing.Idempotent {
		needed = max(needed, h.peaks.get(now, req.service)*stopPeakPercent/100)
	}
	return min(left, needed) < stopsAt-now
}
