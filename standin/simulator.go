package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/tableservice"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

type (
	// simulator holds the simulated platform and backend servers.
	simulator struct {
		deployment  *wire.Deployment
		startedAt   time.Time
		table       *tableservice.MemoryTable
		servers     map[string]*backendServer
		serverOrder []*backendServer
		stats       *requestStats

		// mu guards the fields below.
		mu         sync.Mutex
		storeDown  bool
		storeDelay time.Duration
		// responsesToDrop is the number of commits whose responses will be dropped.
		responsesToDrop int
		// partitioned holds the names of the entry instances that cannot reach the
		// platform.
		partitioned values.Set[string]
		listLag     time.Duration
		// listHistory holds past instance lists, oldest first.
		listHistory []listSnapshot
		// readLimit and writeLimit limit the rates of calls to the table service.
		readLimit  tokenBucket
		writeLimit tokenBucket
	}

	// listSnapshot is the instance list as it was at a time.
	listSnapshot struct {
		takenAt time.Time
		list    *wire.InstanceList
	}

	// tokenBucket limits the rate of calls to the table service. Its capacity is one
	// second of calls.
	tokenBucket struct {
		perSecond float64
		tokens    float64
		updatedAt time.Time
		total     int64
	}
)

const (
	writesPerSecond         = 600
	readsPerSecond          = 2000
	listSnapshotInterval    = 100 * time.Millisecond
	maxListSnapshots        = 600
	callerHeader            = "Platform-Caller"
	maxPlatformRequestBytes = 16 << 20
)

func loadDeployment(path string) (*wire.Deployment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	deployment := &wire.Deployment{}
	if err := protojson.Unmarshal(raw, deployment); err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	return deployment, nil
}

func newSimulator(deployment *wire.Deployment) *simulator {
	sim := &simulator{
		deployment:  deployment,
		startedAt:   time.Now(),
		table:       tableservice.NewMemoryTable(),
		servers:     make(map[string]*backendServer),
		stats:       newRequestStats(),
		partitioned: values.NewSet[string](),
		listLag:     deployment.GetListLag().AsDuration(),
		readLimit:   tokenBucket{perSecond: readsPerSecond, tokens: readsPerSecond},
		writeLimit:  tokenBucket{perSecond: writesPerSecond, tokens: writesPerSecond},
	}
	for _, service := range deployment.GetServices() {
		for i := range int(service.GetServers()) {
			s := newBackendServer(sim, service, i)
			sim.servers[s.info.GetName()] = s
			sim.serverOrder = append(sim.serverOrder, s)
		}
	}
	return sim
}

