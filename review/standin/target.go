package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// target is a stand-in for a backend server, as PROTOCOL.md describes it.
type target struct {
	id, address, zone string
	world             *world
	server            *http.Server
	slots             chan struct{}
	// work is how long a request runs.
	work time.Duration
	// after, if set, answers a request that has run instead of the usual answer. It
	// reports whether it did.
	after func(w http.ResponseWriter, r *http.Request, body []byte) bool
}

// run is a request that a target began to work on.
type run struct {
	id, target, method, uri, tenant, digest string
	size                                    int
	at, ended                               time.Time
	keyPassed                               bool
}

// runs is what all targets have run.
type runs struct {
	mu   sync.Mutex
	list []*run
}

const targetSlots = 9

func (w *world) startTarget(id, zone string, work time.Duration) *target {
	t := &target{id: id, zone: zone, world: w, work: work, slots: make(chan struct{}, targetSlots)}
	listener := w.listen("127.0.0.1:0")
	t.address = listener.Addr().String()
	t.server = &http.Server{Handler: t, ConnState: func(net.Conn, http.ConnState) {}}
	go func() { _ = t.server.Serve(listener) }()
	w.store.put("servers", id, t.entry("ready"))
	return t
}

func (t *target) entry(state string) map[string]any {
	return map[string]any{
		"address": t.address, "born": t.world.bornMs,
		"info":   map[string]any{"service": "desk", "version": "v1", "zone": t.zone, "slots": targetSlots},
		"status": map[string]any{"state": state, "seq": 1, "coldRemaining": "0ms"},
	}
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Bulrushferry-Request-Id")
	w.Header().Set("X-Bulrushferry-Instance-Id", t.id)
	if r.URL.Path == "/health" {
		return
	}
	if pin := r.Header.Get("X-Bulrushferry-Instance-Pin"); pin != "" && pin != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Bulrushferry-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	default:
		w.Header().Set("X-Bulrushferry-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	sum := sha256.Sum256(body)
	done := t.world.runs.begin(&run{
		id: id, target: t.id, method: r.Method, uri: r.RequestURI, tenant: r.Header.Get("X-Bulrushferry-Tenant"),
		digest: hex.EncodeToString(sum[:8]), size: len(body), keyPassed: r.Header.Get("X-Bulrushferry-Credential") != "",
	})
	t.world.record("run    %s at %s: %s %s, %d bytes, digest %x", id, t.id, r.Method, r.RequestURI, len(body), sum[:8])
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		t.world.record("ended  %s at %s: its connection closed", id, t.id)
		return
	}
	done()
	w.Header().Set("X-Bulrushferry-Response-Signature", t.id+"."+id)
	w.Header().Set("X-Bulrushferry-Server-Load", fmt.Sprintf("%d,0,%d", len(t.slots), targetSlots))
	if t.after != nil && t.after(w, r, body) {
		return
	}
	_, _ = w.Write(answerTo(id))
}

// answerTo returns the body with which targets answer a request.
func answerTo(id string) []byte {
	return bytes.Repeat([]byte(strings.Repeat(".", 20)+id), 4)
}

// begin adds a run. The function that it returns marks its end.
func (r *runs) begin(one *run) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	one.at = time.Now()
	r.list = append(r.list, one)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		one.ended = time.Now()
	}
}

// of returns the runs of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, one := range r.list {
		if one.id == id {
			out = append(out, *one)
		}
	}
	return out
}
