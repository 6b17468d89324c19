package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

// TestSecondCopyIsNotTheNextResponse has a server send a second copy of each response a
// little late, on the same connection. A request must never get the copy of an earlier
// response, also where the server does not name the request.
func TestSecondCopyIsNotTheNextResponse(t *testing.T) {
	for name, echo := range map[string]string{"the server names the request": "Bulrushferry-Request-Id: %s\r\n", "the server names nothing": "X: %s\r\n"} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go answerTwice(listener, echo)
			pool := newTestPool(listener.Addr().String())
			for i := range 5 {
				request, response := &fasthttp.Request{}, &fasthttp.Response{}
				request.SetRequestURI(fmt.Sprint("http://s/", i))
				result := pool.Run(context.Background(), &Call{
					ID: fmt.Sprint("id", i), Service: "s", Workspace: "w", Once: true, Weight: 1, Deadline: pool.config.Clock.Now() + 1000,
					Fingerprint: fmt.Append(nil, i), Request: request, Response: response, BeforeSend: func() error { return nil },
				})
				if result.Outcome == wire.Outcome_OUTCOME_DONE && string(response.Body()) != fmt.Sprint("/", i) {
					t.Fatalf("request %d got the response %q", i, response.Body())
				}
			}
		})
	}
}

// TestUnnamedResponseOnKeptConnection guards against believing an earlier refusal, or taking
// an earlier answer, that a faulty server sends once more on a kept connection without the
// name of its request: the next request ran.
func TestUnnamedResponseOnKeptConnection(t *testing.T) {
	for name, copied := range map[string]string{"refusal": "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n", "answer": "HTTP/1.1 200 OK\r\n"} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go answerWith(listener, copied+"Content-Length: 0\r\n\r\n")
			pool := newTestPool(listener.Addr().String())
			for i, want := range []wire.Outcome{wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_UNKNOWN} {
				result := pool.Run(context.Background(), &Call{
					ID: fmt.Sprint("id", i), Service: "s", Workspace: "w", Once: true, Weight: 1, Deadline: pool.config.Clock.Now() + 1000,
					Fingerprint: fmt.Append(nil, i), Request: testRequestTo("http://s/"), Response: &fasthttp.Response{}, BeforeSend: func() error { return nil },
				})
				if result.Outcome != want {
					t.Errorf("request %d: got %s, want %s", i, result.Outcome, want)
				}
			}
		})
	}
}

func testRequestTo(uri string) *fasthttp.Request {
	request := &fasthttp.Request{}
	request.SetRequestURI(uri)
	return request
}

// answerWith answers the first request of each connection, and the later ones with a copy of
// something earlier before their own answer.
func answerWith(listener net.Listener, copied string) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			for before := ""; ; before = copied {
				request := &fasthttp.Request{}
				if request.Read(reader) != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nBulrushferry-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", before, request.Header.Peek(RequestIDHeader))
			}
		}()
	}
}

// answerTwice answers each request with its path, and once more when the next request has
// arrived.
func answerTwice(listener net.Listener, echo string) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			last := ""
			for {
				request := &fasthttp.Request{}
				if request.Read(reader) != nil {
					return
				}
				body := string(request.URI().Path())
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\n"+echo+"Content-Length: %d\r\n\r\n%s", request.Header.Peek(RequestIDHeader), len(body), body)
				_, _ = io.WriteString(c, last+text)
				last = text
			}
		}()
	}
}
