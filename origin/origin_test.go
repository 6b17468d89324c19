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

var testDialect = HeaderNames{
	RequestID: "Request-Id", Deadline: "Deadline", APIKey: "Key", Workspace: "Workspace", Pin: "Pin",
	Declined: "Declined", Signature: "Signature", Load: "Load", Cold: "Cold", AffinityCookie: "object",
}

// script is what a server sends for each request that it reads; an empty text
// ends the connection.
type script func(n int, head string) string

// serveScript runs a server until the test ends and returns its address.
func serveScript(t *testing.T, answer script) placement.Server {
	t.Helper()
	count := 0
	return acceptAll(t, func(c net.Conn) { serveConn(c, answer, &count) })
}

// acceptAll hands the connections to a server to a function until the test ends.
func acceptAll(t *testing.T, accepted func(net.Conn)) placement.Server {
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
			accepted(c)
		}
	}()
	return placement.Server{ID: "s", Service: "desk", Region: "a", Address: listener.Addr().String()}
}

func serveConn(c net.Conn, answer script, count *int) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		text := answer(*count, request.Header.String())
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
		Clock: clock.NewSystem(), Headers: testDialect, Metrics: metrics.NewRegistry(),
		MaxConnections: func(string) int { return 2 }, OnConnect: func(string, clock.Millis) {},
	})
}

func testRequest(id string) *Request {
	source := &fasthttp.Request{}
	source.SetRequestURI("/a/1?x=%20y")
	source.Header.SetHost("a.example")
	source.Header.Set("Key", "secret")
	source.Header.Set("Workspace", "forged")
	source.Header.Set("Deadline", "99999")
	source.Header.Set("Connection", "X-Private")
	source.Header.Set("X-Private", "1")
	source.Header.Set("X-Public", "1")
	source.Header.Set("Request-Id", id)
	return &Request{ID: id, Pin: "s", Workspace: "w", TimeLeft: 400, Source: source}
}

func answerTo(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), extra, body)
}

func TestAnswers(t *testing.T) {
	cases := map[string]struct {
		sent     string
		body     string
		declined bool
		err      *errorx.Type
	}{
		"whole":                        {sent: answerTo("1", "", "body"), body: "body"},
		"a late answer comes first":    {sent: answerTo("0", "", "stale") + answerTo("1", "", "body"), body: "body"},
		"only answers to others":       {sent: answerTo("0", "", "stale"), err: ErrTimeout},
		"cut body":                     {sent: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\nContent-Length: 9\r\nConnection: close\r\n\r\nbody", err: ErrResponseLost},
		"no signature":                 {sent: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\nbody", err: ErrResponseLost},
		"does not name its request":    {sent: "HTTP/1.1 200 OK\r\nSignature: x\r\nContent-Length: 4\r\n\r\nbody", err: ErrResponseLost},
		"an encoding nobody asked":     {sent: answerTo("1", "Content-Encoding: gzip\r\n", "body"), err: ErrResponseLost},
		"not an answer":                {sent: "garbage\r\n\r\n", err: ErrResponseLost},
		"the connection ends":          {sent: "", err: ErrResponseLost},
		"no answer in time":            {sent: "HTTP/1.1 ", err: ErrTimeout},
		"declined":                     {sent: "HTTP/1.1 503 Busy\r\nDeclined: 1\r\nContent-Length: 0\r\n\r\n", declined: true},
		"another server's address":     {sent: "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", declined: true},
		"body ends with the close":     {sent: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\nConnection: close\r\n\r\nbody", body: "body"},
		"chunked":                      {sent: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", body: "body"},
		"an interim answer is skipped": {sent: "HTTP/1.1 103 Early\r\n\r\n" + answerTo("1", "", "body"), body: "body"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := serveScript(t, func(int, string) string { return c.sent })
			var response fasthttp.Response
			answer, err := newTestPool().Do(context.Background(), server, true, testRequest("1"), &response)
			if c.err != nil {
				if !errorx.IsOfType(err, c.err) {
					t.Fatalf("got %v, want %s", err, c.err)
				}
				return
			}
			if err != nil || answer.Declined != c.declined || string(response.Body()) != c.body {
				t.Fatalf("got %q, declined %v, %v", response.Body(), answer.Declined, err)
			}
		})
	}
}

// TestExtraBytesEndTheConnection sends a second answer behind the first: the
// next request must not get it.
func TestExtraBytesEndTheConnection(t *testing.T) {
	server := serveScript(t, func(n int, _ string) string {
		if n == 0 {
			return answerTo("1", "", "first") + answerTo("2", "", "forged")
		}
		return answerTo("2", "", "second")
	})
	pool := newTestPool()
	for id, want := range map[string]string{"1": "first"} {
		var response fasthttp.Response
		if _, err := pool.Do(context.Background(), server, true, testRequest(id), &response); err != nil || string(response.Body()) != want {
			t.Fatalf("got %q (%v), want %q", response.Body(), err, want)
		}
	}
	time.Sleep(20 * time.Millisecond)
	var response fasthttp.Response
	if _, err := pool.Do(context.Background(), server, true, testRequest("2"), &response); err != nil || string(response.Body()) != "second" {
		t.Fatalf("got %q (%v), want %q", response.Body(), err, "second")
	}
}

// TestForwardedHead checks what reaches the server: the caller's path as it is,
// and none of what concerns others.
func TestForwardedHead(t *testing.T) {
	heads := make(chan string, 1)
	server := serveScript(t, func(_ int, head string) string {
		heads <- head
		return answerTo("1", "", "")
	})
	var response fasthttp.Response
	if _, err := newTestPool().Do(context.Background(), server, true, testRequest("1"), &response); err != nil {
		t.Fatal(err)
	}
	head := <-heads
	for _, want := range []string{"GET /a/1?x=%20y HTTP/1.1\r\n", "Host: a.example\r\n", "Workspace: w\r\n", "Pin: s\r\n", "Deadline: 400\r\n", "X-Public: 1\r\n"} {
		if !strings.Contains(head, want) {
			t.Errorf("the head lacks %q:\n%s", want, head)
		}
	}
	for _, never := range []string{"secret", "forged", "99999", "X-Private"} {
		if strings.Contains(head, never) {
			t.Errorf("the head holds %q:\n%s", never, head)
		}
	}
}

func TestUnreached(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	var response fasthttp.Response
	_, err = newTestPool().Do(context.Background(), placement.Server{ID: "s", Address: address}, true, testRequest("1"), &response)
	if !errorx.IsOfType(err, ErrUnreachable) {
		t.Fatalf("got %v, want %s", err, ErrUnreachable)
	}
}

// TestConnectionLimit has more requests at once than connections: those beyond
// are not sent, and the server is not taken for unreachable.
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
			var response fasthttp.Response
			_, err := pool.Do(context.Background(), server, true, testRequest("1"), &response)
			results <- err
		}()
	}
	if err := <-results; !errorx.IsOfType(err, ErrConnectionLimit) {
		t.Fatalf("got %v, want %s", err, ErrConnectionLimit)
	}
	if outcome := OutcomeOf(ResponseInfo{}, 0, ErrConnectionLimit.New("x")); outcome != placement.Busy {
		t.Errorf("outcome %s, want %s", outcome, placement.Busy)
	}
}

