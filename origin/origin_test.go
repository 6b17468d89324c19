package origin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

var testHeaders = HeaderNames{
	RequestID: "Request-Id", Deadline: "Deadline", APIKey: "Key", Workspace: "Workspace", Pin: "Pin",
	Declined: "Declined", Signature: "Signature", Load: "Load", Cold: "Cold", Leaving: "Leaving", AffinityCookie: "object",
}

// responder returns the bytes that a server sends after it has read request n,
// counted from zero. An empty string closes the connection.
type responder func(n int, header string) string

// serve runs a server until the test ends, which handles one connection at a time.
func serve(t *testing.T, respond responder) placement.Server {
	t.Helper()
	count := 0
	return listen(t, func(c net.Conn) { serveConn(c, respond, &count) })
}

// listen runs a server until the test ends and calls handle with each connection.
func listen(t *testing.T, handle func(net.Conn)) placement.Server {
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
			handle(c)
		}
	}()
	return placement.Server{ID: "s", Service: "desk", Region: "a", Address: listener.Addr().String()}
}

func serveConn(c net.Conn, respond responder, count *int) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		text := respond(*count, request.Header.String())
		*count++
		if text == "" {
			return
		}
		_, _ = c.Write([]byte(text))
		if strings.Contains(text, "Connection: close") {
			return
		}
	}
}

func newTestPool() *Pool {
	return NewPool(PoolConfig{
		Clock: clock.NewSystem(), Headers: testHeaders, Metrics: metrics.NewRegistry(),
		MaxConnections: func(string) int { return 2 }, OnConnect: func(string, clock.Millis) {},
	})
}

func testRequest(id string) *Request {
	source := &fasthttp.Request{}
	head := "GET /a/1?x=%20y HTTP/1.1\r\nHost: a.example\r\nKey: secret\r\nWorkspace: forged\r\nDeadline: 99999\r\n" +
		"Connection: close, X-Private\r\nX-Private: 1\r\nX-Public: 1\r\nRequest-Id: " + id + "\r\n\r\n"
	if err := source.Read(bufio.NewReader(strings.NewReader(head))); err != nil {
		panic(err)
	}
	return &Request{ID: id, Pin: "s", Workspace: "w", TimeLeft: 400, Source: source, Withhold: func() string { return "" }}
}

// bodyOf returns the body of a response, or an empty string if there is none.
func bodyOf(response *Response) string {
	if response == nil {
		return ""
	}
	return string(response.Message().Body())
}

// responseTo returns a complete, signed response to the request with the given id.
func responseTo(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), extra, body)
}

