// Package admission decides, while a service has too little capacity, which requests wait and
// in which order, which of them yield capacity to others, and when refused callers come back.
// It addresses a request type whose rate doubles for some seconds, a workspace that sends a
// multiple of its usual rate, callers that all return at once, and urgent requests that arrive
// while less urgent ones fill the servers. It does no I/O and reads no clock.
package admission

import (
	"math/rand/v2"
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Request is what a decision depends on.
	Request struct {
		Service   string
		Route     string
		Workspace string
		// Priority is the workspace's or else the route's; 0 is the most urgent.
		Priority int
		// Objective is the route's latency objective; zero means none.
		Objective clock.Millis
	}

	// Standing is how a request stands among the others of its service.
	Standing struct {
		// Yields is set where the request must leave room for others.
		Yields bool
		// Over is set where the request has the priority of the level in force, and its
		// workspace has had more than the level's multiple of its share lately.
		Over bool
		// QueueLimit is how long it may wait in a server's own queue; zero means that only
		// its latency limit bounds that.
		QueueLimit clock.Millis
		// Level is the level in force, if HasLevel is set, LevelAge its age, and Shared is
		// set where another instance has reported it.
		Level    Level
		LevelAge clock.Millis
		HasLevel bool
		Shared   bool
	}

	// Controller decides on the requests to all services. It is safe for concurrent use.
	Controller struct {
		mu       sync.Mutex
		random   *rand.Rand
		services map[string]*service
	}

	// service is what is known about the requests to one service.
	service struct {
		own    adaptation
		shared timedLevel
		// routes holds the shares of each route's workspaces.
		routes  map[string]*shares
		returns returns
	}
)

// NewController returns a controller. Random is the source of randomness; nil means a newly
// seeded one.
func NewController(random *rand.Rand) *Controller {
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Controller{random: random, services: make(map[string]*service)}
}

// Standing returns how a request stands.
func (c *Controller) Standing(now clock.Millis, r Request) Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service(r.Service).standing(now, r)
}

// RecordArrival records a request whose standing was asked for, and whether there was no room
// for it. Requests that yield, or are beyond their workspace's share, count as arrivals only:
// others take their room by intent.
// It returns the own level and whether it has come into force or got another priority.
func (c *Controller) RecordArrival(now clock.Millis, r Request, standing Standing, short bool) (level Level, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := &c.service(r.Service).own
	if standing.Yields || standing.Over {
		own.count(now, r.Priority)
		return Level{}, false
	}
	before := own.level
	own.record(now, r.Priority, r.Objective, short)
	return own.level.Level, own.level.inForce(now) && (!before.inForce(now) || own.level.Priority != before.Priority)
}

// Place returns where a request waits whose time ends at a deadline.
func (c *Controller) Place(now clock.Millis, r Request, deadline clock.Millis) Place {
	c.mu.Lock()
	defer c.mu.Unlock()
	used, cost := c.service(r.Service).shares(now, r.Route).used(now, r.Workspace)
	return Place{Priority: r.Priority, Workspace: r.Workspace, Used: used, Cost: cost, Deadline: deadline}
}

// RecordSent records that a request is sent to a server.
func (c *Controller) RecordSent(now clock.Millis, r Request, standing Standing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(r.Service).shares(now, r.Route).record(now, r.Workspace, standing.Over)
}

// RecordEnd records that a request to a service has ended at a server.
func (c *Controller) RecordEnd(now clock.Millis, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(service).returns.drain.add(now)
}

// Refuse returns when a refused caller is to come back, between two times from now.
func (c *Controller) Refuse(now clock.Millis, r Request, earliest, latest clock.Millis) Return {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service(r.Service).returns.book(now, r.Priority, earliest, latest, c.random.Float64())
}

// Levels returns the levels in force, of this instance's own and those reported by others the
// stricter one of each service.
func (c *Controller) Levels(now clock.Millis) []ReportedLevel {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ReportedLevel
	for name, s := range c.services {
		if level := stricter(now, s.own.level, s.shared); level.set {
			out = append(out, ReportedLevel{Service: name, Level: level.Level, Age: now - level.seenAt})
		}
	}
	return out
}

// Record takes in a level that another instance reports, with its age on arrival. An
// implausible or expired one changes nothing. It reports whether the level in force changed.
func (c *Controller) Record(now clock.Millis, reported ReportedLevel) bool {
	if !reported.IsPlausible() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	received := timedLevel{Level: reported.Level, seenAt: now - reported.Age - hopTime, set: true}
	if !received.inForce(now) {
		return false
	}
	s := c.service(reported.Service)
	before := stricter(now, s.own.level, s.shared).Level
	s.shared = stricter(now, s.shared, received)
	return stricter(now, s.own.level, s.shared).Level != before
}

func (c *Controller) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{routes: make(map[string]*shares)}
		c.services[name] = s
	}
	return s
}

func (s *service) shares(now clock.Millis, route string) *shares {
	out, ok := s.routes[route]
	if !ok {
		out = newShares(now)
		s.routes[route] = out
	}
	return out
}

func (s *service) standing(now clock.Millis, r Request) Standing {
	out := Standing{}
	level := stricter(now, s.own.level, s.shared)
	if !level.set {
		return out
	}
	out.Level, out.LevelAge, out.HasLevel = level.Level, now-level.seenAt, true
	out.Shared = level == s.shared
	out.QueueLimit = s.own.queueLimit(now, r.Priority)
	out.Yields = r.Priority > level.Priority
	if r.Priority == level.Priority && s.shares(now, r.Route).isOver(now, r.Workspace, level.Share) {
		out.Over = true
		if limit := r.Objective / queueDivisor; out.QueueLimit == 0 || limit < out.QueueLimit {
			out.QueueLimit = limit
		}
	}
	return out
}
