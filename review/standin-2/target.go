package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at a target.
type run struct {
	at                       time.Time
	id, target, service, uri string
}

// runLog holds the runs of all targets.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// target is a stand-in of a target. It registers in the store, checks the pin, works, and answers.
type target struct {
	id, service, zone, address string
	born                       int64
	log                        *runLog
	store                      *store
	running, waiting           atomic.Int64
	free                       chan struct{}
	seq                        atomic.Int64
}

const (
	heartbeat = 1500 * time.Millisecond
	slots     = 9
	queue     = 9
	work      = 20 * time.Millisecond
	longWork  = 7 * time.Second
	// bigMark marks the paths of requests whose answers have bigAnswer bytes.
	bigMark   = "/big-"
	bigAnswer = 10 << 20
	// longMark marks the paths of requests that take longWork.
	longMark = "/long-"
)

// startTarget starts a target on a free port and has it register.
func startTarget(w *world, id, service, zone string) (*target, error) {
	listener, err := net.Listen("tcp4", w.ip(100)+":0")
	if err != nil {
		return nil, err
	}
	t := &target{
		id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		log: w.runs, store: w.store, free: make(chan struct{}, slots),
	}
	server := &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	t.beat()
	go func() {
		for range time.Tick(heartbeat) {
			t.beat()
		}
	}()
	return t, nil
}

// entry returns the target's entry in the store.
func (t *target) entry() map[string]any {
	return map[string]any{
		"address": t.address, "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": slots},
		"status": map[string]any{"state": "ready", "seq": t.seq.Add(1), "coldRemaining": "0ms"},
	}
}

func (t *target) beat() {
	t.store.put("servers", "", t.id, t.entry())
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Bulrushferry-Instance-Id", t.id)
		return
	}
	id := r.Header.Get("X-Bulrushferry-Request-Id")
	w.Header().Set("X-Bulrushferry-Request-Id", id)
	if pin := r.Header.Get("X-Bulrushferry-Instance-Pin"); pin != "" && pin != t.id {
		w.Header().Set("X-Bulrushferry-Instance-Id", t.id)
		w.Header().Set("X-Bulrushferry-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !t.takeSlot(r) {
		t.setLoad(w)
		w.Header().Set("X-Bulrushferry-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.log.add(run{at: time.Now(), id: id, target: t.id, service: t.service, uri: r.RequestURI})
	time.Sleep(workOf(r.URL.Path))
	t.running.Add(-1)
	<-t.free
	t.setLoad(w)
	w.Header().Set("X-Bulrushferry-Response-Signature", "sig."+t.id+"."+id)
	answer := answerFor(t.id, id)
	if strings.Contains(r.URL.Path, bigMark) {
		answer += strings.Repeat(".", bigAnswer-len(answer))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// answerFor is the body of a target's answer to a request.
func answerFor(target, id string) string {
	return fmt.Sprintf("answer of %s to %s", target, id)
}

// workOf returns how long a target works on a request: on some much longer than on most.
func workOf(path string) time.Duration {
	if strings.Contains(path, longMark) {
		return longWork
	}
	return work
}

// takeSlot waits for a slot, and reports false if the queue is full.
func (t *target) takeSlot(r *http.Request) bool {
	if t.waiting.Add(1) > queue {
		t.waiting.Add(-1)
		return false
	}
	defer t.waiting.Add(-1)
	select {
	case t.free <- struct{}{}:
		t.running.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *target) setLoad(w http.ResponseWriter) {
	w.Header().Set("X-Bulrushferry-Server-Load", fmt.Sprintf("%d,%d,%d", t.running.Load(), t.waiting.Load(), slots))
}
