// Package scenario runs the real programs as separate processes on loopback and
// breaks them.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
)

type (
	fleet struct {
		t   *testing.T
		dir string
		// net starts every address of this fleet, so that fleets of different
		// tests can run side by side.
		net     string
		names   []string
		entries map[string]*wire.EntrySettings
		procs   map[string]*exec.Cmd
		keys    map[string]string
		rules   *wire.Rules
	}
)

const (
	operatorToken  = "example-operator-token"
	exampleNet     = "127.0."
	netZones       = 5
	netsPerZone    = 50
	settleTimeout  = 25 * time.Second
	requestTimeout = 4 * time.Second
)

var (
	binaries   string
	fleetCount atomic.Int32
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "bulrushferry")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+"/", "..", "../standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building: %v\n%s", err, out))
	}
	return m.Run()
}

// newFleet starts a whole deployment with rules, keys and settled slots.
func newFleet(t *testing.T, deployment string) *fleet {
	t.Helper()
	f := &fleet{
		t: t, dir: t.TempDir(),
		entries: make(map[string]*wire.EntrySettings),
		procs:   make(map[string]*exec.Cmd),
		keys:    make(map[string]string),
	}
	example := filepath.Join("..", "example", deployment)
	if err := os.CopyFS(f.dir, os.DirFS(example)); err != nil {
		t.Fatal(err)
	}
	f.net = fmt.Sprintf("127.%d.", firstNet()+int(fleetCount.Add(1)))
	f.moveAddresses()
	certs, err := os.ReadFile(filepath.Join(f.dir, "certs.txt"))
	if err != nil {
		t.Fatal(err)
	}
	f.command("standin", append([]string{"certs", "--out", filepath.Join(f.dir, "certs")}, strings.Fields(string(certs))...)...)
	f.start("standin", "standin", "serve", "--deployment", filepath.Join(f.dir, "deployment.json"))
	files, _ := filepath.Glob(filepath.Join(f.dir, "entries", "*.json"))
	for _, file := range files {
		raw, _ := os.ReadFile(file)
		s := &wire.EntrySettings{}
		if err := protojson.Unmarshal(raw, s); err != nil {
			t.Fatal(err)
		}
		f.entries[s.GetInstance()] = s
		f.names = append(f.names, s.GetInstance())
	}
	sort.Strings(f.names)
	t.Cleanup(f.stopAll)
	for _, name := range f.names {
		f.startEntry(name)
	}
	f.waitSettled(len(f.names))
	f.applyExample()
	time.Sleep(5500 * time.Millisecond)
	return f
}

// firstNet keeps fleets of test processes that run side by side apart.
func firstNet() int {
	return os.Getpid() % netZones * netsPerZone
}

// moveAddresses gives the fleet addresses of its own.
func (f *fleet) moveAddresses() {
	files, _ := filepath.Glob(filepath.Join(f.dir, "entries", "*.json"))
	for _, name := range []string{"deployment.json", "certs.txt", "rules.txt"} {
		files = append(files, filepath.Join(f.dir, name))
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			f.t.Fatal(err)
		}
		if err := os.WriteFile(file, bytes.ReplaceAll(raw, []byte(exampleNet), []byte(f.net)), 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fleet) platform(path string) string {
	return "http://" + f.net + "10.1:8500" + path
}

func (f *fleet) startEntry(name string) {
	f.start(name, "bulrushferry", "entry", "--settings", filepath.Join(f.dir, "entries", name+".json"))
}

// start runs a program whose output goes to a file that a failed test shows.
func (f *fleet) start(name, program string, args ...string) {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.procs[name] = cmd
}

func (f *fleet) stopAll() {
	for name, cmd := range f.procs {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if f.t.Failed() {
			raw, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
			lines := bytes.Split(raw, []byte("\n"))
			f.t.Logf("end of %s.log:\n%s", name, bytes.Join(lines[max(0, len(lines)-8):], []byte("\n")))
		}
	}
}

func (f *fleet) kill(name string) {
	f.t.Helper()
	_ = f.procs[name].Process.Kill()
	_ = f.procs[name].Wait()
	delete(f.procs, name)
}

func (f *fleet) signal(name string, signal syscall.Signal) {
	f.t.Helper()
	if err := f.procs[name].Process.Signal(signal); err != nil {
		f.t.Fatal(err)
	}
}

// wait waits for a process to end by itself and returns its exit code.
func (f *fleet) wait(name string) int {
	f.t.Helper()
	cmd := f.procs[name]
	delete(f.procs, name)
	_ = cmd.Wait()
	return cmd.ProcessState.ExitCode()
}

// command runs a program to its end and returns what it printed.
func (f *fleet) command(program string, args ...string) string {
	f.t.Helper()
	out, code := f.try(program, args...)
	if code != 0 {
		f.t.Fatalf("%s %s: exit code %d\n%s", program, strings.Join(args, " "), code, out)
	}
	return out
}

func (f *fleet) try(program string, args ...string) (string, int) {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	var addresses []string
	for _, name := range f.names {
		addresses = append(addresses, f.entries[name].GetOperatorAddress())
	}
	cmd.Env = append(os.Environ(), "BULRUSHFERRY_ENTRIES="+strings.Join(addresses, ","), "BULRUSHFERRY_OPERATOR_TOKEN="+operatorToken)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	_ = cmd.Run()
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		return out.String() + errs.String(), code
	}
	return out.String(), 0
}

