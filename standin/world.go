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
	// world is everything that the stand-in plays.
	world struct {
		deployment *wire.Deployment
		started    time.Time
		table      *tableservice.MemoryTable
		servers    map[string]*backendServer
		order      []*backendServer
		log        *runLog

		mu          sync.Mutex
		storeDown   bool
		storeDelay  time.Duration
		loseAnswers int
		cut         values.Set[string]
		listLag     time.Duration
		lists       []listAt
		reads       bucket
		writes      bucket
	}

	listAt struct {
		at   time.Time
		list *wire.InstanceList
	}

	// bucket limits the calls of the table service.
	bucket struct {
		perSecond float64
		level     float64
		at        time.Time
		total     int64
	}
)

const (
	writesPerSecond  = 600
	readsPerSecond   = 2000
	listInterval     = 100 * time.Millisecond
	listsKept        = 600
	callerHeader     = "Platform-Caller"
	maxPlatformBytes = 16 << 20
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

func newWorld(deployment *wire.Deployment) *world {
	w := &world{
		deployment: deployment,
		started:    time.Now(),
		table:      tableservice.NewMemoryTable(),
		servers:    make(map[string]*backendServer),
		log:        newRunLog(),
		cut:        values.NewSet[string](),
		listLag:    deployment.GetListLag().AsDuration(),
		reads:      bucket{perSecond: readsPerSecond, level: readsPerSecond},
		writes:     bucket{perSecond: writesPerSecond, level: writesPerSecond},
	}
	for _, service := range deployment.GetServices() {
		for i := range int(service.GetServers()) {
			s := newBackendServer(w, service, i)
			w.servers[s.info.GetName()] = s
			w.order = append(w.order, s)
		}
	}
	return w
}

func (w *world) start() error {
	for _, s := range w.order {
		if err := s.listen(); err != nil {
			return err
		}
	}
	w.snapshot()
	go func() {
		for range time.Tick(listInterval) {
			w.snapshot()
		}
	}()
	listener, err := net.Listen("tcp", w.deployment.GetPlatformAddress())
	if err != nil {
		return err
	}
	server := &fasthttp.Server{Handler: w.handle, MaxRequestBodySize: maxPlatformBytes}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// snapshot records the list of instances, for readers that see it late.
func (w *world) snapshot() {
	list := &wire.InstanceList{}
	for _, s := range w.order {
		if info, listed := s.listing(); listed {
			list.BackendServers = append(list.BackendServers, info)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lists = append(w.lists, listAt{at: time.Now(), list: list})
	if len(w.lists) > listsKept {
		w.lists = w.lists[1:]
	}
}

// handle answers the platform's calls and the stand-in's own.
func (w *world) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/fault":
		w.handleFault(ctx)
	case "/report":
		answerJSON(ctx, w.report())
	case "/table/read":
		w.handleRead(ctx)
	case "/table/commit":
		w.handleCommit(ctx)
	case "/instances":
		if w.reachable(ctx) {
			answer(ctx, w.lagged())
		}
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// reachable plays the network between an entry instance and the platform.
func (w *world) reachable(ctx *fasthttp.RequestCtx) bool {
	w.mu.Lock()
	cut := w.cut.Has(string(ctx.Request.Header.Peek(callerHeader)))
	w.mu.Unlock()
	if cut {
		time.Sleep(time.Second)
		ctx.Error("cut", fasthttp.StatusGatewayTimeout)
		return false
	}
	time.Sleep(2 * w.delay(ctx.RemoteIP(), w.deployment.GetPlatformRegion()))
	return true
}

// admit plays the table service's outages, delays and limits.
func (w *world) admit(ctx *fasthttp.RequestCtx, limit *bucket) bool {
	if !w.reachable(ctx) {
		return false
	}
	w.mu.Lock()
	down, delay := w.storeDown, w.storeDelay
	allowed := limit.take()
	w.mu.Unlock()
	time.Sleep(delay)
	if down || !allowed {
		ctx.Error("unavailable", fasthttp.StatusServiceUnavailable)
		return false
	}
	return true
}

func (w *world) handleRead(ctx *fasthttp.RequestCtx) {
	if !w.admit(ctx, &w.reads) {
		return
	}
	prefix := &wire.Row{}
	if proto.Unmarshal(ctx.PostBody(), prefix) != nil {
		ctx.Error("unreadable", fasthttp.StatusBadRequest)
		return
	}
	rows, _ := w.table.Read(ctx, prefix.GetKey())
	answer(ctx, &wire.RowList{Rows: rows})
}

func (w *world) handleCommit(ctx *fasthttp.RequestCtx) {
	if !w.admit(ctx, &w.writes) {
		return
	}
	tx := &wire.Transaction{}
	if proto.Unmarshal(ctx.PostBody(), tx) != nil {
		ctx.Error("unreadable", fasthttp.StatusBadRequest)
		return
	}
	committed, _ := w.table.Commit(ctx, tx)
	if w.losesAnswer() {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	answer(ctx, &wire.TransactionResult{Committed: committed})
}

func (w *world) losesAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loseAnswers == 0 {
		return false
	}
	w.loseAnswers--
	return true
}

func (w *world) lagged() *wire.InstanceList {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := time.Now().Add(-w.listLag)
	for i := len(w.lists) - 1; i >= 0; i-- {
		if w.lists[i].at.Before(wanted) {
			return w.lists[i].list
		}
	}
	return w.lists[0].list
}

// delay returns the one-way delay from an address to a region.
func (w *world) delay(from net.IP, region string) time.Duration {
	if w.regionOf(from) == region {
		return w.deployment.GetDelayBetweenDomains().AsDuration()
	}
	return w.deployment.GetDelayBetweenRegions().AsDuration()
}

// regionOf returns the region of an entry instance's address.
func (w *world) regionOf(ip net.IP) string {
	for _, region := range w.deployment.GetRegions() {
		if strings.HasPrefix(ip.String(), region.GetEntryPrefix()) {
			return region.GetName()
		}
	}
	return w.deployment.GetPlatformRegion()
}

func (b *bucket) take() bool {
	now := time.Now()
	if !b.at.IsZero() {
		b.level = min(b.perSecond, b.level+b.perSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	b.total++
	return true
}

func answer(ctx *fasthttp.RequestCtx, message proto.Message) {
	raw, err := proto.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(raw)
}

func answerJSON(ctx *fasthttp.RequestCtx, message proto.Message) {
	raw, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// exponential draws a time with the given mean, at most five times as long.
func exponential(mean time.Duration) time.Duration {
	return time.Duration(min(rand.ExpFloat64(), 5) * float64(mean))
}
