// Package scenario runs the real programs as separate processes on loopback and checks
// how they behave under faults. The store is the platform's table service, which the
// standin program simulates.
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

	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
)

type (
	// fleet holds the processes of one deployment: the standin program, which simulates
	// the platform and the backend servers, and the entry instances.
	fleet struct {
		t   *testing.T
		dir string
		// addressPrefix starts every address of this fleet, so that fleets of different
		// tests can run in parallel.
		addressPrefix string
		instances     []string
		settings      map[string]*wire.EntrySettings
		processes     map[string]*exec.Cmd
		keys          map[string]string
		rules         *wire.Rules
	}
)

const (
	operatorToken = "example-operator-token"
	examplePrefix = "127.0."
	// processRanges and networksPerRange divide 127.0.0.0/8 into ranges of /16 networks.
	// The process id selects the range of a test process. Each fleet uses one network
	// of the range.
	processRanges    = 5
	networksPerRange = 50
	rebalanceTimeout = 25 * time.Second
	requestTimeout   = 4 * time.Second
)

var (
	binDir     string
	fleetCount atomic.Int32
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bulrushferry")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "..", "../standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building: %v\n%s", err, out))
	}
	return m.Run()
}

// newFleet starts an example deployment, waits until the slots are assigned, applies the
// rules, issues the keys and gives them 5.5 s to reach all instances.
func newFleet(t *testing.T, deployment string) *fleet {
	t.Helper()
	f := &fleet{
		t: t, dir: t.TempDir(),
		settings:  make(map[string]*wire.EntrySettings),
		processes: make(map[string]*exec.Cmd),
		keys:      make(map[string]string),
	}
	example := filepath.Join("..", "example", deployment)
	if err := os.CopyFS(f.dir, os.DirFS(example)); err != nil {
		t.Fatal(err)
	}
	f.addressPrefix = fmt.Sprintf("127.%d.", firstNetwork()+int(fleetCount.Add(1)))
	f.rewriteAddresses()
	certNames, err := os.ReadFile(filepath.Join(f.dir, "certs.txt"))
	if err != nil {
		t.Fatal(err)
	}
	f.mustRun("standin", append([]string{"certs", "--out", filepath.Join(f.dir, "certs")}, strings.Fields(string(certNames))...)...)
	f.startProcess("standin", "standin", "serve", "--deployment", filepath.Join(f.dir, "deployment.json"))
	files, _ := filepath.Glob(filepath.Join(f.dir, "entries", "*.json"))
	for _, file := range files {
		raw, _ := os.ReadFile(file)
		s := &wire.EntrySettings{}
		if err := protojson.Unmarshal(raw, s); err != nil {
			t.Fatal(err)
		}
		f.settings[s.GetInstance()] = s
		f.instances = append(f.instances, s.GetInstance())
	}
	sort.Strings(f.instances)
	t.Cleanup(f.stopAll)
	for _, name := range f.instances {
		f.startInstance(name)
	}
	f.waitRebalanced(len(f.instances))
	f.configure()
	time.Sleep(5500 * time.Millisecond)
	return f
}

// firstNetwork returns one less than the number of the first network of this process.
// Test processes that run concurrently mostly get different ones.
func firstNetwork() int {
	return os.Getpid() % processRanges * networksPerRange
}