func (sim *simulator) start() error {
	for _, s := range sim.serverOrder {
		if err := s.listen(); err != nil {
			return err
		}
	}
	sim.recordList()
	go func() {
		for range time.Tick(listSnapshotInterval) {
			sim.recordList()
		}
	}()
	listener, err := net.Listen("tcp", sim.deployment.GetPlatformAddress())
	if err != nil {
		return err
	}
	server := &fasthttp.Server{Handler: sim.handle, MaxRequestBodySize: maxPlatformRequestBytes}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// recordList appends the current instance list to listHistory.
func (sim *simulator) recordList() {
	list := &wire.InstanceList{}
	for _, s := range sim.serverOrder {
		if info, listed := s.listEntry(); listed {
			list.BackendServers = append(list.BackendServers, info)
		}
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.listHistory = append(sim.listHistory, listSnapshot{takenAt: time.Now(), list: list})
	if len(sim.listHistory) > maxListSnapshots {
		sim.listHistory = sim.listHistory[1:]
	}
}

// handle serves the API of the platform and the control endpoints /fault and /report.
func (sim *simulator) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/fault":
		sim.handleFault(ctx)
	case "/report":
		respondJSON(ctx, sim.report())
	case "/table/read":
		sim.handleRead(ctx)
	case "/table/commit":
		sim.handleCommit(ctx)
	case "/instances":
		if sim.simulateNetwork(ctx) {
			respondProto(ctx, sim.laggedList())
		}
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// simulateNetwork delays a call by the round trip between an entry instance and the
// platform. If the instance is partitioned from the platform, it fails the call and
// returns false.
func (sim *simulator) simulateNetwork(ctx *fasthttp.RequestCtx) bool {
	sim.mu.Lock()
	partitioned := sim.partitioned.Has(string(ctx.Request.Header.Peek(callerHeader)))
	sim.mu.Unlock()
	if partitioned {
		time.Sleep(time.Second)
		ctx.Error("cut", fasthttp.StatusGatewayTimeout)
		return false
	}
	time.Sleep(2 * sim.networkDelay(ctx.RemoteIP(), sim.deployment.GetPlatformRegion()))
	return true
}

// admitTableCall applies the table service's outages, delays and rate limits to a call.
// It returns false if the call has been refused.
func (sim *simulator) admitTableCall(ctx *fasthttp.RequestCtx, limit *tokenBucket) bool {
	if !sim.simulateNetwork(ctx) {
		return false
	}
	sim.mu.Lock()
	down, delay := sim.storeDown, sim.storeDelay
	allowed := limit.take()
	sim.mu.Unlock()
	time.Sleep(delay)
	if down || !allowed {
		ctx.Error("unavailable", fasthttp.StatusServiceUnavailable)
		return false
	}
	return true
}

func (sim *simulator) handleRead(ctx *fasthttp.RequestCtx) {
	if !sim.admitTableCall(ctx, &sim.readLimit) {
		return
	}
	prefix := &wire.Row{}
	if proto.Unmarshal(ctx.PostBody(), prefix) != nil {
		ctx.Error("unreadable", fasthttp.StatusBadRequest)
		return
	}
	rows, _ := sim.table.Read(ctx, prefix.GetKey())
	respondProto(ctx, &wire.RowList{Rows: rows})
}

func (sim *simulator) handleCommit(ctx *fasthttp.RequestCtx) {
	if !sim.admitTableCall(ctx, &sim.writeLimit) {
		return
	}
	tx := &wire.Transaction{}
	if proto.Unmarshal(ctx.PostBody(), tx) != nil {
		ctx.Error("unreadable", fasthttp.StatusBadRequest)
		return
	}
	committed, _ := sim.table.Commit(ctx, tx)
	if sim.takeResponseDrop() {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	respondProto(ctx, &wire.TransactionResult{Committed: committed})
}

// takeResponseDrop reports whether the response to a commit is to be dropped, and
// decrements the number of responses that still are.
func (sim *simulator) takeResponseDrop() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.responsesToDrop == 0 {
		return false
	}
	sim.responsesToDrop--
	return true
}

// laggedList returns the newest instance list that is at least listLag old, or the
// oldest one kept.
func (sim *simulator) laggedList() *wire.InstanceList {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	wanted := time.Now().Add(-sim.listLag)
	for i := len(sim.listHistory) - 1; i >= 0; i-- {
		if sim.listHistory[i].takenAt.Before(wanted) {
			return sim.listHistory[i].list
		}
	}
	return sim.listHistory[0].list
}

// networkDelay returns the one-way network delay from an address to a region.
func (sim *simulator) networkDelay(from net.IP, region string) time.Duration {
	if sim.regionOf(from) == region {
		return sim.deployment.GetDelayBetweenDomains().AsDuration()
	}
	return sim.deployment.GetDelayBetweenRegions().AsDuration()
}

// regionOf returns the region of an entry instance's address, and the platform's region
// for any other address.
func (sim *simulator) regionOf(ip net.IP) string {
	for _, region := range sim.deployment.GetRegions() {
		if strings.HasPrefix(ip.String(), region.GetEntryPrefix()) {
			return region.GetName()
		}
	}
	return sim.deployment.GetPlatformRegion()
}

// take takes one token and reports whether there was one.
func (b *tokenBucket) take() bool {
	now := time.Now()
	if !b.updatedAt.IsZero() {
		b.tokens = min(b.perSecond, b.tokens+b.perSecond*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.total++
	return true
}

func respondProto(ctx *fasthttp.RequestCtx, message proto.Message) {
	raw, err := proto.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(raw)
}

func respondJSON(ctx *fasthttp.RequestCtx, message proto.Message) {
	raw, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// randomExponential draws from an exponential distribution with the given mean,
// capped at five times the mean.
func randomExponential(mean time.Duration) time.Duration {
	return time.Duration(min(rand.ExpFloat64(), 5) * float64(mean))
}
