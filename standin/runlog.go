package main

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

// runLog records what reached the backend servers.
type runLog struct {
	keysSeen        atomic.Int64
	overSlots       atomic.Int64
	overConnections atomic.Int64
	afterDrain      atomic.Int64
	crashes         atomic.Int64
	runs            atomic.Int64

	mu       sync.Mutex
	byAction map[string]int32
	byNonce  map[string]int32
	byServer map[string]int64
	times    map[string]*wire.RunTimes
}

var keyMark = []byte("bfk_")

func newRunLog() *runLog {
	return &runLog{
		byAction: make(map[string]int32),
		byNonce:  make(map[string]int32),
		byServer: make(map[string]int64),
		times:    make(map[string]*wire.RunTimes),
	}
}

// inspect looks for a key in everything that a request brought along.
func (l *runLog) inspect(request *fasthttp.Request) {
	seen := bytes.Contains(request.Header.Header(), keyMark) || bytes.Contains(request.Body(), keyMark)
	if seen {
		l.keysSeen.Add(1)
	}
}

// run records that a server runs a request.
func (l *runLog) run(s *backendServer, request *fasthttp.Request, at time.Duration) {
	l.runs.Add(1)
	workspace := string(request.Header.Peek(workspaceName))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byServer[s.info.GetName()]++
	if action := string(request.Header.Peek(actionName)); action != "" {
		l.byAction[workspace+" "+action]++
	}
	if nonce := string(request.URI().QueryArgs().Peek(nonceArgument)); nonce != "" {
		l.byNonce[nonce]++
	}
	if l.times[workspace] == nil {
		l.times[workspace] = &wire.RunTimes{}
	}
	l.times[workspace].AtMs = append(l.times[workspace].AtMs, at.Milliseconds())
}

// report returns all that was seen.
func (w *world) report() *wire.StandinReport {
	l := w.log
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
	w.mu.Lock()
	out.StoreReads = w.reads.total
	out.StoreWrites = w.writes.total
	w.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, v := range l.byAction {
		out.RunsByAction[k] = v
	}
	for k, v := range l.byNonce {
		out.RunsByNonce[k] = v
	}
	for k, v := range l.byServer {
		out.RunsByServer[k] = v
	}
	for k, v := range l.times {
		out.RunTimes[k] = &wire.RunTimes{AtMs: append([]int64(nil), v.GetAtMs()...)}
	}
	return out
}
