package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// target is a stand-in of a sound target.
	target struct {
		id, address string
		slots       int
		// work is how long a request runs, body is what it is answered with.
		work time.Duration
		body []byte
		runs *runLog

		mu      sync.Mutex
		running int
	}

	// served is the run of a request at a target.
	served struct {
		target string
		at     time.Time
		// ended is zero if the request was dropped since its connection was closed.
		ended time.Time
	}

	// runLog holds the runs of all targets by the ids of requests.
	runLog struct {
		mu   sync.Mutex
		runs map[string][]*served
	}
)

// startTarget starts a target on a free loopback port.
func startTarget(id string, slots int, work time.Duration, body []byte, runs *runLog) (*target, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, address: listener.Addr().String(), slots: slots, work: work, body: body, runs: runs}
	go func() { _ = (&http.Server{Handler: t, IdleTimeout: 10 * time.Second}).Serve(listener) }()
	return t, nil
}

// entry is the value of the target's row in the store.
func (t *target) entry(service, zone string, bornMs int64) map[string]any {
	return map[string]any{
		"address": t.address, "born": bornMs,
		"info":   map[string]any{"service": service, "zone": zone, "version": "v1", "slots": t.slots},
		"status": map[string]any{"state": "ready", "seq": 1, "coldRemaining": "0ms"},
	}
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Bulrushferry-Request-Id")
	header := w.Header()
	header.Set("X-Bulrushferry-Instance-Id", t.id)
	if r.URL.Path == "/health" {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	header.Set("X-Bulrushferry-Request-Id", id)
	pin := r.Header.Get("X-Bulrushferry-Instance-Pin")
	switch {
	case id == "":
		header.Set("X-Bulrushferry-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case pin != "" && pin != t.id:
		header.Set("X-Bulrushferry-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !t.take():
		header.Set("X-Bulrushferry-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.free()
	begun := t.runs.begin(id, t.id)
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		return
	}
	t.runs.end(begun)
	header.Set("X-Bulrushferry-Response-Signature", "sig-"+id)
	t.mu.Lock()
	header.Set("X-Bulrushferry-Server-Load", fmt.Sprintf("%d,0,%d", t.running, t.slots))
	t.mu.Unlock()
	header.Set("Content-Length", strconv.Itoa(len(t.body)))
	_, _ = w.Write(t.body)
}

func (t *target) take() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.slots {
		return false
	}
	t.running++
	return true
}

func (t *target) free() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

func (l *runLog) begin(id, target string) *served {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &served{target: target, at: time.Now()}
	l.runs[id] = append(l.runs[id], r)
	return r
}

func (l *runLog) end(r *served) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended = time.Now()
}

// of returns the runs of a request.
func (l *runLog) of(id string) []served {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []served
	for _, r := range l.runs[id] {
		out = append(out, *r)
	}
	return out
}
