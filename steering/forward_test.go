package steering

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/gateway"
	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/placement"
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
		t        *testing.T
		address  string
		handler  *Handler
		balancer *placement.Balancer
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
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		s := &scriptedServer{respond: f, Server: placement.Server{
			ID: fmt.Sprint("s", i), Service: "s", Address: listener.Addr().String(), FailureDomain: "d", Region: "r", Slots: 8, StartUnixMs: 1,
		}}
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		out = append(out, s)
	}
	return out
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
	in := &testInstance{t: t, servers: servers, balancer: placement.NewBalancer(placement.BalancerConfig{FailureDomain: "d", Region: "r", Regions: []string{"r"}})}
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
			Clock: system, Headers: testHeaders, Metrics: registry, MaxConnections: func(string) int { return 50 }, OnConnect: in.balancer.SetRoundTrip,
		}),
		RetryBudget: NewRetryBudget(RetryBudgetConfig{Bounds: func() Bounds { return Bounds{RetryRatio: 1, RetrySlack: 1000} }, InstanceCount: func() int { return 1 }}),
		Crashes:     placement.NewCrashTracker(), Memory: http1.NewMemory(16 << 20),
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	in.address = listener.Addr().String()
	server := gateway.NewServer(gateway.ServerConfig{Handler: in.handler, Log: hclog.NewNullLogger(), Limits: state.Limits})
	go func() { _ = server.Serve(listener) }()
	return in
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

// TestLeavingServerGetsNothingMore has a server say that it leaves in each kind of its
// answers. As soon as the caller has that answer nothing more may reach the server, while
// the list goes on calling it ready and while the store is away.
func TestLeavingServerGetsNothingMore(t *testing.T) {
	cases := map[string]func(id string) string{
		"a success": func(id string) string { return strings.Replace(ok(id), "Signature", "Leaving: 1\r\nSignature", 1) },
		"a failure": func(id string) string {
			return "HTTP/1.1 500 No\r\nRequest-Id: " + id + "\r\nSignature: x\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"
		},
		"a decline": func(id string) string {
			return "HTTP/1.1 503 No\r\nRequest-Id: " + id + "\r\nDeclined: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"
		},
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := startScripted(t, respond, ok)
			in := startInstance(t, servers)
			for n := 0; n < 200 && servers[0].arrivedAfter(time.Time{}) == 0; n++ {
				in.call("/b/"+strconv.Itoa(n), n, 1000)
			}
			if servers[0].arrivedAfter(time.Time{}) == 0 {
				t.Fatal("the server was not used")
			}
			passedOn := time.Now()
			for n := range 60 {
				if n == 20 {
					in.list(2)
				}
				if n == 40 {
					in.state.manualClock.Advance(4 * clock.Second)
				}
				if response := in.call("/a/x", 1000+n, 1000); response.StatusCode() != fasthttp.StatusOK {
					t.Fatalf("request %d got %d", n, response.StatusCode())
				}
			}
			if late := servers[0].arrivedAfter(passedOn); late > 0 {
				t.Errorf("%d requests reached the server after its notice", late)
			}
		})
	}
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

// TestPausedServerIsLeftAlone has one of two servers ask for a pause under load. At most
// two requests may reach it from half a second later to the end of the pause, nothing is
// refused meanwhile, and it is used again afterwards.
func TestPausedServerIsLeftAlone(t *testing.T) {
	var pausedAt atomic.Pointer[time.Time]
	pausing := func(id string) string {
		now := time.Now()
		if pausedAt.CompareAndSwap(nil, &now) {
			return "HTTP/1.1 503 No\r\nRequest-Id: " + id + "\r\nDeclined: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n"
		}
		return ok(id)
	}
	servers := startScripted(t, pausing, ok)
	in := startInstance(t, servers)
	var refused atomic.Int64
	in.runLoad(12, time.Now().Add(3*time.Second), func(status int) {
		if status != fasthttp.StatusOK {
			refused.Add(1)
		}
	})
	if pausedAt.Load() == nil {
		t.Fatal("the server was not used")
	}
	from, to := pausedAt.Load().Add(500*time.Millisecond), pausedAt.Load().Add(1500*time.Millisecond)
	if n := servers[0].arrivedAfter(from) - servers[0].arrivedAfter(to); n > 2 {
		t.Errorf("%d requests reached the server during its pause, at most 2 may", n)
	}
	if servers[0].arrivedAfter(to) == 0 {
		t.Error("the server was not used after its pause")
	}
	if refused.Load() > 0 {
		t.Errorf("%d requests were refused beside a free server", refused.Load())
	}
}