// statuses asks the instances that answer for their status.
func (f *fleet) statuses() map[string]*wire.Status {
	out, _ := f.try("bulrushferry", "status", "--json", "--timeout", "500ms")
	statuses := make(map[string]*wire.Status)
	for _, line := range strings.Split(out, "\n") {
		s := &wire.Status{}
		if protojson.Unmarshal([]byte(line), s) == nil && s.GetInstance() != "" {
			statuses[s.GetInstance()] = s
		}
	}
	return statuses
}

// waitSettled waits until the slots are spread evenly over n instances.
func (f *fleet) waitSettled(n int) {
	f.t.Helper()
	f.eventually(settleTimeout, fmt.Sprintf("slots spread over %d instances", n), func() bool {
		total, holders := int32(0), 0
		for _, s := range f.statuses() {
			if s.GetSlotsHeld() > 0 && s.GetAuthority() {
				holders++
				total += s.GetSlotsHeld()
			}
		}
		return holders == n && total == 42
	})
}

func (f *fleet) eventually(limit time.Duration, what string, holds func() bool) time.Duration {
	f.t.Helper()
	started := time.Now()
	for !holds() {
		if time.Since(started) > limit {
			f.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(started)
}

// applyExample applies the deployment's rules and issues a key to every workspace.
func (f *fleet) applyExample() {
	f.t.Helper()
	file := filepath.Join(f.dir, "rules.txt")
	f.command("bulrushferry", "rules", "apply", "--who", "test", file)
	raw, _ := os.ReadFile(file)
	parsed, faults := rules.Parse(raw)
	if len(faults) > 0 {
		f.t.Fatal(faults)
	}
	f.rules = parsed
	for _, w := range parsed.GetWorkspaces() {
		key := f.command("bulrushferry", "keys", "issue", "--id", w.GetName()+"-1", "--workspace", w.GetName())
		f.keys[w.GetName()] = strings.TrimSpace(key)
	}
}

// fault switches faults of the stand-in.
func (f *fleet) fault(request *wire.FaultRequest) {
	f.t.Helper()
	raw, _ := protojson.Marshal(request)
	status, body, err := post(f.platform("/fault"), raw)
	if err != nil || status != fasthttp.StatusOK {
		f.t.Fatalf("fault %s: %d %s %v", raw, status, body, err)
	}
}

func post(url string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	err := fasthttp.DoTimeout(req, resp, 5*time.Second)
	return resp.StatusCode(), resp.Body(), err
}

func (f *fleet) report() *wire.StandinReport {
	f.t.Helper()
	_, body, err := post(f.platform("/report"), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	report := &wire.StandinReport{}
	if err := protojson.Unmarshal(body, report); err != nil {
		f.t.Fatal(err)
	}
	return report
}

// call sends one request to one instance and returns its outcome and status.
func (f *fleet) call(instance, method, path, key, action string, body string) (outcome string, status int, answer string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + f.entries[instance].GetCallerAddress() + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+key)
	if action != "" {
		req.Header.Set("Idempotency-Key", action)
	}
	req.SetBodyString(body)
	err := fasthttp.DoTimeout(req, resp, requestTimeout)
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		// The connection was left over from a process that has ended.
		err = fasthttp.DoTimeout(req, resp, requestTimeout)
	}
	if err != nil {
		return "", 0, err.Error()
	}
	return string(resp.Header.Peek("Bulrushferry-Outcome")), resp.StatusCode(), string(resp.Body())
}

// prefix asks an instance for an action prefix.
func (f *fleet) prefix(instance, service string) string {
	f.t.Helper()
	_, _, body := f.call(instance, "GET", "/v1/entries?service="+service, f.keys[f.rules.GetWorkspaces()[0].GetName()], "", "")
	list := &wire.EntryList{}
	if err := protojson.Unmarshal([]byte(body), list); err != nil {
		f.t.Fatalf("look-up at %s: %v: %s", instance, err, body)
	}
	return list.GetActionPrefix()
}
