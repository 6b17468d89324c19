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
	// simulation is the state of one run.
	simulation struct {
		config    Config
		events    eventQueue
		random    *rand.Rand
		servers   map[string]*server
		balancers map[string]Balancer
		// admissions holds what decides on waiting and yielding at the instances whose
		// policy includes it.
		admissions map[string]*instanceAdmission
		// instances holds the entry instances of each failure domain.
		instances map[string][]Instance
		// linkFreeAt is when each link between regions has sent what it was given.
		linkFreeAt map[regionPair]float64
		result     *Result
		// listed holds the servers as listed, replaced how often some were replaced.
		listed   []placement.Server
		replaced int
	}

	// request is a caller's request, across its first attempt and its retry.
	request struct {
		kind   *RequestKind
		domain FailureDomain
		// instance is the entry instance that the caller uses, and home the only
		// region that may serve the request, if there is one.
		instance string
		home     string
		object   uint64
		sentAt   clock.Millis
		// workspace is the number of the request's workspace, and surging is set where
		// that sends more than usual at this time.
		workspace int
		surging   bool
		// arrivedAt is when the present attempt arrived at the entry instance.
		arrivedAt clock.Millis
		// retry is set from the second attempt on, and retries counts them.
		retry   bool
		retries int
		// excluded holds the servers that the present attempt was sent to, and
		// serversTried their number.
		excluded     values.Set[string]
		serversTried int
	}
)

const (
	// maxServersTried is the maximum number of servers that one attempt is sent
	// to.
	maxServersTried = 2
	// retryDelayDivisor limits the delay of a retry to the time left until the
	// deadline, divided by this number.
	retryDelayDivisor = 3
	// declinedRetryDelay is the delay of a retry after the last server declined.
	declinedRetryDelay = 100 * clock.Millis(1)
)

// Run simulates a deployment whose entry instances use the given policy.
func Run(c Config, policy Policy) *Result {
	sim := &simulation{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 0)),
		servers: make(map[string]*server), balancers: make(map[string]Balancer), result: newResult(c),
		admissions: make(map[string]*instanceAdmission),
		instances:  make(map[string][]Instance), linkFreeAt: make(map[regionPair]float64),
	}
	listed := sim.addServers()
	for _, d := range c.FailureDomains {
		sim.instances[d.Name] = d.instances()
		for _, in := range sim.instances[d.Name] {
			sim.balancers[in.Name] = policy(c, in, listed, sim.random)
			if product, ok := sim.balancers[in.Name].(*productBalancer); ok && product.admits {
				sim.addAdmission(in.Name, product)
			}
		}
	}
	sim.listed = listed
	if c.Replacement.Period > 0 && c.Replacement.Every > 0 {
		sim.events.schedule(c.Replacement.Period, sim.replaceServers)
	}
	for i := range c.RequestKinds {
		for _, d := range c.FailureDomains {
			sim.scheduleArrival(&c.RequestKinds[i], d, nil)
			for j := range c.Surges {
				if surge := &c.Surges[j]; surge.Kind == c.RequestKinds[i].Name {
					sim.events.schedule(surge.From, func() { sim.scheduleArrival(&c.RequestKinds[i], d, surge) })
				}
			}
		}
	}
	sim.events.run()
	sim.result.summarize()
	sim.result.BusiestToMean = sim.busiestToMean()
	return sim.result
}

// addServers creates the servers of all services and returns their listing.
func (sim *simulation) addServers() []placement.Server {
	var listed []placement.Server
	for _, service := range sim.config.Services {
		for i := range service.Servers {
			d := sim.config.domainOfServer(i, service.Servers)
			info := placement.Server{
				ID: fmt.Sprintf("%s-%d", service.Name, i), Service: service.Name, Address: "emulated",
				FailureDomain: d.Name, Region: d.Region, Slots: service.Slots,
			}
			listed = append(listed, info)
			sim.servers[info.ID] = &server{
				info: info, service: service, slowdown: minSlowdown + (maxSlowdown-minSlowdown)*sim.random.Float64(),
				spells: newSpells(sim.config.Spells, sim.config.Seed, uint64(len(listed))), tail: sim.config.Tail,
			}
		}
	}
	return listed
}

