// The program standin-3 plays the users' platform, clients and targets for the scripts of the
// third review. It starts instances of the system, disturbs them unless TROUBLE is 0, writes
// record.txt and exits with 1 if a rule was broken, 0 if it held, and 2 if it could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

type (
	// world is what a script plays in.
	world struct {
		deployment
		store   *store
		nodes   []*node
		targets []*target
		runs    *runLog
		record  *record
		out     *os.File
		trouble bool
	}

	// shape is what differs between the scripts.
	shape struct {
		zones          []string
		targets, slots int
		// orderTargets are those of the second service.
		orderTargets       int
		work               time.Duration
		body               int
		memoryMB, maxFDs   int
		timeout, objective time.Duration
		maxConns           int
	}
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun

	// firstVersion is the version of the first config.
	firstVersion = 7
)

// cases maps the names of the scripts to what they play. A case reports whether its rule was
// broken.
var cases = map[string]func(w *world) (bool, error){
	"crowd": playCrowd,
	"evict": playEvict,
	"name":  playName,
	"part":  playPart,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE BINARY RECORD")
		return exitNotRun
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w := &world{
		deployment: deployment{dir: dir, binary: os.Args[2]}, runs: &runLog{runs: make(map[string][]*served)}, record: &record{},
		out: out, trouble: os.Getenv("TROUBLE") != "0",
	}
	defer w.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		w.end()
		os.Exit(exitNotRun)
	}()
	broken, err := play(w)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		w.keepLogs()
		return exitNotRun
	}
	if broken {
		w.note("result: the rule was broken")
		return exitBroken
	}
	w.note("result: the rule held")
	return exitHeld
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	_, _ = fmt.Fprintf(w.out, format+"\n", args...)
}

// noteCall writes what was sent, answered and run of one request to the record.
func (w *world) noteCall(c call, runs []served) {
	at := func(t time.Time) string { return t.Format("15:04:05.000") }
	line := fmt.Sprintf("request %s sent %s to %s, kept connection %v, ended %s with status %d and %d bytes", c.id, at(c.sentAt), c.node, c.onKept, at(c.endedAt), c.status, c.got)
	for _, r := range runs {
		line += fmt.Sprintf(", run by %s at %s", r.target, at(r.at))
	}
	w.note("%s %s", line, c.err)
}

// end ends all processes and removes the folder.
func (w *world) end() {
	for _, n := range w.nodes {
		n.stop()
	}
	_ = w.out.Close()
	_ = os.RemoveAll(w.dir)
}

// keepLogs adds the last lines of the instances' logs to the record.
func (w *world) keepLogs() {
	logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
	for _, path := range logs {
		raw, _ := os.ReadFile(path)
		w.note("%s: %s", filepath.Base(path), raw[max(0, len(raw)-2000):])
	}
}

// start starts the store, the targets and the instances, one in each zone, and waits until all
// are ready.
func (w *world) start(s shape) error {
	store, address, err := startStore()
	if err != nil {
		return err
	}
	w.store, w.deployment.store, w.memoryMB, w.maxFDs = store, address, s.memoryMB, s.maxFDs
	w.zones = make(map[string]string)
	for _, zone := range s.zones {
		w.zones[zone] = zone[:len(zone)-2]
	}
	body := make([]byte, s.body)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	for i := range s.targets {
		zone := s.zones[i%len(s.zones)]
		t, err := startTarget(fmt.Sprintf("i-%08x", 0xa1000000+i), s.slots, s.work, body, w.runs)
		if err != nil {
			return err
		}
		w.targets = append(w.targets, t)
		store.put("servers", t.id, t.entry("holds", zone, time.Now().UnixMilli()-60000))
	}
	for i := range s.orderTargets {
		t, err := startTarget(fmt.Sprintf("i-%08x", 0xb2000000+i), s.slots, s.work, body, w.runs)
		if err != nil {
			return err
		}
		w.targets = append(w.targets, t)
		store.put("servers", t.id, t.entry("orders", s.zones[i%len(s.zones)], time.Now().UnixMilli()-60000))
	}
	store.put("op", "config", s.config(firstVersion, map[string]string{"tenant-a": "key-a", "tenant-b": "key-b"}))
	for i, zone := range s.zones {
		n, err := w.newNode(i, zone)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(w.binary); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	return nil
}

// config returns a version of the operator's config. Tenants holds the keys by the tenants' names.
func (s shape) config(version int, tenants map[string]string) map[string]any {
	return s.configTo("holds", version, tenants)
}

// configTo returns a version whose route for holds goes to a service.
func (s shape) configTo(service string, version int, tenants map[string]string) map[string]any {
	resource := func(kind, name string, spec map[string]any) map[string]any {
		return map[string]any{"resourceKind": kind, "metadata": map[string]any{"name": name}, "spec": spec}
	}
	resources := []any{
		resource("routes", "r-hold", map[string]any{
			"host": "shop.example", "prefix": "/hold/", "kind": "unsafe", "timeout": fmt.Sprintf("%dms", s.timeout.Milliseconds()),
			"slo": fmt.Sprintf("%dms", s.objective.Milliseconds()), "priority": 1, "service": service, "maxAttempts": 2,
		}),
		resource("services", "holds", map[string]any{"healthPath": "/health", "maxConns": s.maxConns, "coldStart": "3s", "coldPerS": 30.0}),
		resource("services", "orders", map[string]any{"healthPath": "/health", "maxConns": s.maxConns, "coldStart": "3s", "coldPerS": 30.0}),
		resource("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}),
	}
	for name, key := range tenants {
		resources = append(resources, resource("tenants", name, map[string]any{"apiKeys": []string{key}, "priority": 1, "ratePerS": 0}))
	}
	return map[string]any{"version": version, "resources": resources}
}

var errNoCalls = errors.New("no request was answered")
