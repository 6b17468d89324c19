package steering

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// breakOff returns a backend server that reads a request, sends a part of a response and
// closes the connection, with a reset if reset is set.
func breakOff(t *testing.T, part string, reset bool) *scriptedServer {
	t.Helper()
	return &scriptedServer{Server: startServer(t, 0, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := readRaw(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, part)
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			time.Sleep(time.Millisecond)
			_ = tcp.SetLinger(0)
		}
	})}
}

// TestBrokenOffResponses guards against responses that a server breaks off, in the head or
// in the body, and that reach the caller as if they were whole: the caller must get no
// success and nothing with the server's signature.
func TestBrokenOffResponses(t *testing.T) {
	const head = "Request-Id: 1\r\nSignature: x\r\n"
	cases := map[string]struct{ method, response string }{
		"success":          {"GET", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 40\r\n\r\n" + strings.Repeat("body", 10)},
		"chunked success":  {"GET", "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4\r\nbody\r\n0\r\n\r\n"},
		"failure":          {"GET", "HTTP/1.1 500 No\r\n" + head + "Content-Length: 40\r\n\r\n" + strings.Repeat("body", 10)},
		"chunked failure":  {"GET", "HTTP/1.1 500 No\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4\r\nbody\r\n0\r\n\r\n"},
		"success to HEAD":  {"HEAD", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 40\r\n\r\n"},
		"failure to HEAD":  {"HEAD", "HTTP/1.1 500 No\r\n" + head + "Content-Length: 40\r\n\r\n"},
		"after an interim": {"GET", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 500 No\r\n" + head + "Content-Length: 4\r\n\r\nbody"},
	}
	for name, c := range cases {
		for _, path := range []string{"/a/x", "/b/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				for cut := range len(c.response) {
					in := startInstance(t, []*scriptedServer{breakOff(t, c.response[:cut], cut%2 == 1)})
					response := in.send(c.method, path)
					signed := len(response.Header.Peek("Signature")) > 0
					if response.StatusCode() < fasthttp.StatusInternalServerError || signed {
						t.Fatalf("cut after %d bytes: got %d, signed %v, body %q", cut, response.StatusCode(), signed, response.Body())
					}
					if path == "/b/x" && response.StatusCode() == fasthttp.StatusServiceUnavailable {
						t.Fatalf("cut after %d bytes: a request that ran is called not run", cut)
					}
				}
			})
		}
	}
}

// TestWholeFailureIsKept checks that the caller gets the whole failure of the first server
// if the second one breaks its response off.
func TestWholeFailureIsKept(t *testing.T) {
	whole := "HTTP/1.1 500 No\r\nRequest-Id: 1\r\nSignature: x\r\nContent-Length: 5\r\n\r\nwhole"
	part := "HTTP/1.1 500 No\r\nRequest-Id: 1\r\nSignature: x\r\nContent-Length: 9\r\n\r\npart"
	servers := []*scriptedServer{{}, {}}
	answers := make(chan string, 2)
	answers <- whole
	answers <- part
	for i := range servers {
		servers[i].Server = startServer(t, i, func(c net.Conn) {
			defer func() { _ = c.Close() }()
			if _, err := readRaw(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, <-answers)
			}
		})
	}
	response := startInstance(t, servers).send("GET", "/a/x")
	if response.StatusCode() != fasthttp.StatusInternalServerError || string(response.Body()) != "whole" {
		t.Errorf("got %d with %q, want the whole failure", response.StatusCode(), response.Body())
	}
}

// send sends request 1 on a connection of its own and returns the response.
func (in *testInstance) send(method, path string) *fasthttp.Response {
	c, err := net.Dial("tcp4", in.address)
	if err != nil {
		in.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", method, path)
	response := &fasthttp.Response{SkipBody: method == "HEAD"}
	if err := response.Read(bufio.NewReader(c)); err != nil {
		in.t.Fatal(err)
	}
	return response
}
