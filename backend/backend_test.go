package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// serve starts a server that reads one request from each connection, calls handle
// and closes the connection. It returns the server's address.
func serve(t *testing.T, handle func(c net.Conn, request *fasthttp.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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
			go func() {
				defer func() { _ = c.Close() }()
				request := &fasthttp.Request{}
				if request.Read(bufio.NewReader(c)) == nil {
					handle(c, request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func TestExchangeValidatesResponses(t *testing.T) {
	// stall at the end of what is sent keeps the connection open.
	const stall = "(stall)"
	cases := map[string]struct {
		sent string
		want *errorx.Type
	}{
		"complete":                    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nBulrushferry-Request-Id: mine\r\n\r\nok", nil},
		"no request id":               {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil},
		"another request id":          {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nBulrushferry-Request-Id: other\r\n\r\nok", ErrMismatchedResponse},
		"truncated body":              {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", ErrConnectionLost},
		"truncated header":            {"HTTP/1.1 200 OK\r\nContent-", ErrConnectionLost},
		"no content length":           {"HTTP/1.1 200 OK\r\n\r\nok", ErrConnectionLost},
		"truncated chunk":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", ErrConnectionLost},
		"declined":                    {"HTTP/1.1 503 No\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n", ErrDeclined},
		"no response":                 {"", ErrConnectionLost},
		"stalled before the response": {stall, ErrTimeout},
		"stalled in the header":       {"HTTP/1.1 200 OK\r\nContent-" + stall, ErrTimeout},
		"stalled in the body":         {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok" + stall, ErrTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(conn net.Conn, _ *fasthttp.Request) {
				sent, stalled := strings.CutSuffix(c.sent, stall)
				_, _ = io.WriteString(conn, sent)
				if stalled {
					time.Sleep(time.Second)
				}
			})
			deadline := time.Now().Add(300 * time.Millisecond)
			conn, err := dial(netip.Addr{}, address, deadline)
			if err != nil {
				t.Fatal(err)
			}
			request, response := &fasthttp.Request{}, &fasthttp.Response{}
			request.SetRequestURI("http://" + address + "/")
			err = conn.exchange(request, response, exchangeOptions{requestID: "mine", deadline: deadline, timeLeft: 1000})
			if (c.want == nil) != (err == nil) || (c.want != nil && !errorx.IsOfType(err, c.want)) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// newTestPool returns a pool with one service and two slots on each server.
func newTestPool(addresses ...string) *Pool {
	pool := NewPool(PoolConfig{
		Clock:            clock.NewSystem(),
		Log:              hclog.NewNullLogger(),
		ServerLimits:     func(*wire.BackendServer) (int, int) { return 2, 4 },
		RegionLimit:      func(string) int { return 100 },
		AssertInvariants: true,
	})
	var list []*wire.BackendServer
	for i, address := range addresses {
		list = append(list, &wire.BackendServer{Name: fmt.Sprint("s", i), Service: "s", Address: address})
	}
	pool.UpdateServers(list, values.NewSet[string]())
	return pool
}

func call(pool *Pool, once bool, timeout clock.Millis) Result {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://s/")
	return pool.Run(context.Background(), &Call{
		ID: "id", Service: "s", Workspace: "w", Once: once, Weight: 1,
		Deadline: pool.config.Clock.Now() + timeout, Fingerprint: []byte("f"),
		Request: request, Response: response, BeforeSend: func() error { return nil },
	})
}

func TestRunOutcomes(t *testing.T) {
	good := serve(t, func(c net.Conn, _ *fasthttp.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	closing := func() string {
		return serve(t, func(net.Conn, *fasthttp.Request) {})
	}
	stalled := serve(t, func(net.Conn, *fasthttp.Request) { time.Sleep(3 * time.Second) })
	const unreachable = "127.0.0.1:1"
	cases := map[string]struct {
		servers []string
		once    bool
		want    wire.Outcome
	}{
		"idempotent, one server closes":     {[]string{closing(), good}, false, wire.Outcome_OUTCOME_DONE},
		"idempotent, one server stalls":     {[]string{stalled, good}, false, wire.Outcome_OUTCOME_DONE},
		"idempotent, two servers close":     {[]string{closing(), closing()}, false, wire.Outcome_OUTCOME_UNKNOWN},
		"once, the server closes":           {[]string{closing()}, true, wire.Outcome_OUTCOME_UNKNOWN},
		"once, no server is reachable":      {[]string{unreachable}, true, wire.Outcome_OUTCOME_NOT_RUN},
		"once, one server is not reachable": {[]string{unreachable, good}, true, wire.Outcome_OUTCOME_DONE},
		"no server":                         {nil, false, wire.Outcome_OUTCOME_NOT_RUN},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for range 4 {
				result := call(newTestPool(c.servers...), c.once, 400)
				if result.Outcome != c.want {
					t.Errorf("got %v (%v), want %v", result.Outcome, result.Err, c.want)
				}
			}
		})
	}
}

// TestListChangesDuringCalls changes the servers' entries while calls run, for the race
// detector.
func TestListChangesDuringCalls(t *testing.T) {
	address := serve(t, func(c net.Conn, _ *fasthttp.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	pool := newTestPool(address)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 30 {
			call(pool, false, 400)
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
			pool.UpdateServers([]*wire.BackendServer{{Name: "s0", Service: "s", Address: address}}, values.NewSet[string]())
		}
	}
}

// TestTimeoutKeepsSlot sends a request to a server that never answers. The server may
// be running the request until its deadline, so the slot must stay taken until then,
// and the timeout must not count as a crash.
func TestTimeoutKeepsSlot(t *testing.T) {
	stalled := serve(t, func(net.Conn, *fasthttp.Request) { time.Sleep(3 * time.Second) })
	pool := newTestPool(stalled, stalled)
	result := call(pool, true, 200)
	if !errorx.IsOfType(result.Err, ErrTimeout) {
		t.Errorf("got %v, want a timeout", result.Err)
	}
	servers := pool.Candidates("s")
	if n := servers[0].GetInFlight() + servers[1].GetInFlight(); n != 1 {
		t.Errorf("%d slots are taken just after the deadline, want 1", n)
	}
	if servers[0].GetExcluded() == "" && servers[1].GetExcluded() == "" {
		t.Error("the stalled server is not excluded after the timeout")
	}
	for range 3 {
		call(pool, true, 50)
	}
	if pool.Quarantine().Contains([]byte("f")) {
		t.Error("timeouts quarantined the request")
	}
}

// TestOnceNotResent checks that a request that may run at most once is not sent to
// another server after the first one closed the connection without a response.
func TestOnceNotResent(t *testing.T) {
	for range 20 {
		arrived := make(chan struct{}, 10)
		handle := func(net.Conn, *fasthttp.Request) { arrived <- struct{}{} }
		pool := newTestPool(serve(t, handle), serve(t, handle), serve(t, handle))
		call(pool, true, 300)
		time.Sleep(5 * time.Millisecond)
		if len(arrived) != 1 {
			t.Fatalf("%d servers received a request that may run at most once, want 1", len(arrived))
		}
	}
}

func TestFairQueueOrder(t *testing.T) {
	q := NewFairQueue[string](FairQueueConfig{MaxItems: 1000, MaxItemsPerWorkspace: 500})
	for range 400 {
		q.Push("flooder", 1, 100, "flooder")
	}
	for range 10 {
		q.Push("quiet", 1, 100, "quiet")
		q.Push("heavy", 3, 100, "heavy")
	}
	got := make(map[string]int)
	for range 25 {
		workspace, _ := q.Pop(0, nil)
		got[workspace]++
	}
	// Four rounds serve all ten heavy items; then the other two alternate.
	if got["quiet"] != 7 || got["heavy"] != 10 || got["flooder"] != 8 {
		t.Errorf("the first 25 items came from %v", got)
	}
}

// TestFairQueueLen checks that every pushed item is popped, expired or still counted.
func TestFairQueueLen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue[int](FairQueueConfig{MaxItems: 20, MaxItemsPerWorkspace: 8})
		in, out := 0, 0
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now := clock.Millis(i)
			if rapid.Bool().Draw(t, "push") {
				workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
				deadline := now + clock.Millis(rapid.IntRange(1, 30).Draw(t, "timeout"))
				if q.Push(workspace, rapid.IntRange(1, 4).Draw(t, "weight"), deadline, i) {
					in++
				}
				continue
			}
			if _, ok := q.Pop(now, func(int) { out++ }); ok {
				out++
			}
		}
		if in-out != q.Len() || q.Len() > 20 {
			t.Fatalf("%d items were pushed, %d popped or expired, %d are left", in, out, q.Len())
		}
	})
}

func TestChoose(t *testing.T) {
	first := func(int) int { return 0 }
	cases := map[string]struct {
		candidates []Candidate
		want       []string
	}{
		"no free slot":      {[]Candidate{{Name: "a", Slots: 1, InFlight: 1}}, nil},
		"excluded":          {[]Candidate{{Name: "a", Slots: 1, ExclusionReason: "x"}, {Name: "b", Slots: 1}}, []string{"b"}},
		"recent outlier":    {[]Candidate{{Name: "a", Slots: 9, Latency: 900, LastChosenAt: 99_999}, {Name: "b", Slots: 9, Latency: 50}, {Name: "c", Slots: 9, Latency: 50}}, []string{"b", "c"}},
		"idle outlier":      {[]Candidate{{Name: "a", Slots: 9, Latency: 900}, {Name: "b", Slots: 1, InFlight: 1, Latency: 50}, {Name: "c", Slots: 1, InFlight: 1, Latency: 50}}, []string{"a"}},
		"too many outliers": {[]Candidate{{Name: "a", Slots: 9, Latency: 900, LastChosenAt: 99_999}, {Name: "b", Slots: 9, Latency: 900, LastChosenAt: 99_999}, {Name: "c", Slots: 9, Latency: 5, ExclusionReason: "x"}}, []string{"a", "b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			i := Choose(100_000, c.candidates, first)
			got := ""
			if i >= 0 {
				got = c.candidates[i].Name
			}
			if (len(c.want) == 0 && i >= 0) || (len(c.want) > 0 && !strings.Contains(strings.Join(c.want, " "), got)) || (len(c.want) > 0 && got == "") {
				t.Errorf("got %q, want one of %v", got, c.want)
			}
		})
	}
}

func TestQuarantineThreshold(t *testing.T) {
	now := &clock.Manual{}
	q := NewQuarantine(now)
	q.RecordCrash([]byte("f"), "a")
	q.RecordCrash([]byte("f"), "a")
	if q.Contains([]byte("f")) {
		t.Error("quarantined after one server")
	}
	q.RecordCrash([]byte("f"), "b")
	if !q.Contains([]byte("f")) {
		t.Error("not quarantined after two servers")
	}
	now.Advance(suspectTTL)
	if q.Contains([]byte("f")) {
		t.Error("still quarantined after the record expired")
	}
}
