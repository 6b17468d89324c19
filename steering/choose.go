package steering

import (
	"math"

	"github.com/bulrushferry/bulrushferry/admission"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
)

// choose returns the server for the request's next attempt. Where none would answer in time
// the request waits for one, behind those that wait already and come before it.
func (h *Handler) choose(req *callerRequest, tried values.Set[string]) (*placement.Choice, *placement.Refusal) {
	who := req.admissionRequest()
	h.room.OfferAhead(req.service, who.Priority, h.assign)
	now := h.config.Clock.Now()
	query := h.placementQuery(req, tried, now)
	query.MayWait = now < req.waitsUntil()
	choice, refusal := h.config.Balancer.Choose(now, query)
	short := refusal.WantsRoom() || (refusal != nil && req.standing.Yields && refusal.Best != nil)
	if level, changed := h.config.Admission.RecordArrival(now, who, req.standing, short && !refusal.BesideRoom); changed {
		h.count("admission.levels")
		h.config.Log.Info("service is short of capacity", "service", req.service, "priority", level.Priority, "share", round(level.Share), "request", req.id)
	}
	if req.standing.Yields {
		h.count("admission.yields")
	}
	if short && query.MayWait {
		choice, refusal = h.wait(req, tried)
		req.waitsSince = 0
	}
	if choice != nil {
		h.config.Admission.RecordSent(now, who, req.standing)
		return choice, nil
	}
	if short {
		now = h.config.Clock.Now()
		req.returns = h.config.Admission.Refuse(now, who, refusal.RetryAfter, (req.deadline-now)/retryAfterDivisor)
		refusal.RetryAfter = req.returns.After
	}
	return nil, refusal
}

// admissionRequest describes the request to the decisions on admission.
func (req *callerRequest) admissionRequest() admission.Request {
	out := admission.Request{Service: req.service, Route: req.route.Name, Objective: req.route.Objective}
	out.Priority = min(max(req.route.PriorityFor(req.workspace), 0), admission.MaxPriority)
	if req.workspace != nil {
		out.Workspace = req.workspace.Name
	}
	return out
}

// placementQuery describes the request to the balancer. Servers in tried are excluded. The
// time that the request has waited for room is part of its latency.
func (h *Handler) placementQuery(req *callerRequest, tried values.Set[string], now clock.Millis) placement.Query {
	req.standing = h.config.Admission.Standing(now, req.admissionRequest())
	waited := clock.Millis(0)
	if req.waitsSince > 0 {
		waited = now - req.waitsSince
	}
	return placement.Query{
		Service:       req.service,
		Route:         req.route.Name,
		Object:        req.affinityKey,
		RegionAllowed: func(region string) bool { return req.route.AllowsRegion(req.workspace, region) },
		Exclude:       tried,
		Idempotent:    req.route.Mode == routing.Idempotent,
		TimeLeft:      req.deadline - now,
		Objective:     req.route.Objective,
		LatencyLimit:  req.latencyLimit - waited,
		QueueLimit:    req.standing.QueueLimit,
		Yields:        req.standing.Yields,
		WarmOnly:      req.standing.Yields || req.waitsSince > 0,
	}
}

// standingFields returns the log fields that say how a request stood among the others of its
// service when it was refused for want of room.
func (req *callerRequest) standingFields() []any {
	s := req.standing
	return []any{
		"priority", req.route.PriorityFor(req.workspace), "yields", s.Yields, "over_share", s.Over, "queue_limit_ms", int64(s.QueueLimit),
		"level", s.HasLevel, "level_priority", s.Level.Priority, "level_share", round(s.Level.Share), "level_age_ms", int64(s.LevelAge),
		"level_of_peer", s.Shared, "returns_ahead", req.returns.Ahead, "drain_per_s", round(req.returns.DrainPerS),
		"wait", req.wait.ended, "waited_ms", int64(req.wait.took), "waiting", req.wait.waiting,
	}
}

// round returns a number with two decimal places, for the log.
func round(x float64) float64 {
	return math.Round(x*100) / 100
}
