package steering

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/admission"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/gateway"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/retry"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

type (
	// scriptedServer is a backend server whose responses a test scripts.
	scriptedServer struct {
		placement.Server
		// respond returns the response to a request with the given id.
		respond func(id string) string

		mu sync.Mutex
		// arrivals holds when each request arrived.
		arrivals []time.Time
	}

	// testInstance serves callers on a real socket, with real connections to scripted
	// servers and without a platform.
	testInstance struct {
		// read counts the requests that callers have sent.
		read     atomic.Int64
		t        *testing.T
		address  string
		handler  *Handler
		balancer *placement.Balancer
		memory   *memory.Account
		state    testControlState
		servers  []*scriptedServer
	}

	// listDecoder decodes rows whose keys are the IDs of scripted servers.
	listDecoder struct {
		servers map[string]placement.Server
		config  func(version int64) *routing.Config
	}
)

var testHeaders = origin.HeaderNames{
	RequestID: "Request-Id", Deadline: "Deadline", APIKey: "Key", Workspace: "Workspace", Pin: "Pin", Declined: "Declined",
	Signature: "Signature", Load: "Load", Cold: "Cold", Leaving: "Leaving", AffinityCookie: "object",
}

func (d listDecoder) Config(rows []*wire.TableRow) (Rules, error) {
	rules := Rules{}
	for _, row := range rows {
		rules.Config = d.config(row.GetVersion())
	}
	return rules, nil
}

func (d listDecoder) Server(row *wire.TableRow) (placement.Server, string) {
	return d.servers[row.GetKey()], ""
}

