// Package soak runs the real program as separate processes against stand-ins of
// the users' platform, breaks it from outside at random, and checks the promises
// from what callers and backend servers see.
package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

type (
	// deployment is where instances and servers stand and what servers do.
	deployment struct {
		domains []domain
		// instances and servers are dealt out to the domains in turn.
		instances int
		servers   int
		// silent servers do not report their load.
		silent bool
		// scattered routes have no affinity.
		scattered bool
		// work, timeout and grace are other times than usual; zero takes the
		// usual one.
		work, timeout, grace time.Duration
	}

	domain struct{ name, region string }

	// fleet is the instances of one test.
	fleet struct {
		t      *testing.T
		layout deployment
		// number tells the fleets of one test process apart.
		number    int
		store     *store
		ledger    *ledger
		servers   []*backendServer
		instances []*instance

		// mu guards what the configuration is made of, and orders its versions
		// in the store.
		mu      sync.Mutex
		version int64
		// keys are the workspaces whose keys are in the configuration.
		keys map[string]bool
	}

	instance struct {
		name, region, domain       string
		front, directory, nodeFile string
		proxy                      *proxy
		log                        string

		// life orders restarts, for one process of an instance runs at a time.
		life sync.Mutex
		mu   sync.Mutex
		cmd  *exec.Cmd
	}
)

const (
	routeTimeout = 1200 * time.Millisecond
	stopGrace    = 4 * time.Second
	// withdrawBound is how long a withdrawn key may still work, outages of the
	// whole store apart.
	withdrawBound = 5 * time.Second
	readyTimeout  = 15 * time.Second
)

var (
	binary       string
	fleets       atomic.Int64
	workspaces   = []string{"big", "small", "gone"}
	threeRegions = deployment{
		domains:   []domain{{"n-a", "n"}, {"n-b", "n"}, {"s-a", "s"}, {"e-a", "e"}},
		instances: 4,
		servers:   8,
	}
)

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "bulrushferry")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "bulrushferry")
	if out, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// newFleet starts instances, servers and the store, and waits until the
// instances are ready.
func newFleet(t *testing.T, layout deployment) *fleet {
	t.Helper()
	f := prepareFleet(t, layout)
	f.start()
	time.Sleep(2 * time.Second)
	return f
}

// prepareFleet starts the servers and the store, and makes the instances'
// settings.
func prepareFleet(t *testing.T, layout deployment) *fleet {
	t.Helper()
	f := &fleet{t: t, layout: layout, number: int(fleets.Add(1)), ledger: &ledger{runs: make(map[string]int)}, keys: map[string]bool{"big": true, "small": true, "gone": true}}
	var address string
	f.store, address = startStore(t)
	for i := range layout.servers {
		d := layout.domains[i%len(layout.domains)]
		b := startServer(t, fmt.Sprintf("i-%d", i), d.name, f.ledger)
		b.silent, b.wellTime = layout.silent, f.store.wellTime
		b.work = cmp.Or(layout.work, workTime)
		f.servers = append(f.servers, b)
		f.store.put("servers", b.id, b.row("ready", 1))
	}
	f.configure()
	for i := range layout.instances {
		d := layout.domains[i%len(layout.domains)]
		f.instances = append(f.instances, f.newInstance(i, d.name, d.region, address))
	}
	return f
}

// start starts the instances and waits until they serve.
func (f *fleet) start() {
	f.t.Helper()
	for _, in := range f.instances {
		in.start(f.t)
	}
	f.t.Cleanup(func() {
		for _, in := range f.instances {
			in.signal(syscall.SIGCONT)
			in.signal(syscall.SIGKILL)
		}
	})
	f.awaitReady()
}

