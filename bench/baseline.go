package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/load"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

type (
	// baselineBalancer is a simple load balancer in place of an entry instance.
	// It enforces an equal part of each rate limit and does not communicate with
	// the other balancers.
	baselineBalancer struct {
		deployment *deployment
		// policy chooses the server for a request.
		policy func(b *baselineBalancer, servers []*wire.BackendServer) *wire.BackendServer
		// settings holds the settings of the replaced instance.
		settings *wire.EntrySettings
		// servers holds the servers of each service.
		servers    map[string][]*wire.BackendServer
		nextServer atomic.Int64
		httpClient *fasthttp.Client

		mu sync.Mutex
		// buckets holds the token bucket of each API key.
		buckets map[string]*tokenBucket
		// reportedLoads holds the last reported load of each server.
		reportedLoads map[string]int32
	}

	// tokenBucket limits the rate of requests of one workspace.
	tokenBucket struct {
		rate, burst, tokens float64
		refilledAt          time.Time
	}
)

const (
	loadPollInterval = 2 * time.Second
	forwardTimeout   = 3 * time.Second
	// lookupMaxAgeMs is how long callers may use a lookup, the same as with the product.
	lookupMaxAgeMs     = 2000
	bearerPrefixLength = len("Bearer ")
)

// baselinePolicies maps the names of the policies to their functions.
var baselinePolicies = map[string]func(*baselineBalancer, []*wire.BackendServer) *wire.BackendServer{
	"random": func(_ *baselineBalancer, servers []*wire.BackendServer) *wire.BackendServer {
		return servers[rand.IntN(len(servers))]
	},
	"round robin": func(b *baselineBalancer, servers []*wire.BackendServer) *wire.BackendServer {
		return servers[int(b.nextServer.Add(1))%len(servers)]
	},
	"least load by lagging reports": func(b *baselineBalancer, servers []*wire.BackendServer) *wire.BackendServer {
		b.mu.Lock()
		defer b.mu.Unlock()
		best := servers[rand.IntN(len(servers))]
		for _, s := range servers {
			if b.reportedLoads[s.GetName()] < b.reportedLoads[best.GetName()] {
				best = s
			}
		}
		return best
	},
}

// baselineCases returns the cases that can be compared with baseline balancers,
// each with every policy.
func baselineCases() []benchCase {
	var out []benchCase
	for _, policy := range []string{"random", "round robin", "least load by lagging reports"} {
		for _, c := range cases {
			if c.name != "flood" && c.name != "crowd at one region" && c.name != "slow server says it is idle" {
				continue
			}
			c.baselinePolicy = policy
			c.name += ", " + policy
			out = append(out, c)
		}
	}
	return out
}

// replaceInstances kills the entry instances and serves their addresses with
// baseline balancers.
func (d *deployment) replaceInstances(policy string) error {
	raw, err := d.callStandin("/instances", nil)
	if err != nil {
		return err
	}
	list := &wire.InstanceList{}
	if err := proto.Unmarshal(raw, list); err != nil {
		return err
	}
	servers := make(map[string][]*wire.BackendServer)
	for _, s := range list.GetBackendServers() {
		servers[s.GetService()] = append(servers[s.GetService()], s)
	}
	for _, name := range d.instances {
		d.kill(name)
		b := &baselineBalancer{
			deployment: d, policy: baselinePolicies[policy], settings: d.settings[name], servers: servers,
			buckets: make(map[string]*tokenBucket), reportedLoads: make(map[string]int32),
		}
		if err := b.serve(); err != nil {
			return err
		}
	}
	return nil
}

