package main

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

// requestStats counts the requests that the backend servers received, and the limits and
// rules that these requests violated.
type requestStats struct {
	keysSeen        atomic.Int64
	overSlots       atomic.Int64
	overConnections atomic.Int64
	afterDrain      atomic.Int64
	crashes         atomic.Int64
	runs            atomic.Int64

	mu           sync.Mutex
	runsByAction map[string]int32
	runsByNonce  map[string]int32
	runsByServer map[string]int64
	runTimes     map[string]*wire.RunTimes
}

// apiKeyPrefix starts every API key. Keys must not reach a backend server.
var apiKeyPrefix = []byte("bfk_")

func newRequestStats() *requestStats {
	return &requestStats{
		runsByAction: make(map[string]int32),
		runsByNonce:  make(map[string]int32),
		runsByServer: make(map[string]int64),
		runTimes:     make(map[string]*wire.RunTimes),
	}
}

// detectKey counts the request if its headers or its body contain an API key.
func (r *requestStats) detectKey(request *fasthttp.Request) {
	seen := bytes.Contains(request.Header.Header(), apiKeyPrefix) || bytes.Contains(request.Body(), apiKeyPrefix)
	if seen {
		r.keysSeen.Add(1)
	}
}

// recordRun records a request that a server has accepted, before it waits for a slot.
// The time is relative to the start of the simulator.
func (r *requestStats) recordRun(s *backendServer, request *fasthttp.Request, at time.Duration) {
	r.runs.Add(1)
	workspace := string(request.Header.Peek(workspaceHeader))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runsByServer[s.info.GetName()]++
	if action := string(request.Header.Peek(idempotencyKeyHeader)); action != "" {
		r.runsByAction[workspace+" "+action]++
	}
	if nonce := string(request.URI().QueryArgs().Peek(nonceParam)); nonce != "" {
		r.runsByNonce[nonce]++
	}
	if r.runTimes[workspace] == nil {
		r.runTimes[workspace] = &wire.RunTimes{}
	}
	r.runTimes[workspace].AtMs = append(r.runTimes[workspace].AtMs, at.Milliseconds())
}

// report returns a copy of the statistics.
func (sim *simulator) report() *wire.StandinReport {
	stats := sim.stats
	out := &wire.StandinReport{
		RunsByAction:    make(map[string]int32),
		RunsByNonce:     make(map[string]int32),
		RunsByServer:    make(map[string]int64),
		RunTimes:        make(map[string]*wire.RunTimes),
		KeysSeen:        stats.keysSeen.Load(),
		OverSlots:       stats.overSlots.Load(),
		OverConnections: stats.overConnections.Load(),
		AfterDrain:      stats.afterDrain.Load(),
		Crashes:         stats.crashes.Load(),
		Runs:            stats.runs.Load(),
	}
	sim.mu.Lock()
	out.StoreReads = sim.readLimit.total
	out.StoreWrites = sim.writeLimit.total
	sim.mu.Unlock()
	stats.mu.Lock()
	defer stats.mu.Unlock()
	for k, v := range stats.runsByAction {
		out.RunsByAction[k] = v
	}
	for k, v := range stats.runsByNonce {
		out.RunsByNonce[k] = v
	}
	for k, v := range stats.runsByServer {
		out.RunsByServer[k] = v
	}
	for k, v := range stats.runTimes {
		out.RunTimes[k] = &wire.RunTimes{AtMs: append([]int64(nil), v.GetAtMs()...)}
	}
	return out
}
