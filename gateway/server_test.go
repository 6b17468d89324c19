package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// handlerFunc adapts a function to a Handler.
type handlerFunc func(ctx context.Context, x *Exchange)

func (f handlerFunc) Serve(ctx context.Context, x *Exchange) { f(ctx, x) }

const plainRequest = "GET /a/ HTTP/1.1\r\nHost: a.example\r\n\r\n"

// startServer starts a server that accepts bodies of up to 100 bytes. Its listener is
// closed when the test ends.
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

// bodyResponse returns a response of status 200.
func bodyResponse(body string) *fasthttp.Response {
	response := &fasthttp.Response{}
	response.SetBodyString(body)
	return response
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

// TestShutdownWaitsForRequests sends a request around the time of the shutdown. If the
// handler was called, the caller must receive the complete response.
func TestShutdownWaitsForRequests(t *testing.T) {
	for round := range 200 {
		served := make(chan struct{}, 1)
		s, listener := startServer(t, func(_ context.Context, x *Exchange) {
			served <- struct{}{}
			time.Sleep(3 * time.Millisecond)
			x.Respond(bodyResponse("whole"), nil)
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
		case <-served:
			response, _ := io.ReadAll(c)
			if !strings.HasSuffix(string(response), "whole") {
				t.Fatalf("round %d: the handler was called and the response is %q", round, response)
			}
		default:
		}
	}
}

// TestPipelinedResponsesKeepOrder finishes the second of two pipelined requests first.
func TestPipelinedResponsesKeepOrder(t *testing.T) {
	second := make(chan struct{})
	_, listener := startServer(t, func(_ context.Context, x *Exchange) {
		if string(x.Request.RequestURI()) == "/1/" {
			<-second
		} else {
			close(second)
		}
		x.Respond(bodyResponse(string(x.Request.RequestURI())), nil)
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

// TestDisconnectCancelsRequest checks that a request is canceled as soon as its caller
// closes the connection, also if the request asked to close the connection after the
// response, and if requests are pipelined.
func TestDisconnectCancelsRequest(t *testing.T) {
	cases := map[string]string{
		"keep-alive connection":     plainRequest,
		"closed after the response": "GET /a/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"pipelined":                 plainRequest + plainRequest,
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			canceled := make(chan struct{}, 2)
			started := make(chan struct{}, 2)
			_, listener := startServer(t, func(ctx context.Context, _ *Exchange) {
				started <- struct{}{}
				<-ctx.Done()
				canceled <- struct{}{}
			})
			c := dialServer(t, listener)
			if _, err := io.WriteString(c, sent); err != nil {
				t.Fatal(err)
			}
			<-started
			_ = c.Close()
			select {
			case <-canceled:
			case <-time.After(400 * time.Millisecond):
				t.Fatal("the request was not canceled within 400 ms")
			}
		})
	}
}

// TestRejectedRequests checks the status of malformed and oversized requests, which must
// not reach the handler.
func TestRejectedRequests(t *testing.T) {
	cases := map[string]struct {
		sent   string
		status int
	}{
		"two content lengths": {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"length and chunks":   {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two hosts":           {"GET /a/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"a blank in a name":   {"GET /a/ HTTP/1.1\r\nHost: a\r\nX Extra: 1\r\n\r\n", 400},
		"a blank after one":   {"GET /a/ HTTP/1.1\r\nHost: a\r\nX-Extra : 1\r\n\r\n", 400},
		"a control byte":      {"GET /a/ HTTP/1.1\r\nHost: a\r\nX-E\x01xtra: 1\r\n\r\n", 400},
		"a folded field":      {"GET /a/ HTTP/1.1\r\nHost: a\r\nX-Extra: a\r\n b\r\n\r\n", 400},
		"not HTTP":            {"hello\r\n\r\n", 400},
		"body too large":      {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413},
		"chunks too large":    {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + strings.Repeat("a", 255) + "\r\n0\r\n\r\n", 413},
		"header too large":    {"GET /a/ HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 20<<10) + "\r\n\r\n", 431},
		"invalid chunk size":  {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, listener := startServer(t, func(context.Context, *Exchange) { t.Error("the handler was called") })
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

// TestOddRequests guards against sound requests that are rejected, since a field looks odd.
func TestOddRequests(t *testing.T) {
	_, listener := startServer(t, func(_ context.Context, x *Exchange) {
		header := &x.Request.Header
		response := &fasthttp.Response{}
		response.SetBodyString(fmt.Sprintf("%q %q", header.Peek("x_9~"), header.Peek("X-Obs")))
		x.Respond(response, func() {})
	})
	caller := dialServer(t, listener)
	if _, err := io.WriteString(caller, "GET /a/ HTTP/1.1\r\nHost: a\r\nx_9~:\r\nx-OBS:\xe9\tb : c \r\nX-Twice: 1\r\nx-twice: 2\n\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var response fasthttp.Response
	if err := response.Read(bufio.NewReader(caller)); err != nil || string(response.Body()) != `"" "\xe9\tb : c"` {
		t.Errorf("got %d, %q, error %v", response.StatusCode(), response.Body(), err)
	}
}

// TestHeadResponse checks that the response to HEAD states the length that the backend
// server stated, without a body, and that the connection carries the next request.
func TestHeadResponse(t *testing.T) {
	x := &Exchange{Request: &fasthttp.Request{}, response: &fasthttp.Response{}}
	x.Request.Header.SetMethod(fasthttp.MethodHead)
	x.response.Header.SetContentLength(500)
	head, body := encodeResponse(x, false)
	if got := string(head) + string(body); !strings.Contains(got, "Content-Length: 500\r\n") || !strings.HasSuffix(got, "\r\n\r\n") {
		t.Errorf("got %q", got)
	}
}

// TestCanceledRequestGetsNoResponse guards against responses that nobody has made: a caller
// that closes its side of the connection for writing must not get an empty success when its
// canceled request ends without a response.
func TestCanceledRequestGetsNoResponse(t *testing.T) {
	_, listener := startServer(t, func(ctx context.Context, _ *Exchange) { <-ctx.Done() })
	for round := range 200 {
		c := dialServer(t, listener)
		if _, err := io.WriteString(c, plainRequest); err != nil {
			t.Fatal(err)
		}
		if round%2 == 0 {
			time.Sleep(time.Millisecond)
		}
		_ = c.(*net.TCPConn).CloseWrite()
		if got, _ := io.ReadAll(c); len(got) > 0 {
			t.Fatalf("round %d: got %q", round, got)
		}
	}
}

// TestNoResponseClosesConnection checks that a connection ends after the responses to the
// requests before one that gets none, and that nothing is sent for that one.
func TestNoResponseClosesConnection(t *testing.T) {
	_, listener := startServer(t, func(_ context.Context, x *Exchange) {
		if string(x.Request.RequestURI()) != "/1/" {
			return
		}
		time.Sleep(10 * time.Millisecond)
		x.Respond(bodyResponse("first"), nil)
	})
	c := dialServer(t, listener)
	for path := range 3 {
		_, _ = fmt.Fprintf(c, "GET /%d/ HTTP/1.1\r\nHost: a\r\n\r\n", path+1)
	}
	started := time.Now()
	got, err := io.ReadAll(c)
	if err != nil || !strings.HasSuffix(string(got), "first") || strings.Count(string(got), "HTTP/1.1") != 1 {
		t.Errorf("got %q, %v, want the first response alone", got, err)
	}
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("the connection was closed after %s", took)
	}
}