// rewriteAddresses replaces the addresses in the copied example by the fleet's own.
func (f *fleet) rewriteAddresses() {
	files, _ := filepath.Glob(filepath.Join(f.dir, "entries", "*.json"))
	for _, name := range []string{"deployment.json", "certs.txt", "rules.txt"} {
		files = append(files, filepath.Join(f.dir, name))
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			f.t.Fatal(err)
		}
		if err := os.WriteFile(file, bytes.ReplaceAll(raw, []byte(examplePrefix), []byte(f.addressPrefix)), 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fleet) platformURL(path string) string {
	return "http://" + f.addressPrefix + "10.1:8500" + path
}

// startInstance starts an entry instance.
func (f *fleet) startInstance(name string) {
	f.startProcess(name, "bulrushferry", "entry", "--settings", filepath.Join(f.dir, "entries", name+".json"))
}

// startProcess starts a program in the background. It appends the output to a file whose
// end is logged if the test fails.
func (f *fleet) startProcess(name, program string, args ...string) {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[name] = cmd
}

// stopAll kills all processes, and logs the end of their output if the test failed.
func (f *fleet) stopAll() {
	for name, cmd := range f.processes {
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
	_ = f.processes[name].Process.Kill()
	_ = f.processes[name].Wait()
	delete(f.processes, name)
}

func (f *fleet) signal(name string, signal syscall.Signal) {
	f.t.Helper()
	if err := f.processes[name].Process.Signal(signal); err != nil {
		f.t.Fatal(err)
	}
}

// waitExit waits for a process to exit and returns its exit code.
func (f *fleet) waitExit(name string) int {
	f.t.Helper()
	cmd := f.processes[name]
	delete(f.processes, name)
	_ = cmd.Wait()
	return cmd.ProcessState.ExitCode()
}

// mustRun runs a program and returns its standard output. It fails the test if the exit
// code is not zero.
func (f *fleet) mustRun(program string, args ...string) string {
	f.t.Helper()
	out, code := f.tryRun(program, args...)
	if code != 0 {
		f.t.Fatalf("%s %s: exit code %d\n%s", program, strings.Join(args, " "), code, out)
	}
	return out
}

// tryRun runs a program and returns its standard output and exit code. If the exit code is
// not zero, the output includes standard error.
func (f *fleet) tryRun(program string, args ...string) (string, int) {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	var addresses []string
	for _, name := range f.instances {
		addresses = append(addresses, f.settings[name].GetOperatorAddress())
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

// statuses returns the status of every entry instance that responds within 500 ms.
func (f *fleet) statuses() map[string]*wire.Status {
	out, _ := f.tryRun("bulrushferry", "status", "--json", "--timeout", "500ms")
	statuses := make(map[string]*wire.Status)
	for _, line := range strings.Split(out, "\n") {
		s := &wire.Status{}
		if protojson.Unmarshal([]byte(line), s) == nil && s.GetInstance() != "" {
			statuses[s.GetInstance()] = s
		}
	}
	return statuses
}

// waitRebalanced waits until n instances with authority hold all 42 slots.
func (f *fleet) waitRebalanced(n int) {
	f.t.Helper()
	f.eventually(rebalanceTimeout, fmt.Sprintf("slots spread over %d instances", n), func() bool {
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

// eventually polls a condition until it is true and returns how long that took. It fails
// the test after the timeout.
func (f *fleet) eventually(timeout time.Duration, what string, condition func() bool) time.Duration {
	f.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > timeout {
			f.t.Fatalf("condition not met within %s: %s", timeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(started)
}

// configure applies the deployment's rules and issues a key to every workspace.
func (f *fleet) configure() {
	f.t.Helper()
	file := filepath.Join(f.dir, "rules.txt")
	f.mustRun("bulrushferry", "rules", "apply", "--who", "test", file)
	raw, _ := os.ReadFile(file)
	parsed, errs := rules.Parse(raw)
	if len(errs) > 0 {
		f.t.Fatal(errs)
	}
	f.rules = parsed
	for _, w := range parsed.GetWorkspaces() {
		key := f.mustRun("bulrushferry", "keys", "issue", "--id", w.GetName()+"-1", "--workspace", w.GetName())
		f.keys[w.GetName()] = strings.TrimSpace(key)
	}
}

// setFault starts or ends faults that the standin program simulates.
func (f *fleet) setFault(request *wire.FaultRequest) {
	f.t.Helper()
	raw, _ := protojson.Marshal(request)
	status, body, err := post(f.platformURL("/fault"), raw)
	if err != nil || status != fasthttp.StatusOK {
		f.t.Fatalf("fault %s: %d %s %v", raw, status, body, err)
	}
}

// httpClient rejects responses without a valid status, which fasthttp may read as 200.
var httpClient = http1.GuardClient(&fasthttp.Client{})

func post(url string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	err := httpClient.DoTimeout(req, resp, 5*time.Second)
	return resp.StatusCode(), resp.Body(), err
}

// standinReport returns what the standin program has observed.
func (f *fleet) standinReport() *wire.StandinReport {
	f.t.Helper()
	_, body, err := post(f.platformURL("/report"), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	report := &wire.StandinReport{}
	if err := protojson.Unmarshal(body, report); err != nil {
		f.t.Fatal(err)
	}
	return report
}

// call sends one request to an instance and returns the outcome, status and body of the
// response. If there is none, it returns the error as the body.
func (f *fleet) call(instance, method, path, key, action string, body string) (outcome string, status int, response string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + f.settings[instance].GetCallerAddress() + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+key)
	if action != "" {
		req.Header.Set("Idempotency-Key", action)
	}
	req.SetBodyString(body)
	err := httpClient.DoTimeout(req, resp, requestTimeout)
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		// The pooled connection belonged to a process that has exited.
		err = httpClient.DoTimeout(req, resp, requestTimeout)
	}
	if err != nil {
		return "", 0, err.Error()
	}
	return string(resp.Header.Peek("Bulrushferry-Outcome")), resp.StatusCode(), string(resp.Body())
}

// actionPrefix does a lookup at an instance and returns the action prefix from the
// response.
func (f *fleet) actionPrefix(instance, service string) string {
	f.t.Helper()
	_, _, body := f.call(instance, "GET", "/v1/entries?service="+service, f.keys[f.rules.GetWorkspaces()[0].GetName()], "", "")
	list := &wire.EntryList{}
	if err := protojson.Unmarshal([]byte(body), list); err != nil {
		f.t.Fatalf("listing entries at %s: %v: %s", instance, err, body)
	}
	return list.GetActionPrefix()
}