// configure stores the next version of the configuration, without the keys of
// some workspaces from now on.
func (f *fleet) configure(withdrawn ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, workspace := range withdrawn {
		f.keys[workspace] = false
	}
	f.version++
	resources := []map[string]any{
		resource("services", "desk", map[string]any{"healthPath": "/health", "maxConns": 300, "coldStart": "1s", "coldPerS": 50.0}),
		resource("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}),
	}
	for name, kind := range map[string]string{"/safe/": "safe", "/unsafe/": "unsafe"} {
		resources = append(resources, resource("routes", "r-"+kind, map[string]any{
			"host": "a.example", "prefix": name, "kind": kind, "timeout": span(cmp.Or(f.layout.timeout, routeTimeout)), "slo": "400ms", "priority": 1,
			"service": "desk", "maxAttempts": 2, "sessionAffinity": !f.layout.scattered,
		}))
	}
	for _, w := range workspaces {
		keys := []string{}
		if f.keys[w] {
			keys = []string{"key-" + w}
		}
		resources = append(resources, resource("tenants", w, map[string]any{"apiKeys": keys, "priority": 1, "ratePerS": 4000, "burst": 4000}))
	}
	f.store.put("op", "config", map[string]any{"version": f.version, "resources": resources})
}

// span writes a time as the platform does.
func span(d time.Duration) string {
	return fmt.Sprint(d.Milliseconds(), "ms")
}

func resource(kind, name string, spec map[string]any) map[string]any {
	return map[string]any{"resourceKind": kind, "metadata": map[string]any{"name": name}, "spec": spec}
}

// newInstance writes an instance's settings; its path to the store goes through
// a proxy of its own.
func (f *fleet) newInstance(i int, domain, region, store string) *instance {
	p, path := startProxy(f.t, store)
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, 1+(os.Getpid()/100+f.number)%200, i+1)
	port := func() string {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			f.t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	in := &instance{
		name: fmt.Sprintf("front-%d", i), region: region, domain: domain, proxy: p,
		front: port(), directory: port(),
		nodeFile: filepath.Join(f.t.TempDir(), "node.json"),
		log:      filepath.Join(f.t.TempDir(), "log.json"),
	}
	regions := make(map[string]string)
	for _, d := range f.layout.domains {
		regions[d.name] = d.region
	}
	raw, err := json.Marshal(map[string]any{
		"nodeName": in.name, "ip": ip, "zone": domain, "region": region, "zones": regions,
		"listen":    map[string]string{"front": in.front, "ready": port(), "directory": in.directory, "control": port()},
		"bootstrap": true, "internalPortRange": []int{7220, 7235}, "limits": map[string]any{"memoryMb": 284},
		"bounds":   []string{"grace=" + span(cmp.Or(f.layout.grace, stopGrace)), "revoke=4s"},
		"platform": map[string]any{"address": path, "form": "table"},
	})
	if err == nil {
		err = os.WriteFile(in.nodeFile, raw, 0o600)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return in
}

// start starts the instance's process. Its log goes to a file that is shown
// when the test fails.
func (in *instance) start(t *testing.T) {
	t.Helper()
	file, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(binary, "steer", "--node", in.nodeFile)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	in.mu.Lock()
	in.cmd = cmd
	in.mu.Unlock()
}

// pid returns the process id of the instance's process.
func (in *instance) pid() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd.Process.Pid
}

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil {
		_ = in.cmd.Process.Signal(s)
	}
}

// restart sends a signal, waits for the process to go and starts another one.
func (in *instance) restart(t *testing.T, s syscall.Signal, down time.Duration) {
	in.life.Lock()
	defer in.life.Unlock()
	in.signal(s)
	in.mu.Lock()
	cmd := in.cmd
	in.mu.Unlock()
	_ = cmd.Wait()
	time.Sleep(down)
	in.start(t)
}

// awaitReady waits until every directory names an instance in each domain.
func (f *fleet) awaitReady() {
	f.t.Helper()
	until := time.Now().Add(readyTimeout)
	for _, in := range f.instances {
		for {
			conn, err := net.DialTimeout("tcp4", in.directory, time.Second)
			if err == nil {
				_ = conn.Close()
				break
			}
			if time.Now().After(until) {
				f.t.Fatalf("instance %s does not serve", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// dump shows the end of each instance's log.
func (f *fleet) dump() {
	for _, in := range f.instances {
		raw, _ := os.ReadFile(in.log)
		f.t.Logf("%s:\n%s", in.name, raw[max(0, len(raw)-3000):])
	}
}
