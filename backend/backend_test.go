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

// serve answers every connection with a function.
func serve(t *testing.T, answer func(c net.Conn, request *fasthttp.Request)) string {
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
					answer(c, request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func TestExchangeRefusesAnswers(t *testing.T) {
	const silence = "(silence)"
	cases := map[string]struct {
		answer string
		want   *errorx.Type
	}{
		"whole":                {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nBulrushferry-Request-Id: mine\r\n\r\nok", nil},
		"without the id":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil},
		"of another request":   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nBulrushferry-Request-Id: other\r\n\r\nok", ErrMismatchedResponse},
		"cut":                  {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", ErrConnectionLost},
		"cut in the head":      {"HTTP/1.1 200 OK\r\nContent-", ErrConnectionLost},
		"without a length":     {"HTTP/1.1 200 OK\r\n\r\nok", ErrConnectionLost},
		"cut in a chunk":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", ErrConnectionLost},
		"declined":             {"HTTP/1.1 503 No\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n", ErrDeclined},
		"closed without words": {"", ErrConnectionLost},
		"silent":               {silence, ErrTimeout},
		"silent in the head":   {"HTTP/1.1 200 OK\r\nContent-" + silence, ErrTimeout},
		"silent in the body":   {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok" + silence, ErrTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(conn net.Conn, _ *fasthttp.Request) {
				answer, silent := strings.CutSuffix(c.answer, silence)
				_, _ = io.WriteString(conn, answer)
				if silent {
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
			err = conn.exchange(request, response, exchangeLimits{requestID: "mine", deadline: deadline, budget: 1000})
			if (c.want == nil) != (err == nil) || (c.want != nil && !errorx.IsOfType(err, c.want)) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// newTestPool returns a pool of one service with two units on each server.
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

func call(pool *Pool, once bool, span clock.Millis) Result {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://s/")
	return pool.Run(context.Background(), &Call{
		ID: "id", Service: "s", Workspace: "w", Once: once, Weight: 1,
		Deadline: pool.config.Clock.Now() + span, Fingerprint: []byte("f"),
		Request: request, Response: response, BeforeSend: func() error { return nil },
	})
}

func TestRunOutcomes(t *testing.T) {
	good := serve(t, func(c net.Conn, _ *fasthttp.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	cutting := func() string {
		return serve(t, func(net.Conn, *fasthttp.Request) {})
	}
	silent := serve(t, func(net.Conn, *fasthttp.Request) { time.Sleep(3 * time.Second) })
	const nobody = "127.0.0.1:1"
	cases := map[string]struct {
		servers []string
		once    bool
		want    wire.Outcome
	}{
		"idempotent, one server cuts":      {[]string{cutting(), good}, false, wire.Outcome_OUTCOME_DONE},
		"idempotent, one server is silent": {[]string{silent, good}, false, wire.Outcome_OUTCOME_DONE},
		"idempotent, two servers cut":      {[]string{cutting(), cutting()}, false, wire.Outcome_OUTCOME_UNKNOWN},
		"once, the server cuts":            {[]string{cutting()}, true, wire.Outcome_OUTCOME_UNKNOWN},
		"once, nobody listens":             {[]string{nobody}, true, wire.Outcome_OUTCOME_NOT_RUN},
		"once, one does not listen":        {[]string{nobody, good}, true, wire.Outcome_OUTCOME_DONE},
		"no server":                        {nil, false, wire.Outcome_OUTCOME_NOT_RUN},
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

// TestSilentServerKeepsItsUnit runs a request that a server does not answer. The
// server may be running it until its deadline, so the unit stays taken, and a
// timeout is no sign of a crash.
func TestSilentServerKeepsItsUnit(t *testing.T) {
	silent := serve(t, func(net.Conn, *fasthttp.Request) { time.Sleep(3 * time.Second) })
	pool := newTestPool(silent, silent)
	result := call(pool, true, 200)
	if !errorx.IsOfType(result.Err, ErrTimeout) {
		t.Errorf("got %v, want a timeout", result.Err)
	}
	servers := pool.Candidates("s")
	if n := servers[0].GetInFlight() + servers[1].GetInFlight(); n != 1 {
		t.Errorf("%d units are taken just after the deadline, want 1", n)
	}
	if servers[0].GetExcluded() == "" && servers[1].GetExcluded() == "" {
		t.Error("the silent server gets the next request at once")
	}
	for range 3 {
		call(pool, true, 50)
	}
	if pool.Quarantine().Contains([]byte("f")) {
		t.Error("timeouts have put the request into quarantine")
	}
}

// TestOnceIsSentOnce counts what reaches servers that cut every answer.
func TestOnceIsSentOnce(t *testing.T) {
	for range 20 {
		arrived := make(chan struct{}, 10)
		cut := func(net.Conn, *fasthttp.Request) { arrived <- struct{}{} }
		pool := newTestPool(serve(t, cut), serve(t, cut), serve(t, cut))
		call(pool, true, 300)
		time.Sleep(5 * time.Millisecond)
		if len(arrived) != 1 {
			t.Fatalf("%d servers were sent a request that may run once", len(arrived))
		}
	}
}

func TestQueueIsFair(t *testing.T) {
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
		who, _ := q.Pop(0, nil)
		got[who]++
	}
	// Four rounds serve all ten of the heavy one; then two lanes take turns.
	if got["quiet"] != 7 || got["heavy"] != 10 || got["flooder"] != 8 {
		t.Errorf("the first 25 turns went to %v", got)
	}
}

func TestQueueKeepsItsItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue[int](FairQueueConfig{MaxItems: 20, MaxItemsPerWorkspace: 8})
		in, out := 0, 0
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now := clock.Millis(i)
			if rapid.Bool().Draw(t, "push") {
				who := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "who")
				deadline := now + clock.Millis(rapid.IntRange(1, 30).Draw(t, "life"))
				if q.Push(who, rapid.IntRange(1, 4).Draw(t, "weight"), deadline, i) {
					in++
				}
				continue
			}
			if _, ok := q.Pop(now, func(int) { out++ }); ok {
				out++
			}
		}
		if in-out != q.Len() || q.Len() > 20 {
			t.Fatalf("%d went in, %d came out, %d are left", in, out, q.Len())
		}
	})
}

func TestChoose(t *testing.T) {
	first := func(int) int { return 0 }
	cases := map[string]struct {
		candidates []Candidate
		want       []string
	}{
		"none has room":       {[]Candidate{{Name: "a", Slots: 1, InFlight: 1}}, nil},
		"excluded":            {[]Candidate{{Name: "a", Slots: 1, ExclusionReason: "x"}, {Name: "b", Slots: 1}}, []string{"b"}},
		"an outlier rests":    {[]Candidate{{Name: "a", Slots: 9, Latency: 900, LastChosenAt: 99_999}, {Name: "b", Slots: 9, Latency: 50}, {Name: "c", Slots: 9, Latency: 50}}, []string{"b", "c"}},
		"an outlier is tried": {[]Candidate{{Name: "a", Slots: 9, Latency: 900}, {Name: "b", Slots: 1, InFlight: 1, Latency: 50}, {Name: "c", Slots: 1, InFlight: 1, Latency: 50}}, []string{"a"}},
		"most look unwell":    {[]Candidate{{Name: "a", Slots: 9, Latency: 900, LastChosenAt: 99_999}, {Name: "b", Slots: 9, Latency: 900, LastChosenAt: 99_999}, {Name: "c", Slots: 9, Latency: 5, ExclusionReason: "x"}}, []string{"a", "b"}},
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

func TestQuarantineHoldsAfterTwoServers(t *testing.T) {
	now := &clock.Manual{}
	q := NewQuarantine(now)
	q.RecordCrash([]byte("f"), "a")
	q.RecordCrash([]byte("f"), "a")
	if q.Contains([]byte("f")) {
		t.Error("held after one server")
	}
	q.RecordCrash([]byte("f"), "b")
	if !q.Contains([]byte("f")) {
		t.Error("not held after two servers")
	}
	now.Advance(suspectFor)
	if q.Contains([]byte("f")) {
		t.Error("held for ever")
	}
}
