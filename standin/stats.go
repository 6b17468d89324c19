package main

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

// requestStats counts what the backend servers received, executed and exceeded.
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
func (l *requestStats) detectKey(request *fasthttp.Request) {
	seen := bytes.Contains(request.Header.Header(), apiKeyPrefix) || bytes.Contains(request.Body(), apiKeyPrefix)
	if seen {
		l.keysSeen.Add(1)
	}
}

// recordRun records a request that a server has accepted, before it waits for a slot.
// The time is relative to the start of the simulator.
func (l *requestStats) recordRun(s *backendServer, request *fasthttp.Request, at time.Duration) {
	l.runs.Add(1)
	workspace := string(request.Header.Peek(workspaceHeader))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runsByServer[s.info.GetName()]++
	if action := string(request.Header.Peek(idempotencyKeyHeader)); action != "" {
		l.runsByAction[workspace+" "+action]++
	}
	if nonce := string(request.URI().QueryArgs().Peek(nonceParam)); nonce != "" {
		l.runsByNonce[nonce]++
	}
	if l.runTimes[workspace] == nil {
		l.runTimes[workspace] = &wire.RunTimes{}
	}
	l.runTimes[workspace].AtMs = append(l.runTimes[workspace].AtMs, at.Milliseconds())
}

// report returns a copy of the statistics.
func (sim *simulator) report() *wire.StandinReport {
	l := sim.stats
	out := &wire.StandinReport{
		RunsByAction:    make(map[string]int32),
		RunsByNonce:     make(map[string]int32),
		RunsByServer:    make(map[string]int64),
		RunTimes:        make(map[string]*wire.RunTimes),
		KeysSeen:        l.keysSeen.Load(),
		OverSlots:       l.overSlots.Load(),
		OverConnections: l.overConnections.Load(),
		AfterDrain:      l.afterDrain.Load(),
		Crashes:         l.crashes.Load(),
		Runs:            l.runs.Load(),
	}
	sim.mu.Lock()
	out.StoreReads = sim.reads.total
	out.StoreWrites = sim.writes.total
	sim.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, v := range l.runsByAction {
		out.RunsByAction[k] = v
	}
	for k, v := range l.runsByNonce {
		out.RunsByNonce[k] = v
	}
	for k, v := range l.runsByServer {
		out.RunsByServer[k] = v
	}
	for k, v := range l.runTimes {
		out.RunTimes[k] = &wire.RunTimes{AtMs: append([]int64(nil), v.GetAtMs()...)}
	}
	return out
}
