package emulator

import (
	"strconv"

	"github.com/bulrushferry/bulrushferry/admission"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
)

type (
	// instanceAdmission decides on waiting and yielding at one entry instance, as the
	// product's instances do.
	instanceAdmission struct {
		sim        *simulation
		balancer   *productBalancer
		controller *admission.Controller
		room       *admission.Room[*waitingRequest]
	}

	waitingRequest struct {
		request *request
		since   clock.Millis
	}
)

const (
	// waitDivisor, maxWaiting and offersPerEnd have the values of package steering.
	waitDivisor  = 10
	maxWaiting   = 512
	offersPerEnd = 8
	// exchangeInterval is how often an instance exchanges levels with another one.
	exchangeInterval = 500 * clock.Millis(1)
)

// addAdmission adds the admission of an instance and lets it exchange levels.
func (sim *simulation) addAdmission(instance string, balancer *productBalancer) {
	a := &instanceAdmission{
		sim: sim, balancer: balancer,
		controller: admission.NewController(sim.random), room: admission.NewRoom[*waitingRequest](maxWaiting),
	}
	sim.admissions[instance] = a
	sim.events.schedule(clock.Millis(sim.random.IntN(int(exchangeInterval))), a.exchangeLevels)
}

// exchangeLevels exchanges levels with a random instance, in both directions.
func (a *instanceAdmission) exchangeLevels() {
	sim := a.sim
	domain := sim.config.FailureDomains[sim.random.IntN(len(sim.config.FailureDomains))]
	instances := sim.instances[domain.Name]
	other := sim.admissions[instances[sim.random.IntN(len(instances))].Name]
	if !sim.config.NoExchange && other != nil && other != a {
		for _, pair := range [][2]*instanceAdmission{{a, other}, {other, a}} {
			for _, level := range pair[0].controller.Levels(sim.events.now) {
				pair[1].controller.Record(sim.events.now, level)
			}
		}
	}
	if sim.events.now < sim.config.Duration {
		sim.events.schedule(exchangeInterval, a.exchangeLevels)
	}
}

// describe describes a request to the decisions on admission.
func (r *request) describe() admission.Request {
	return admission.Request{
		Service: r.kind.Service, Route: r.kind.Name, Workspace: strconv.Itoa(r.workspace), Priority: r.kind.Priority, Objective: r.kind.Objective,
	}
}

// dispatch sends a request to a server, lets it wait for one, or refuses it.
func (a *instanceAdmission) dispatch(r *request) {
	a.room.OfferAhead(r.kind.Service, r.kind.Priority, a.assign)
	now := a.sim.events.now
	mayWait := now < r.arrivedAt+r.kind.Objective/waitDivisor
	refusal, standing := a.try(r, now, mayWait)
	if refusal == nil {
		return
	}
	short := refusal.WantsRoom() || (standing.Yields && refusal.Best != nil)
	a.controller.RecordArrival(now, r.describe(), standing, short)
	if !short || !mayWait {
		a.refuse(r, refusal)
		return
	}
	place := a.controller.Place(now, r.describe(), r.sentAt+r.kind.Deadline)
	entry, displaced, _ := a.room.Enter(r.kind.Service, place, &waitingRequest{request: r, since: now})
	if displaced != nil {
		a.refuse(displaced.Value.request, refusal)
	}
	if entry == nil {
		a.refuse(r, refusal)
		return
	}
	a.sim.events.schedule(r.arrivedAt+r.kind.Objective/waitDivisor-now, func() {
		if !a.room.Leave(r.kind.Service, entry) {
			return
		}
		if refusal, _ := a.try(r, now, false); refusal != nil {
			a.refuse(r, refusal)
		}
	})
}

// try sends a request that has waited since a time to a server, or returns why it cannot.
func (a *instanceAdmission) try(r *request, since clock.Millis, mayWait bool) (*placement.Refusal, admission.Standing) {
	now := a.sim.events.now
	standing := a.controller.Standing(now, r.describe())
	q := a.sim.newQuery(r, r.sentAt+r.kind.Deadline-now)
	q.LatencyLimit -= now - since
	q.Yields, q.QueueLimit, q.MayWait = standing.Yields, standing.QueueLimit, mayWait
	q.WarmOnly = standing.Yields || since < now
	id, refusal := a.balancer.Choose(now, q)
	if refusal != nil {
		return refusal, standing
	}
	if since == now {
		a.controller.RecordArrival(now, r.describe(), standing, false)
	}
	a.controller.RecordSent(now, r.describe(), standing)
	a.sim.send(r, q, id)
	return nil, standing
}

// assign sends a waiting request to a server if one has room.
func (a *instanceAdmission) assign(w *waitingRequest) bool {
	refusal, _ := a.try(w.request, w.since, true)
	return refusal == nil
}

// refuse sends a request back to its caller.
func (a *instanceAdmission) refuse(r *request, refusal *placement.Refusal) {
	after, now := refusal.RetryAfter, a.sim.events.now
	if refusal.Best != nil {
		after = a.controller.Refuse(now, r.describe(), after, (r.sentAt+r.kind.Deadline-now)/retryDelayDivisor).After
	}
	a.sim.handleRefusal(r, after)
}

// release offers the room of a request that has ended at a server to waiting ones.
func (a *instanceAdmission) release(r *request, ran bool) {
	if ran {
		a.controller.RecordEnd(a.sim.events.now, r.kind.Service)
	}
	a.room.Offer(r.kind.Service, offersPerEnd, a.assign)
}