// replaceServers replaces one in some servers and tells the balancers, if they can be told.
// What the replaced ones run is finished.
func (sim *simulation) replaceServers() {
	r := sim.config.Replacement
	phase := sim.replaced % r.Every
	sim.replaced++
	var left []placement.Server
	for i, s := range sim.listed {
		if i%r.Every != phase {
			left = append(left, s)
		}
	}
	sim.tellServers(left)
	sim.events.schedule(r.Absence, func() {
		for i := phase; i < len(sim.listed); i += r.Every {
			sim.listed[i].StartUnixMs = int64(sim.events.now)
			replaced := sim.servers[sim.listed[i].ID]
			replaced.warm = nil
			replaced.slowness, replaced.slowUntil = r.Slowness, sim.events.now+r.SlowFor
		}
		sim.tellServers(sim.listed)
	})
	if sim.events.now+r.Period < sim.config.Duration {
		sim.events.schedule(max(r.Period, r.Absence), sim.replaceServers)
	}
}

// tellServers tells the balancers which servers there are.
func (sim *simulation) tellServers(servers []placement.Server) {
	for _, b := range sim.balancers {
		if lister, ok := b.(serverLister); ok {
			lister.SetServers(sim.events.now, servers)
		}
	}
}

// busiestToMean returns the largest ratio, of all services, of the jobs of the busiest
// server to the mean.
func (sim *simulation) busiestToMean() float64 {
	total, most, count := make(map[string]int), make(map[string]int), make(map[string]int)
	for _, s := range sim.servers {
		total[s.service.Name] += s.started
		most[s.service.Name] = max(most[s.service.Name], s.started)
		count[s.service.Name]++
	}
	worst := 0.0
	for name := range total {
		worst = max(worst, float64(most[name]*count[name])/float64(max(total[name], 1)))
	}
	return worst
}

// delay returns the one-way network delay between an entry instance and a server
// in the given regions.
func (c Config) delay(from, to string) clock.Millis {
	if from != to {
		return c.InterRegionDelay
	}
	return c.IntraRegionDelay
}

// scheduleArrival schedules the next request of a kind from a failure domain.
// Arrivals are a Poisson process whose rate varies with the region's load. With a surge, it is
// the next request that comes on top of the usual ones.
func (sim *simulation) scheduleArrival(kind *RequestKind, d FailureDomain, surge *Surge) {
	end, factor := sim.config.Duration, 1.0
	if surge != nil {
		end, factor = min(end, surge.To), surge.Factor-1
		if surge.OneWorkspace {
			factor *= sim.config.Workspaces.part(surge.Workspace)
		}
	}
	rate := factor * kind.RatePerS * sim.config.Load / float64(len(sim.config.FailureDomains)) * sim.loadFactor(d)
	interval := clock.Millis(sim.random.ExpFloat64() / rate * float64(clock.Second))
	if sim.events.now+interval >= end {
		return
	}
	sim.events.schedule(interval, func() {
		sim.handleArrival(kind, d, surge)
		sim.scheduleArrival(kind, d, surge)
	})
}

// loadFactor returns the current load of a failure domain's region, relative to
// its mean. It follows a sine with a phase that depends on the region's name.
func (sim *simulation) loadFactor(d FailureDomain) float64 {
	if sim.config.LoadPeriod == 0 {
		return 1
	}
	phase := float64(len(d.Region)) + float64(d.Region[0])
	return 1 + sim.config.LoadAmplitude*math.Sin(2*math.Pi*float64(sim.events.now)/float64(sim.config.LoadPeriod)+phase)
}

func (sim *simulation) handleArrival(kind *RequestKind, d FailureDomain, surge *Surge) {
	// Objects belong to the region of their callers; kinds of requests to the
	// same service share them.
	object := uint64(d.Region[0])<<32 | uint64(len(kind.Service))<<16 | uint64(sim.random.IntN(kind.ObjectsPerRegion)+1)
	instances := sim.instances[d.Name]
	workspace := sim.config.Workspaces.draw(sim.random)
	if surge != nil && surge.OneWorkspace {
		workspace = surge.Workspace
	}
	r := &request{
		workspace: workspace, surging: sim.config.isSurging(kind, workspace, sim.events.now),
		kind: kind, domain: d, instance: instances[sim.random.IntN(len(instances))].Name, object: object,
		home: sim.config.home(workspace), sentAt: sim.events.now, excluded: values.NewSet[string](),
	}
	sim.result.recordRequest(r)
	sim.events.schedule(sim.config.CallerDelay, func() { sim.arrive(r) })
}