// TestServiceRecoversFromPauses has all servers of a service ask for pauses for a while.
// Requests are refused at once as not run; as soon as the servers allow it, they are served.
func TestServiceRecoversFromPauses(t *testing.T) {
	began := time.Now()
	respond := func(id string) string {
		if time.Since(began) < 1500*time.Millisecond {
			return "HTTP/1.1 503 No\r\nRequest-Id: " + id + "\r\nDeclined: 1\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"
		}
		return ok(id)
	}
	in := startInstance(t, startScripted(t, respond, respond, respond))
	var served, refused, late atomic.Int64
	in.runLoad(6, began.Add(5*time.Second), func(status int) {
		switch status {
		case fasthttp.StatusServiceUnavailable:
			refused.Add(1)
			if time.Since(began) > 2500*time.Millisecond {
				late.Add(1)
			}
		case fasthttp.StatusOK:
			served.Add(1)
		default:
			t.Errorf("got status %d", status)
		}
	})
	t.Logf("%d served, %d refused, %d of these later than 1 s after the servers recovered", served.Load(), refused.Load(), late.Load())
	if served.Load() == 0 || refused.Load() == 0 || late.Load() > 0 {
		t.Errorf("%d served, %d refused, %d of these after the recovery", served.Load(), refused.Load(), late.Load())
	}
}

// TestNothingIsSentWithoutPermission has a request wait behind another one on its
// connection, as if this process had been paused, until the instance's authority has run
// out or the caller's key was withdrawn. Then it must be refused as not run.
func TestNothingIsSentWithoutPermission(t *testing.T) {
	cases := map[string]func(in *testInstance){
		"the authority ran out": func(in *testInstance) {
			for i := range 6 {
				in.state.members.Record(&wire.FleetInstance{Instance: fmt.Sprint("silent", i)}, in.state.manualClock.Now())
			}
			in.state.manualClock.Advance(9 * clock.Second)
		},
		"the key was withdrawn": func(in *testInstance) { in.list(100) },
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			servers := startScripted(t, func(id string) string {
				if id == "1" {
					<-release
				}
				return ok(id)
			})
			in := startInstance(t, servers)
			c, err := net.Dial("tcp4", in.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			for id := 1; id <= 2; id++ {
				_, _ = fmt.Fprintf(c, "POST /b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nKey: k\r\nContent-Length: 0\r\n\r\n", id)
			}
			for wait := 0; wait < 2000 && servers[0].arrivedAfter(time.Time{}) == 0; wait++ {
				time.Sleep(time.Millisecond)
			}
			lose(in)
			close(release)
			reader := bufio.NewReader(c)
			for _, want := range []int{fasthttp.StatusOK, fasthttp.StatusServiceUnavailable} {
				var response fasthttp.Response
				if err := response.Read(reader); err != nil || response.StatusCode() != want {
					t.Fatalf("got %d, %v, want %d", response.StatusCode(), err, want)
				}
			}
			if n := servers[0].arrivedAfter(time.Time{}); n != 1 {
				t.Errorf("%d requests reached the server, want 1", n)
			}
		})
	}
}

// TestCallersOfEndlessServers checks that the callers of servers that send without end get
// a complete answer by their deadline that does not say that the request was not run.
func TestCallersOfEndlessServers(t *testing.T) {
	forever := func(begin, piece string) func(string) string {
		return func(id string) string { return fmt.Sprintf(begin, id) + strings.Repeat(piece, 1<<20/len(piece)) }
	}
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\n"
	cases := map[string]func(string) string{
		"a head":  forever("HTTP/1.1 200 OK\r\nX: %s", "yyyyyyyyyyyyyyyy"),
		"a body":  forever(head+"Connection: close\r\n\r\n", strings.Repeat("z", 4096)),
		"chunks":  forever(head+"Transfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("z", 0x400)+"\r\n"),
		"interim": forever("HTTP/1.1 103 Early\r\nX: %s\r\n\r\n", "HTTP/1.1 103 Early\r\n\r\n"),
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in := startInstance(t, startScripted(t, respond))
			started := time.Now()
			response := in.call("/b/x", 1, 600)
			if status := response.StatusCode(); status != fasthttp.StatusBadGateway && status != fasthttp.StatusGatewayTimeout {
				t.Errorf("got %d, want 502 or 504", status)
			}
			if took := time.Since(started); took > 700*time.Millisecond {
				t.Errorf("the answer came after %s, the deadline was 600 ms", took)
			}
			time.Sleep(20 * time.Millisecond)
			if used := in.handler.config.Memory.Used(); used != 0 {
				t.Errorf("%d bytes are held after the answer", used)
			}
		})
	}
}
