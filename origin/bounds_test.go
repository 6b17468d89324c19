package origin

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/joomcode/errorx"
)

// TestBodyInSegments guards against bodies that change when they are sent in several parts.
func TestBodyInSegments(t *testing.T) {
	for _, size := range []int{0, 1, maxCopiedBody, maxCopiedBody + 1, 100_000} {
		whole := strings.Repeat("abcdefg", size/7+1)[:size]
		body := memory.NewBody([]byte(whole[:size/3]))
		body.Append([]byte(whole[size/3:]))
		request := testRequest("1")
		request.Body = body
		text := ""
		for _, part := range request.encode(testHeaders) {
			text += string(part)
		}
		if _, got, _ := strings.Cut(text, "\r\n\r\n"); got != whole {
			t.Errorf("%d bytes: got %d", size, len(got))
		}
	}
}

// TestOutstandingBytes guards against a server that reads nothing and is sent more and more.
// A single request may be larger than the limit.
func TestOutstandingBytes(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	pool := newTestPool()
	server := placement.Server{ID: "s", Address: listener.Addr().String()}
	large := memory.NewBody(make([]byte, maxOutstandingBytes+1))
	done := make(chan error)
	go func() {
		request := testRequest("1")
		request.Body, request.TimeLeft = large, clock.Second
		_, _, err := pool.Do(context.Background(), server, true, request)
		done <- err
	}()
	time.Sleep(100 * time.Millisecond)
	request := testRequest("2")
	request.Body = memory.NewBody([]byte("x"))
	if _, _, err := pool.Do(context.Background(), server, true, request); !errorx.IsOfType(err, ErrConnectionLimit) {
		t.Errorf("a second request: %v", err)
	}
	if err := <-done; !errorx.IsOfType(err, ErrTimeout) {
		t.Errorf("the first request: %v", err)
	}
	if !pool.addOutstanding(server, 1) {
		t.Error("the first request still counts after its end")
	}
}

// TestMaxOpen guards against more connections to servers than there are descriptors for, and
// against idle connections that keep others from being opened.
func TestMaxOpen(t *testing.T) {
	pool := newTestPool()
	pool.config.MaxOpen = func() int { return 2 }
	var servers []placement.Server
	for _, id := range []string{"a", "b", "c"} {
		server := serve(t, func(int, string) string { return responseTo("1", "", "ok") })
		server.ID = id
		servers = append(servers, server)
	}
	for _, server := range servers {
		response, _, err := pool.Do(context.Background(), server, true, testRequest("1"))
		if err != nil {
			t.Fatalf("%s: %v", server.ID, err)
		}
		response.Release()
		if pool.open > 2 {
			t.Fatalf("%d connections are open", pool.open)
		}
	}
	pool.Prune(func(string) bool { return false })
	if pool.open != 0 {
		t.Errorf("%d connections still count", pool.open)
	}
	for range 2 {
		if !pool.reserve(servers[0]) {
			t.Fatal("there is no room for two connections")
		}
	}
	if _, _, err := pool.Do(context.Background(), servers[1], true, testRequest("1")); !errorx.IsOfType(err, ErrConnectionLimit) {
		t.Errorf("a third connection: %v", err)
	}
}
