package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// handlerFunc is a Handler made of a function.
type handlerFunc func(ctx context.Context, x *Exchange)

func (f handlerFunc) Serve(ctx context.Context, x *Exchange) { f(ctx, x) }

const plainRequest = "GET /a/ HTTP/1.1\r\nHost: a.example\r\n\r\n"

// startServer serves with a handler until the test ends.
func startServer(t *testing.T, handler handlerFunc) (*Server, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ServerConfig{
		Handler: handler,
		Log:     hclog.NewNullLogger(),
		Limits:  func() routing.Limits { return routing.Limits{MaxBodyBytes: 100} },
	})
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return s, listener
}

func dialServer(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestShutdownWaitsForRequests has a request arrive around the moment of the
// shutdown: every one that was taken must get its whole answer.
func TestShutdownWaitsForRequests(t *testing.T) {
	for round := range 200 {
		taken := make(chan struct{}, 1)
		s, listener := startServer(t, func(_ context.Context, x *Exchange) {
			taken <- struct{}{}
			time.Sleep(3 * time.Millisecond)
			x.Response.SetBodyString("whole")
		})
		c := dialServer(t, listener)
		if round%2 == 0 {
			if _, err := io.WriteString(c, plainRequest); err != nil {
				t.Fatal(err)
			}
		} else {
			go func() { _, _ = io.WriteString(c, plainRequest) }()
		}
		_ = listener.Close()
		ended := make(chan struct{})
		go func() {
			if err := s.Shutdown(context.Background()); err != nil {
				t.Error(err)
			}
			close(ended)
		}()
		<-ended
		select {
		case <-taken:
			answer, _ := io.ReadAll(c)
			if !strings.HasSuffix(string(answer), "whole") {
				t.Fatalf("round %d: a request was taken and its answer is %q", round, answer)
			}
		default:
		}
	}
}

// TestPipelinedAnswersKeepOrder lets the second request finish first.
func TestPipelinedAnswersKeepOrder(t *testing.T) {
	second := make(chan struct{})
	_, listener := startServer(t, func(_ context.Context, x *Exchange) {
		if string(x.Request.RequestURI()) == "/1/" {
			<-second
		} else {
			close(second)
		}
		x.Response.SetBody(x.Request.RequestURI())
	})
	c := dialServer(t, listener)
	_, err := io.WriteString(c, "GET /1/ HTTP/1.1\r\nHost: a\r\n\r\nGET /2/ HTTP/1.1\r\nHost: a\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(c)
	for _, want := range []string{"/1/", "/2/"} {
		var response fasthttp.Response
		if err := response.Read(reader); err != nil || string(response.Body()) != want {
			t.Fatalf("got %q (%v), want %q", response.Body(), err, want)
		}
	}
}

// TestCallerLeaves checks that a request is cancelled as soon as its caller
// closes the connection, also when the connection was to end with it.
func TestCallerLeaves(t *testing.T) {
	cases := map[string]string{
		"kept connection":   plainRequest,
		"closed connection": "GET /a/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"pipelined":         plainRequest + plainRequest,
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			cancelled := make(chan struct{}, 2)
			began := make(chan struct{}, 2)
			_, listener := startServer(t, func(ctx context.Context, _ *Exchange) {
				began <- struct{}{}
				<-ctx.Done()
				cancelled <- struct{}{}
			})
			c := dialServer(t, listener)
			if _, err := io.WriteString(c, sent); err != nil {
				t.Fatal(err)
			}
			<-began
			_ = c.Close()
			select {
			case <-cancelled:
			case <-time.After(400 * time.Millisecond):
				t.Fatal("the request was not cancelled within 400 ms")
			}
		})
	}
}

// TestUnreadableRequests checks the status of requests that must never reach a
// backend server.
func TestUnreadableRequests(t *testing.T) {
	cases := map[string]struct {
		sent   string
		status int
	}{
		"two lengths":         {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"length and chunks":   {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two hosts":           {"GET /a/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"not a request":       {"hello\r\n\r\n", 400},
		"body too large":      {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413},
		"chunks too large":    {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + strings.Repeat("a", 255) + "\r\n0\r\n\r\n", 413},
		"head too large":      {"GET /a/ HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 20<<10) + "\r\n\r\n", 431},
		"chunk size is wrong": {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, listener := startServer(t, func(context.Context, *Exchange) { t.Error("the request was served") })
			caller := dialServer(t, listener)
			if _, err := io.WriteString(caller, c.sent); err != nil {
				t.Fatal(err)
			}
			var response fasthttp.Response
			if err := response.Read(bufio.NewReader(caller)); err != nil || response.StatusCode() != c.status {
				t.Fatalf("got %d (%v), want %d", response.StatusCode(), err, c.status)
			}
		})
	}
}
