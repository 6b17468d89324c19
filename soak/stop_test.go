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

// TestLateRequestsOfAStop sends requests to an instance that stops: one early
// enough to be finished, and one too late, which must be refused as not run
// instead of being cut at the end.
func TestLateRequestsOfAStop(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		want  int
	}{
		"early": {after: 500 * time.Millisecond, want: fasthttp.StatusOK},
		"late":  {after: 3400 * time.Millisecond, want: fasthttp.StatusServiceUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, deployment{
				domains: []domain{{"only", "one"}}, instances: 1, servers: 2,
				work: 2300 * time.Millisecond, timeout: 5 * time.Second, grace: 6 * time.Second,
			})
			conn, err := net.Dial("tcp4", f.instances[0].front)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			f.instances[0].signal(syscall.SIGTERM)
			time.Sleep(c.after)
			_, _ = fmt.Fprintf(conn, "GET /safe/1 HTTP/1.1\r\nHost: a.example\r\nX-Bulrushferry-Request-Id: big-1\r\n"+
				"X-Bulrushferry-Deadline-Ms: 5000\r\nX-Bulrushferry-Credential: key-big\r\n\r\n")
			var response fasthttp.Response
			if err := response.Read(bufio.NewReader(conn)); err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if response.StatusCode() != c.want {
				t.Errorf("status %d, want %d", response.StatusCode(), c.want)
			}
			if ran := f.ledger.ran("big-1"); c.want != fasthttp.StatusOK && ran > 0 {
				t.Error("the request was refused and ran")
			}
		})
	}
}