func TestDoValidatesResponses(t *testing.T) {
	cases := map[string]struct {
		sent     string
		body     string
		declined bool
		err      *errorx.Type
	}{
		"complete":                       {sent: responseTo("1", "", "body"), body: "body"},
		"stale response first":           {sent: responseTo("0", "", "stale") + responseTo("1", "", "body"), body: "body"},
		"only a stale response":          {sent: responseTo("0", "", "stale"), err: ErrTimeout},
		"truncated body":                 {sent: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\nContent-Length: 9\r\nConnection: close\r\n\r\nbody", err: ErrResponseLost},
		"no signature":                   {sent: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\nbody", err: ErrResponseLost},
		"no request id":                  {sent: "HTTP/1.1 200 OK\r\nSignature: x\r\nContent-Length: 4\r\n\r\nbody", err: ErrResponseLost},
		"content encoding not asked for": {sent: responseTo("1", "Content-Encoding: gzip\r\n", "body"), err: ErrResponseLost},
		"malformed":                      {sent: "garbage\r\n\r\n", err: ErrResponseLost},
		"connection closed":              {sent: "", err: ErrResponseLost},
		"stalled in the header":          {sent: "HTTP/1.1 ", err: ErrTimeout},
		"declined":                       {sent: "HTTP/1.1 503 Busy\r\nDeclined: 1\r\nContent-Length: 0\r\n\r\n", declined: true},
		"misdirected":                    {sent: "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", declined: true},
		"body without a length":          {sent: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\nConnection: close\r\n\r\nbody", body: "body"},
		"chunked":                        {sent: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", body: "body"},
		"interim response first":         {sent: "HTTP/1.1 103 Early\r\n\r\n" + responseTo("1", "", "body"), body: "body"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := serve(t, func(int, string) string { return c.sent })
			response, info, err := newTestPool().Do(context.Background(), server, true, testRequest("1"))
			if c.err != nil {
				if !errorx.IsOfType(err, c.err) {
					t.Fatalf("got %v, want %s", err, c.err)
				}
				return
			}
			if err != nil || info.Declined != c.declined || bodyOf(response) != c.body {
				t.Fatalf("got %q, declined %v, %v", bodyOf(response), info.Declined, err)
			}
		})
	}
}

// TestExtraBytesCloseConnection has a server send a second response right after the
// first. The connection must not be reused, or the next request would get it.
func TestExtraBytesCloseConnection(t *testing.T) {
	server := serve(t, func(n int, _ string) string {
		if n == 0 {
			return responseTo("1", "", "first") + responseTo("2", "", "forged")
		}
		return responseTo("2", "", "second")
	})
	pool := newTestPool()
	for id, want := range map[string]string{"1": "first"} {
		if response, _, err := pool.Do(context.Background(), server, true, testRequest(id)); err != nil || bodyOf(response) != want {
			t.Fatalf("got %q (%v), want %q", bodyOf(response), err, want)
		}
	}
	time.Sleep(20 * time.Millisecond)
	if response, _, err := pool.Do(context.Background(), server, true, testRequest("2")); err != nil || bodyOf(response) != "second" {
		t.Fatalf("got %q (%v), want %q", bodyOf(response), err, "second")
	}
}

// TestForwardedHeader checks the request as the server gets it: the path and the
// end-to-end fields are unchanged, reserved fields are replaced, and the API key and
// hop-by-hop fields are removed.
func TestForwardedHeader(t *testing.T) {
	headers := make(chan string, 1)
	server := serve(t, func(_ int, header string) string {
		headers <- header
		return responseTo("1", "", "")
	})
	if _, _, err := newTestPool().Do(context.Background(), server, true, testRequest("1")); err != nil {
		t.Fatal(err)
	}
	header := <-headers
	for _, want := range []string{"GET /a/1?x=%20y HTTP/1.1\r\n", "Host: a.example\r\n", "Workspace: w\r\n", "Pin: s\r\n", "Deadline: 400\r\n", "X-Public: 1\r\n"} {
		if !strings.Contains(header, want) {
			t.Errorf("the header lacks %q:\n%s", want, header)
		}
	}
	for _, never := range []string{"secret", "forged", "99999", "X-Private"} {
		if strings.Contains(header, never) {
			t.Errorf("the header contains %q:\n%s", never, header)
		}
	}
}

func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, _, err = newTestPool().Do(context.Background(), placement.Server{ID: "s", Address: address}, true, testRequest("1"))
	if !errorx.IsOfType(err, ErrUnreachable) {
		t.Fatalf("got %v, want %s", err, ErrUnreachable)
	}
}

// TestConnectionLimit sends more concurrent requests than the limit allows
// connections. The excess one must fail without being sent, and must not make the
// server count as unreachable.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	defer close(release)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				<-release
				_ = c.Close()
			}()
		}
	}()
	pool := newTestPool()
	server := placement.Server{ID: "s", Address: listener.Addr().String()}
	results := make(chan error, 3)
	for range 3 {
		go func() {
			_, _, err := pool.Do(context.Background(), server, true, testRequest("1"))
			results <- err
		}()
	}
	if err := <-results; !errorx.IsOfType(err, ErrConnectionLimit) {
		t.Fatalf("got %v, want %s", err, ErrConnectionLimit)
	}
	if outcome := OutcomeOf(ResponseInfo{}, ErrConnectionLimit.New("x")); outcome != placement.ConnectionLimit {
		t.Errorf("outcome %s, want %s", outcome, placement.ConnectionLimit)
	}
}

