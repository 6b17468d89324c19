package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// startGuarded starts a server with a limit on bodies that echoes them, and returns its
// address. ran counts the requests that ran.
func startGuarded(t *testing.T, account *memory.Account, maxBody int, ran *atomic.Int32) string {
	t.Helper()
	guard := NewGuard(Config{
		Memory: account, MaxConnections: func() int { return 8 }, MaxBodyBytes: maxBody, BodyCopies: 2, Metrics: metrics.NewRegistry(), Log: hclog.NewNullLogger(),
		Refuse: func(ctx *fasthttp.RequestCtx, status int, message string) { ctx.Error(message, status) },
	})
	account.SetReclaimer(guard.Reclaim)
	server := &fasthttp.Server{StreamRequestBody: true, MaxRequestBodySize: maxBody, ReadTimeout: 10 * time.Second, Handler: guard.Handler(func(ctx *fasthttp.RequestCtx) {
		ran.Add(1)
		ctx.SetBody(ctx.PostBody())
	})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(guard.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

func send(t *testing.T, address, text string) *bufio.Reader {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = io.WriteString(c, text) }()
	return bufio.NewReader(c)
}

// TestBodies guards against bodies that are changed or held back, and against refused
// requests that run.
func TestBodies(t *testing.T) {
	const maxBody = 64 << 10
	account := memory.NewAccount(memory.Limits{Total: 256 << 10})
	taken := account.Hold(memory.Heads)
	var ran atomic.Int32
	address := startGuarded(t, account, maxBody, &ran)
	whole := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	}
	chunked := func(size int) string {
		return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", size>>10) + "0\r\n\r\n"
	}
	cases := map[string]struct {
		text  string
		taken int
		want  int
		size  int
	}{
		"none":               {text: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", want: 200},
		"small":              {text: whole(10), want: 200, size: 10},
		"largest":            {text: whole(maxBody), want: 200, size: maxBody},
		"largest in chunks":  {text: chunked(maxBody), want: 200, size: maxBody},
		"too large":          {text: whole(maxBody + 1), want: 413},
		"too large, chunked": {text: chunked(maxBody + 1<<10), want: 413},
		"no memory":          {text: whole(maxBody), taken: 120 << 10, want: 503},
		"no memory, chunked": {text: chunked(maxBody), taken: 120 << 10, want: 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			taken.Add(c.taken)
			defer taken.Release()
			before := ran.Load()
			reader := send(t, address, c.text)
			response := &fasthttp.Response{}
			if err := response.Read(reader); err != nil {
				t.Fatal(err)
			}
			if response.StatusCode() != c.want {
				t.Errorf("status %d, want %d", response.StatusCode(), c.want)
			}
			if c.want == 200 && len(response.Body()) != c.size {
				t.Errorf("%d bytes arrived of %d", len(response.Body()), c.size)
			}
			if c.want != 200 && (ran.Load() != before || !response.ConnectionClose()) {
				t.Errorf("a refused request ran: %v; its connection ends: %v", ran.Load() != before, response.ConnectionClose())
			}
		})
	}
	for range 100 {
		if account.Usage().Held[memory.RequestBodies] == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("still held: %v", account.Usage().Held)
}

// TestStalledBodyMakesRoom guards against a client that stops half way and keeps the memory
// from the others.
func TestStalledBodyMakesRoom(t *testing.T) {
	const maxBody = 64 << 10
	account := memory.NewAccount(memory.Limits{Total: 300 << 10})
	var ran atomic.Int32
	address := startGuarded(t, account, maxBody, &ran)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", maxBody)
	stalled := send(t, address, head+strings.Repeat("x", maxBody/2))
	time.Sleep(stallTime + 200*time.Millisecond)
	served := false
	for try := 0; try < 50 && !served; try++ {
		asking := send(t, address, head+strings.Repeat("x", maxBody))
		response := &fasthttp.Response{}
		served = response.Read(asking) == nil && response.StatusCode() == fasthttp.StatusOK
		time.Sleep(20 * time.Millisecond)
	}
	if !served {
		t.Error("the one that needs room was always refused")
	}
	if _, err := stalled.ReadByte(); err == nil {
		t.Error("the stalled connection is still served")
	}
}
