package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/values"
)

type (
	// world is one run.
	world struct {
		config  Config
		events  events
		random  *rand.Rand
		servers map[string]*server
		placers map[string]Balancer
		result  *Result
	}

	// request is one request of a caller, over both of its tries.
	request struct {
		kind   *RequestKind
		domain FailureDomain
		object uint64
		sentAt clock.Millis
		// again is set in the second try.
		again  bool
		tried  values.Set[string]
		offers int
	}
)

const (
	// maxOffers bounds the servers that one try is offered to.
	maxOffers = 2
	// retryPart is the part of the time left, as a divisor, for which a caller
	// waits at most before it comes back.
	retryPart = 3
	// declinedRetry is when callers come back after all servers declined.
	declinedRetry = 100 * clock.Millis(1)
)

// Run plays a deployment with a policy.
func Run(c Config, policy Policy) *Result {
	w := &world{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 0)),
		servers: make(map[string]*server), placers: make(map[string]Balancer), result: newResult(c),
	}
	list := w.addServers()
	for _, d := range c.FailureDomains {
		w.placers[d.Name] = policy(c, d, list, w.random)
	}
	for i := range c.RequestKinds {
		for _, d := range c.FailureDomains {
			w.planArrival(&c.RequestKinds[i], d)
		}
	}
	w.events.run()
	w.result.finish()
	return w.result
}

// addServers makes the servers of all services.
func (w *world) addServers() []placement.Server {
	var list []placement.Server
	for _, service := range w.config.Services {
		for i := range service.Servers {
			d := w.config.FailureDomains[i%len(w.config.FailureDomains)]
			info := placement.Server{
				ID: fmt.Sprintf("%s-%d", service.Name, i), Service: service.Name, Address: "emulated",
				FailureDomain: d.Name, Region: d.Region, Slots: service.Slots,
			}
			list = append(list, info)
			w.servers[info.ID] = &server{info: info, service: service, speed: fastest + (slowest-fastest)*w.random.Float64()}
		}
	}
	return list
}

// delay returns the one-way time between regions.
func (c Config) delay(from, to string) clock.Millis {
	if from != to {
		return c.InterRegionDelay
	}
	return c.IntraRegionDelay
}

// planArrival plans the next request of a kind from a domain: a Poisson process
// whose rate goes up and down.
func (w *world) planArrival(kind *RequestKind, d FailureDomain) {
	rate := kind.RatePerS * w.config.Load / float64(len(w.config.FailureDomains)) * w.wave(d)
	gap := clock.Millis(w.random.ExpFloat64() / rate * float64(clock.Second))
	if w.events.now+gap >= w.config.Duration {
		return
	}
	w.events.after(gap, func() {
		w.arrive(kind, d)
		w.planArrival(kind, d)
	})
}

// wave returns the present load of a domain's region in parts of its mean.
func (w *world) wave(d FailureDomain) float64 {
	if w.config.LoadPeriod == 0 {
		return 1
	}
	phase := float64(len(d.Region)) + float64(d.Region[0])
	return 1 + w.config.LoadAmplitude*math.Sin(2*math.Pi*float64(w.events.now)/float64(w.config.LoadPeriod)+phase)
}

func (w *world) arrive(kind *RequestKind, d FailureDomain) {
	// Objects belong to the region of their callers.
	object := uint64(d.Region[0])<<32 | uint64(len(kind.Service))<<16 | uint64(w.random.IntN(kind.ObjectsPerRegion)+1)
	r := &request{kind: kind, domain: d, object: object, sentAt: w.events.now, tried: values.NewSet[string]()}
	w.result.owe(r)
	w.events.after(w.config.CallerDelay, func() { w.place(r) })
}

// place offers a request to a server.
func (w *world) place(r *request) {
	now := w.events.now
	left := r.sentAt + r.kind.Deadline - now
	if left <= 0 {
		w.result.fail()
		return
	}
	q := w.query(r, left)
	id, refusal := w.placers[r.domain.Name].Choose(now, q)
	if refusal != nil {
		w.refuse(r, refusal.RetryAfter)
		return
	}
	r.offers++
	r.tried = r.tried.With(id)
	s := w.servers[id]
	way := w.config.delay(r.domain.Region, s.info.Region)
	w.events.after(way, func() {
		s.arrive(&w.events, w.random, visit{kind: r.kind, object: r.object, deadline: now + left, done: func(ran bool, load int) {
			w.result.observe(s)
			w.events.after(way, func() { w.answered(r, id, q, ran, load) })
		}})
	})
}

func (w *world) query(r *request, left clock.Millis) placement.Query {
	q := placement.Query{
		Service: r.kind.Service, Route: r.kind.Name, Object: r.object, Exclude: r.tried, Idempotent: r.kind.Idempotent,
		TimeLeft: left, Objective: r.kind.Objective,
		RegionAllowed: func(string) bool { return true },
	}
	q.LatencyLimit = placement.LatencyBudget{Objective: r.kind.Objective, Timeout: r.kind.Deadline, Retry: r.again}.Limit()
	return q
}

// answered takes a server's answer in at the instance.
func (w *world) answered(r *request, id string, q placement.Query, ran bool, load int) {
	outcome := placement.Answered
	if !ran {
		outcome = placement.Declined
	}
	w.placers[r.domain.Name].Done(w.events.now, id, q, placement.Result{Outcome: outcome, Load: load, HasLoad: true})
	switch {
	case ran:
		w.events.after(w.config.CallerDelay, func() { w.result.serve(r, w.events.now) })
	case r.offers < maxOffers:
		w.place(r)
	default:
		w.refuse(r, declinedRetry)
	}
}

// refuse has the caller come back once.
func (w *world) refuse(r *request, after clock.Millis) {
	w.result.Refusals++
	if r.again {
		w.result.fail()
		return
	}
	r.again, r.offers, r.tried = true, 0, values.NewSet[string]()
	left := r.sentAt + r.kind.Deadline - w.events.now
	w.events.after(min(after, left/retryPart)+2*w.config.CallerDelay, func() { w.place(r) })
}