// TestCancelClosesConnection checks that canceling a request closes its connection
// right away, so that the server notices.
func TestCancelClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan time.Time, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		_, _ = c.Read(buffer)
		cancel()
		_, _ = c.Read(buffer)
		closed <- time.Now()
	}()
	request := testRequest("1")
	request.TimeLeft = 5000
	started := time.Now()
	_, _, err = newTestPool().Do(ctx, placement.Server{ID: "s", Address: listener.Addr().String()}, true, request)
	if !errorx.IsOfType(err, ErrCanceled) {
		t.Fatalf("got %v, want %s", err, ErrCanceled)
	}
	if at := <-closed; at.Sub(started) > time.Second {
		t.Fatalf("the connection was closed after %s", at.Sub(started))
	}
}

// TestLostResponseClosesIdleConnections has a server die with several idle connections, of
// which the first is closed with a reset. The next request must find out on a new
// connection that nothing of it was sent, and not be lost on another old one.
func TestLostResponseClosesIdleConnections(t *testing.T) {
	const connections = 4
	var arrived sync.WaitGroup
	arrived.Add(connections)
	var dead atomic.Bool
	server := listen(t, func(c net.Conn) {
		if dead.Load() {
			_ = c.Close()
			return
		}
		go serveConn(c, func(int, string) string {
			if dead.Load() {
				return ""
			}
			arrived.Done()
			arrived.Wait()
			return responseTo("1", "", "body")
		}, new(int))
	})
	pool := newTestPool()
	pool.config.MaxConnections = func(string) int { return connections }
	var wg sync.WaitGroup
	for range connections {
		wg.Go(func() {
			_, _, _ = pool.Do(context.Background(), server, true, testRequest("1"))
		})
	}
	wg.Wait()
	time.Sleep(10 * time.Millisecond)
	dead.Store(true)
	_, _, err := pool.Do(context.Background(), server, false, testRequest("1"))
	if !errorx.IsOfType(err, ErrResponseLost) {
		t.Fatalf("got %v, want %s", err, ErrResponseLost)
	}
	if idle := len(pool.servers[server.ID].idle); idle != 0 {
		t.Errorf("%d idle connections are left after the loss", idle)
	}
}

// stallingServer stops answering on the connections that are open when stalled is
// set. Connections that are opened later work.
type stallingServer struct {
	stalled atomic.Bool
	arrived sync.WaitGroup
}

// serve handles one connection. It delays the first response on each early connection
// until a request has arrived on all of them, so that each request has its own.
func (s *stallingServer) serve(c net.Conn, late bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for first := true; ; first = false {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		if s.stalled.Load() && !late {
			continue
		}
		if first && !late {
			s.arrived.Done()
			s.arrived.Wait()
		}
		_, _ = c.Write([]byte(responseTo("1", "", "body")))
	}
}

// TestStalledConnectionsFailOneRequest stalls all idle connections to a server, while
// new ones work. The first request after that times out, and the pool must then close
// the other idle connections, so that no further request is lost.
func TestStalledConnectionsFailOneRequest(t *testing.T) {
	const connections = 6
	stalling := &stallingServer{}
	stalling.arrived.Add(connections)
	server := listen(t, func(c net.Conn) { go stalling.serve(c, stalling.stalled.Load()) })
	pool := newTestPool()
	pool.config.MaxConnections = func(string) int { return connections }
	do := func() error {
		_, _, err := pool.Do(context.Background(), server, true, testRequest("1"))
		return err
	}
	var wg sync.WaitGroup
	for range connections {
		wg.Go(func() {
			if err := do(); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	time.Sleep(10 * time.Millisecond)
	stalling.stalled.Store(true)
	lost := 0
	for range connections {
		if do() != nil {
			lost++
		}
	}
	if lost != 1 {
		t.Errorf("%d of %d requests failed after the connections stalled, want 1", lost, connections)
	}
}