// serve starts the balancer on the address of the replaced instance.
func (b *baselineBalancer) serve() error {
	listener, err := net.Listen("tcp", b.settings.GetCallerAddress())
	if err != nil {
		return err
	}
	b.deployment.listeners = append(b.deployment.listeners, listener)
	host, _, _ := net.SplitHostPort(b.settings.GetCallerAddress())
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	b.httpClient = http1.GuardClient(&fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxConnsPerHost:           1000,
		Dial:                      func(address string) (net.Conn, error) { return dialer.Dial("tcp", address) },
	})
	for _, w := range b.deployment.rules.GetWorkspaces() {
		share := 1 / float64(len(b.deployment.instances))
		b.buckets[b.deployment.keys[w.GetName()]] = &tokenBucket{
			rate: w.GetRatePerS() * share, burst: max(w.GetBurst()*share, 1), tokens: w.GetBurst() * share, refilledAt: time.Now(),
		}
	}
	go b.pollLoads()
	server := &fasthttp.Server{Handler: b.handle}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// handle answers a lookup, or forwards a request within the rate limit.
func (b *baselineBalancer) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/entries" {
		b.handleLookup(ctx)
		return
	}
	authorization := string(ctx.Request.Header.Peek("Authorization"))
	if !b.admit(authorization[min(bearerPrefixLength, len(authorization)):]) {
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		ctx.SetBodyString(`{"code":"over_rate"}`)
		ctx.Response.Header.Set("Bulrushferry-Outcome", "not_run")
		return
	}
	path := string(ctx.Path())[len("/v1/s/"):]
	for service, servers := range b.servers {
		if len(path) > len(service) && path[:len(service)] == service {
			b.forward(ctx, b.policy(b, servers), path[len(service):])
			return
		}
	}
}

// forward sends a request to a server and passes the response on.
func (b *baselineBalancer) forward(ctx *fasthttp.RequestCtx, server *wire.BackendServer, path string) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	ctx.Request.CopyTo(req)
	req.Header.Del("Authorization")
	req.SetRequestURI("http://" + server.GetAddress() + path + "?" + string(ctx.URI().QueryString()))
	if err := b.httpClient.DoTimeout(req, &ctx.Response, forwardTimeout); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.Response.Header.Set("Bulrushferry-Outcome", "unknown")
		return
	}
	ctx.Response.Header.Set("Bulrushferry-Outcome", "done")
}

// handleLookup lists all instances in random order, those of the balancer's own
// region first.
func (b *baselineBalancer) handleLookup(ctx *fasthttp.RequestCtx) {
	list := &wire.EntryList{MaxAgeMs: lookupMaxAgeMs, ActionPrefix: "baseline."}
	for _, i := range rand.Perm(len(b.deployment.instances)) {
		entry := b.deployment.settings[b.deployment.instances[i]]
		choice := &wire.EntryChoice{Instance: entry.GetInstance(), Address: entry.GetCallerAddress()}
		if entry.GetRegion() == b.settings.GetRegion() {
			list.Entries = append([]*wire.EntryChoice{choice}, list.GetEntries()...)
		} else {
			list.Entries = append(list.Entries, choice)
		}
	}
	raw, _ := protojson.Marshal(list)
	ctx.SetBody(raw)
}

// admit reports whether a request with this key is within the balancer's part of
// the rate limit.
func (b *baselineBalancer) admit(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.buckets[key]
	if !ok {
		return false
	}
	now := time.Now()
	t.tokens = min(t.burst, t.tokens+t.rate*now.Sub(t.refilledAt).Seconds())
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// pollLoads reads the load reports of all servers at intervals, so that policies
// use outdated ones.
func (b *baselineBalancer) pollLoads() {
	for range time.Tick(loadPollInterval) {
		for _, servers := range b.servers {
			for _, s := range servers {
				_, body, err := b.httpClient.GetTimeout(nil, "http://"+s.GetAddress()+"/load", time.Second)
				report := &wire.LoadReport{}
				if err == nil && protojson.Unmarshal(body, report) == nil {
					b.mu.Lock()
					b.reportedLoads[s.GetName()] = report.GetInFlight()
					b.mu.Unlock()
				}
			}
		}
	}
}

// adjustForBaseline turns resending off for baseline balancers, which do not
// deduplicate requests by idempotency key.
func (b benchCase) adjustForBaseline(config *load.Config) {
	if b.baselinePolicy != "" {
		config.ResendShare = 0
	}
}