// TestCancelClosesTheConnection checks that the server sees at once that a
// request was cancelled.
func TestCancelClosesTheConnection(t *testing.T) {
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
	var response fasthttp.Response
	began := time.Now()
	_, err = newTestPool().Do(ctx, placement.Server{ID: "s", Address: listener.Addr().String()}, true, request, &response)
	if !errorx.IsOfType(err, ErrCanceled) {
		t.Fatalf("got %v, want %s", err, ErrCanceled)
	}
	if at := <-closed; at.Sub(began) > time.Second {
		t.Fatalf("the server noticed after %s", at.Sub(began))
	}
}

// silencedServer answers a request on each connection only until silence falls
// on those that are open; later ones work.
type silencedServer struct {
	silence atomic.Bool
	arrived sync.WaitGroup
}

// serve answers the first requests together, so that each has a connection.
func (s *silencedServer) serve(c net.Conn, late bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for first := true; ; first = false {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		if s.silence.Load() && !late {
			continue
		}
		if first && !late {
			s.arrived.Done()
			s.arrived.Wait()
		}
		_, _ = c.Write([]byte(answerTo("1", "", "body")))
	}
}

// TestSilenceCostsOneRequest lets all kept connections to a server go silent
// while new ones work. Only the first request after that may get no answer.
func TestSilenceCostsOneRequest(t *testing.T) {
	const kept = 6
	silenced := &silencedServer{}
	silenced.arrived.Add(kept)
	server := acceptAll(t, func(c net.Conn) { go silenced.serve(c, silenced.silence.Load()) })
	pool := newTestPool()
	pool.config.MaxConnections = func(string) int { return kept }
	do := func() error {
		var response fasthttp.Response
		_, err := pool.Do(context.Background(), server, true, testRequest("1"), &response)
		return err
	}
	var wg sync.WaitGroup
	for range kept {
		wg.Go(func() {
			if err := do(); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	time.Sleep(10 * time.Millisecond)
	silenced.silence.Store(true)
	lost := 0
	for range kept {
		if do() != nil {
			lost++
		}
	}
	if lost != 1 {
		t.Errorf("%d of %d requests got no answer after the silence, want 1", lost, kept)
	}
}