// arrive handles an attempt that arrives at its entry instance.
func (sim *simulation) arrive(r *request) {
	r.arrivedAt = sim.events.now
	sim.dispatch(r)
}

// dispatch sends a request to the server that the balancer chooses.
func (sim *simulation) dispatch(r *request) {
	now := sim.events.now
	timeLeft := r.sentAt + r.kind.Deadline - now
	if timeLeft <= 0 {
		sim.result.recordFailure()
		return
	}
	if a := sim.admissions[r.instance]; a != nil {
		a.dispatch(r)
		return
	}
	q := sim.newQuery(r, timeLeft)
	id, refusal := sim.balancers[r.instance].Choose(now, q)
	if refusal != nil {
		sim.handleRefusal(r, refusal.RetryAfter)
		return
	}
	sim.send(r, q, id)
}

// send sends a request to a server.
func (sim *simulation) send(r *request, q placement.Query, id string) {
	now, timeLeft := sim.events.now, q.TimeLeft
	r.serversTried++
	r.excluded = r.excluded.With(id)
	s := sim.servers[id]
	oneWay := sim.config.delay(r.domain.Region, s.info.Region)
	sim.events.schedule(oneWay+sim.linkDelay(r.domain.Region, s.info.Region, r.kind.Bytes), func() {
		s.accept(&sim.events, sim.random, job{kind: r.kind, object: r.object, deadline: now + timeLeft, done: func(ran bool, load, pace int) {
			sim.result.checkLimits(s)
			sim.events.schedule(oneWay, func() { sim.handleResponse(r, id, q, ran, load, pace) })
		}})
	})
}

func (sim *simulation) newQuery(r *request, timeLeft clock.Millis) placement.Query {
	q := placement.Query{
		Service: r.kind.Service, Route: r.kind.Name, Object: r.object, Exclude: r.excluded, Idempotent: r.kind.Idempotent,
		TimeLeft: timeLeft, Objective: r.kind.Objective,
		RegionAllowed: func(region string) bool { return r.home == "" || region == r.home },
	}
	q.LatencyLimit = placement.LatencyBudget{Objective: r.kind.Objective, Timeout: r.kind.Deadline, Priority: r.kind.Priority, Retry: r.retry}.Limit()
	return q
}

// handleResponse handles a server's response at the entry instance. A declined
// request goes to another server, or back to the caller.
func (sim *simulation) handleResponse(r *request, id string, q placement.Query, ran bool, load, pace int) {
	outcome := placement.Answered
	if !ran {
		outcome = placement.Declined
	}
	sim.balancers[r.instance].Done(sim.events.now, id, q, placement.Result{
		Outcome: outcome, Load: load, HasLoad: true, Pace: float64(pace) / percent, HasPace: pace > 0,
	})
	if a := sim.admissions[r.instance]; a != nil {
		a.release(r, ran)
	}
	switch {
	case ran:
		sim.events.schedule(sim.config.CallerDelay, func() { sim.result.recordResponse(r, sim.events.now) })
	case r.serversTried < maxServersTried:
		sim.dispatch(r)
	default:
		sim.handleRefusal(r, declinedRetryDelay)
	}
}

// handleRefusal lets the caller retry a refused request, as often as the configuration says.
func (sim *simulation) handleRefusal(r *request, retryAfter clock.Millis) {
	sim.result.Refusals++
	timeLeft := r.sentAt + r.kind.Deadline - sim.events.now
	if r.retries >= max(sim.config.Retries, 1) || timeLeft <= 0 {
		sim.result.recordFailure()
		return
	}
	r.retry, r.retries, r.serversTried, r.excluded = true, r.retries+1, 0, values.NewSet[string]()
	sim.events.schedule(min(retryAfter, timeLeft/retryDelayDivisor)+2*sim.config.CallerDelay, func() { sim.arrive(r) })
}
