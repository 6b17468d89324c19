package soak

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestRequestsDuringShutdown sends requests to an instance that is shutting down. One
// that can finish within the grace period must be served. One that cannot must be refused
// without running, rather than aborted when the process exits.
func TestRequestsDuringShutdown(t *testing.T) {
	cases := map[string]struct {
		delay time.Duration
		want  int
	}{
		"early": {delay: 500 * time.Millisecond, want: fasthttp.StatusOK},
		"late":  {delay: 3400 * time.Millisecond, want: fasthttp.StatusServiceUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, deployment{
				domains: []domain{{"only", "one"}}, instances: 1, servers: 2,
				serviceTime: 2300 * time.Millisecond, timeout: 5 * time.Second, grace: 6 * time.Second,
			})
			conn, err := net.Dial("tcp4", f.instances[0].callerAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			f.instances[0].signal(syscall.SIGTERM)
			time.Sleep(c.delay)
			_, _ = fmt.Fprintf(conn, "GET /safe/1 HTTP/1.1\r\nHost: a.example\r\nX-Bulrushferry-Request-Id: big-1\r\n"+
				"X-Bulrushferry-Deadline-Ms: 5000\r\nX-Bulrushferry-Credential: key-big\r\n\r\n")
			var response fasthttp.Response
			if err := response.Read(bufio.NewReader(conn)); err != nil {
				t.Fatalf("no response: %v", err)
			}
			if response.StatusCode() != c.want {
				t.Errorf("status %d, want %d", response.StatusCode(), c.want)
			}
			if runs := f.requestLog.runCount("big-1"); c.want != fasthttp.StatusOK && runs > 0 {
				t.Error("the request was refused, but it ran")
			}
		})
	}
}
