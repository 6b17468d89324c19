package soak

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/http1"
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
			if err := http1.ReadResponse(http1.NewResponseReader(conn), &response, false); err != nil {
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

// TestSlowRequestsDuringShutdown guards against requests that are taken and passed on so late
// in a planned stop that the end of the process cuts them off: servers take longer than what
// is left, callers send requests that may not be repeated all the time. Each must be answered,
// or refused without running.
func TestSlowRequestsDuringShutdown(t *testing.T) {
	f := newFleet(t, deployment{
		domains: []domain{{"only", "one"}}, instances: 1, servers: 4,
		serviceTime: 3 * time.Second, timeout: 5 * time.Second, grace: 6 * time.Second,
	})
	in := f.instances[0]
	status := func(id string) (int, error) {
		conn, err := net.Dial("tcp4", in.callerAddress)
		if err != nil {
			return 0, err
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "POST /unsafe/1 HTTP/1.1\r\nHost: a.example\r\nX-Bulrushferry-Request-Id: %s\r\n"+
			"X-Bulrushferry-Deadline-Ms: 5000\r\nX-Bulrushferry-Credential: key-big\r\nContent-Length: 0\r\n\r\n", id)
		var response fasthttp.Response
		if err := http1.ReadResponse(http1.NewResponseReader(conn), &response, false); err != nil {
			return 0, err
		}
		return response.StatusCode(), nil
	}
	var group sync.WaitGroup
	send := func(id string) {
		group.Go(func() {
			got, err := status(id)
			runs := f.requestLog.runCount(id)
			if (runs > 0 && got != fasthttp.StatusOK) || (got != fasthttp.StatusOK && got != fasthttp.StatusServiceUnavailable) {
				t.Errorf("%s ran %d times and got %d, %v", id, runs, got, err)
			}
		})
	}
	for n := range 4 {
		send(fmt.Sprint("big-before-", n))
	}
	group.Wait()
	in.signal(syscall.SIGTERM)
	for n := range 35 {
		send(fmt.Sprint("big-", n*100, "ms"))
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
}