// testConfig returns a configuration with an idempotent route /a/ and one that runs once,
// /b/. The workspace w has the key k, unless withoutKey is set.
func testConfig(version int64, withoutKey bool) *routing.Config {
	route := func(prefix string, mode routing.Mode) *routing.Route {
		return &routing.Route{
			Name: prefix, Host: "h", Prefix: prefix, Mode: mode, Timeout: 3000, Objective: 500, MaxAttempts: 2,
			Services: []routing.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	workspace := &routing.Workspace{Name: "w", Keys: []string{"k"}}
	if withoutKey {
		workspace.Keys = []string{"another"}
	}
	return routing.New(routing.Spec{
		Version: version, Routes: []*routing.Route{route("/a/", routing.Idempotent), route("/b/", routing.Once)},
		Services:   []routing.Service{{Name: "s", MaxConnections: 100, ColdStart: 0, ColdRatePerS: 100}},
		Workspaces: []*routing.Workspace{workspace},
	})
}

// startScripted starts servers named s0, s1 and so on, one for each function.
func startScripted(t *testing.T, respond ...func(id string) string) []*scriptedServer {
	t.Helper()
	var out []*scriptedServer
	for i, f := range respond {
		s := &scriptedServer{respond: f}
		s.Server = startServer(t, i, s.serve)
		out = append(out, s)
	}
	return out
}

// startServer starts server number i, which handles its connections with a function.
func startServer(t *testing.T, i int, handle func(net.Conn)) placement.Server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return placement.Server{
		ID: fmt.Sprint("s", i), Service: "s", Address: listener.Addr().String(), FailureDomain: "d", Region: "r", Slots: 8, StartUnixMs: 1,
	}
}

func (s *scriptedServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		var request fasthttp.Request
		if request.Read(reader) != nil {
			return
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mu.Unlock()
		text := s.respond(string(request.Header.Peek("Request-Id")))
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// arrivedAfter returns how many requests arrived after a time.
func (s *scriptedServer) arrivedAfter(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.arrivals {
		if at.After(from) {
			count++
		}
	}
	return count
}

func ok(id string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: x\r\nContent-Length: 2\r\n\r\nok"
}

// startInstance starts an instance that knows the servers.
func startInstance(t *testing.T, servers []*scriptedServer) *testInstance {
	t.Helper()
	byID := make(map[string]placement.Server)
	for _, s := range servers {
		byID[s.ID] = s.Server
	}
	manual := &clock.Manual{}
	manual.Set(100 * clock.Second)
	system := clock.NewSystem()
	members := fleet.NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
	in := &testInstance{t: t, servers: servers, balancer: placement.NewBalancer(placement.BalancerConfig{FailureDomain: "d", Region: "r", Regions: []string{"r"}}), memory: memory.NewAccount(memory.Limits{Total: 16 << 20, Responses: 16 << 20})}
	registry := metrics.NewRegistry()
	state := NewControlState(ControlStateConfig{
		BootClock: manual, Clock: system, Log: hclog.NewNullLogger(), Metrics: registry, Balancer: in.balancer, Members: members,
		Decoder:       listDecoder{servers: byID, config: func(version int64) *routing.Config { return testConfig(version, version >= 100) }},
		AuthorityTerm: func() clock.Millis { return 5 * clock.Second },
	})
	state.SetReplicas(fleet.NewReplica("rules", state.ReloadRules), fleet.NewReplica("servers", state.ReloadServers))
	state.MarkJoined()
	in.state = testControlState{ControlState: state, manualClock: manual, members: members}
	in.list(1)
	in.handler = NewHandler(HandlerConfig{
		Clock: system, Log: hclog.NewNullLogger(), Metrics: registry, Headers: testHeaders, ControlState: state, Balancer: in.balancer,
		Pool: origin.NewPool(origin.PoolConfig{
			Clock: system, Headers: testHeaders, Metrics: registry, MaxConnections: func(string) int { return 50 }, OnConnect: in.balancer.SetRoundTrip, Memory: in.memory,
		}),
		RetryBudget: retry.NewBudget(retry.BudgetConfig{Limits: func() retry.Limits { return retry.Limits{Ratio: 1, Slack: 1000} }, InstanceCount: func() int { return 1 }}),
		Crashes:     placement.NewCrashTracker(),
		Admission:   admission.NewController(nil),
	})
	state.OnServersChange(in.handler.offerNewRoom)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	in.address = listener.Addr().String()
	server := gateway.NewServer(gateway.ServerConfig{Handler: in, Log: hclog.NewNullLogger(), Limits: state.Limits})
	go func() { _ = server.Serve(listener) }()
	return in
}

// Serve implements gateway.Handler. It counts the requests that have been read.
func (in *testInstance) Serve(ctx context.Context, x *gateway.Exchange) {
	in.read.Add(1)
	in.handler.Serve(ctx, x)
}

// list applies all servers as ready, and the configuration, at a version.
func (in *testInstance) list(version int64) {
	ids := make([]string, 0, len(in.servers))
	for _, s := range in.servers {
		ids = append(ids, s.ID)
	}
	in.state.applyTables(version, "", ids...)
}

// call sends one request and returns the response.
func (in *testInstance) call(path string, n int, deadline clock.Millis) *fasthttp.Response {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://" + in.address + path)
	request.Header.SetHost("h")
	request.UseHostHeader = true
	request.Header.Set("Request-Id", strconv.Itoa(n))
	request.Header.Set("Key", "k")
	request.Header.Set("Deadline", strconv.Itoa(int(deadline)))
	client := &fasthttp.HostClient{Addr: in.address, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	if err := client.DoTimeout(request, response, deadline.Duration()+2*time.Second); err != nil {
		in.t.Fatalf("request %d: %v", n, err)
	}
	client.CloseIdleConnections()
	return response
}

// runLoad sends requests from several callers until a time.
func (in *testInstance) runLoad(callers int, until time.Time, handle func(status int)) {
	var group sync.WaitGroup
	var next atomic.Int64
	for range callers {
		group.Go(func() {
			for time.Now().Before(until) {
				handle(in.call("/a/x", int(next.Add(1)), 1000).StatusCode())
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	group.Wait()
}
