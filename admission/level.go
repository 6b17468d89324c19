package admission

import (
	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Level says who is admitted in full at a service that is short of capacity: more urgent
	// requests than its priority, and those of its priority from workspaces that have had less
	// than a multiple of their share lately. Those of its priority beyond the share may fill
	// only a part of servers' queues. Less urgent ones yield: they get what capacity nobody
	// above the level needs.
	Level struct {
		Priority int
		Share    float64
	}

	// ReportedLevel is the level of a service with its age.
	ReportedLevel struct {
		Service string
		Level   Level
		Age     clock.Millis
	}

	// timedLevel is a level and when the shortage was last seen on which it is based.
	timedLevel struct {
		Level
		seenAt clock.Millis
		set    bool
	}

	// adaptation derives a level from this instance's own requests to one service.
	adaptation struct {
		level     timedLevel
		adaptedAt clock.Millis
		meters    []*meter
	}

	// meter counts the requests of one priority, and those of them for which there was no
	// room, in decaying sums.
	meter struct {
		priority        int
		requests, short float64
		at              clock.Millis
		// objective is the latency objective of the latest request.
		objective clock.Millis
	}
)

const (
	// LevelTerm is the age at which a level expires.
	LevelTerm = 3 * clock.Second
	// MaxPriority is the largest plausible priority of a level.
	MaxPriority = 1000
	// MinShare is the smallest share of a level.
	MinShare = 0.5
	// MaxShare is the largest share of a level.
	MaxShare = 2.0
	// initialShare is the share of a new level. It allows for the variation of a workspace's
	// rate from one second to the next.
	initialShare = 1.25
	// shareCut and shareStep are the factor and the step by which the share falls while there
	// is no room, and rises while there is; shareInterval is the least time between.
	shareCut      = 0.9
	shareStep     = 0.05
	shareInterval = 500 * clock.Millis(1)
	// meterTime is the time constant of the meters.
	meterTime = clock.Second
	// minShort and minShortPart are the decayed number of requests without room, and their
	// part of all of the priority, from which the service counts as short of capacity. A
	// single one may be due to a server that failed, or to its object's few servers.
	minShort     = 1.5
	minShortPart = 0.15
	// minUrgentPart is the part of a service's requests that a level must protect. Requests
	// that yield leave a sixth of the slots free, which a smaller part would not use.
	minUrgentPart = 1.0 / 6
	// maxServedPart is the part of requests without room below which the share rises.
	maxServedPart = 0.02
	// urgentTime is how long after a request more urgent ones than others are expected again.
	urgentTime = 10 * clock.Second
	// queueDivisor is the part of a request's objective, as a divisor, that less urgent ones
	// may fill of a server's queue before it. A request that finds its object warm takes
	// about half of its objective.
	queueDivisor = 4
	// hopTime is added to a level's age each time it is received. The time that a request
	// was under way is not known to its receiver. Without this addition, instances that keep
	// reporting a level to each other would never let it expire.
	hopTime = 50 * clock.Millis(1)
)

// IsStricter reports whether a level admits fewer requests than another.
func (l Level) IsStricter(other Level) bool {
	if l.Priority != other.Priority {
		return l.Priority < other.Priority
	}
	return l.Share < other.Share
}

// IsPlausible reports whether an instance can have reported the level.
func (r ReportedLevel) IsPlausible() bool {
	return r.Service != "" && r.Age >= 0 && r.Level.Priority >= 0 && r.Level.Priority <= MaxPriority &&
		r.Level.Share >= MinShare && r.Level.Share <= MaxShare
}

// inForce reports whether the level is set and has not expired.
func (l timedLevel) inForce(now clock.Millis) bool {
	return l.set && now-l.seenAt < LevelTerm
}

// stricter returns the stricter of two levels that are in force; the result is not set if
// neither is. Of two equal ones it is the younger.
func stricter(now clock.Millis, a, b timedLevel) timedLevel {
	switch {
	case !a.inForce(now) && !b.inForce(now):
		return timedLevel{}
	case !a.inForce(now):
		return b
	case !b.inForce(now), a.IsStricter(b.Level):
		return a
	case a.Level == b.Level && a.seenAt > b.seenAt:
		return a
	default:
		return b
	}
}

// record counts a request of a priority. Short is set if there was no room for it when it
// arrived. A request that yields is not to be counted: that it finds no room is no shortage.
func (a *adaptation) record(now clock.Millis, priority int, objective clock.Millis, short bool) {
	m := a.meter(priority)
	m.add(now, short)
	m.objective = objective
	switch {
	case short && m.isShort() && a.urgentPart(now, priority) >= minUrgentPart:
		a.tighten(now, priority)
	case a.level.inForce(now) && a.level.Priority == priority && m.short < maxServedPart*m.requests && now-a.adaptedAt >= shareInterval:
		a.level.Share = min(a.level.Share+shareStep, MaxShare)
		a.adaptedAt = now
	}
}

// count counts a request of a priority that yields.
func (a *adaptation) count(now clock.Millis, priority int) {
	a.meter(priority).add(now, false)
}

// urgentPart returns the part of the requests of these seconds that have a priority or a more
// urgent one.
func (a *adaptation) urgentPart(now clock.Millis, priority int) float64 {
	urgent, all := 0.0, 0.0
	for _, m := range a.meters {
		requests := m.requests * clock.Decay(now-m.at, meterTime)
		all += requests
		if m.priority <= priority {
			urgent += requests
		}
	}
	return urgent / max(all, 1)
}

// tighten adapts the level to a shortage that requests of a priority meet. A level for more
// urgent ones stays until it expires: less urgent requests meet a shortage because they yield
// to them.
func (a *adaptation) tighten(now clock.Millis, priority int) {
	switch {
	case !a.level.inForce(now) || priority < a.level.Priority:
		a.level = timedLevel{Level: Level{Priority: priority, Share: initialShare}, seenAt: now, set: true}
		a.adaptedAt = now
	case priority == a.level.Priority:
		a.level.seenAt = now
		if now-a.adaptedAt >= shareInterval {
			a.level.Share = max(a.level.Share*shareCut, MinShare)
			a.adaptedAt = now
		}
	}
}

// queueLimit returns how long a request of a priority may wait in a server's own queue, which
// is served in the order of arrival, so that it leaves time for the more urgent requests of
// these seconds; zero means no limit.
func (a *adaptation) queueLimit(now clock.Millis, priority int) clock.Millis {
	limit := clock.Millis(0)
	for _, m := range a.meters {
		if m.priority >= priority || m.objective <= 0 || now-m.at >= urgentTime {
			continue
		}
		if limit == 0 || m.objective/queueDivisor < limit {
			limit = m.objective / queueDivisor
		}
	}
	return limit
}

func (a *adaptation) meter(priority int) *meter {
	for _, m := range a.meters {
		if m.priority == priority {
			return m
		}
	}
	m := &meter{priority: priority}
	a.meters = append(a.meters, m)
	return m
}

func (m *meter) add(now clock.Millis, short bool) {
	decay := clock.Decay(now-m.at, meterTime)
	m.requests = m.requests*decay + 1
	m.short *= decay
	if short {
		m.short++
	}
	m.at = now
}

func (m *meter) isShort() bool {
	return m.short >= minShort && m.short >= minShortPart*m.requests
}
