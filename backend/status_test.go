package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"testing"

	"github.com/bulrushferry/bulrushferry/http1/responsetest"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

// TestStatus guards against responses without a valid status that reach a caller:
// fasthttp reads 000 as 200, and 600 to 999 unchanged.
func TestStatus(t *testing.T) {
	cases := map[string]int{
		"000": 0, "600": 0, "700": 0, "999": 0, "0": 0, "099": 0, "199": 0, "2000": 0, "+200": 0, "1e2": 0, "": 0,
		"200": 200, "404": 404, "599": 599,
	}
	for status, want := range cases {
		t.Run("status "+status, func(t *testing.T) {
			address := serve(t, func(c net.Conn, request *fasthttp.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Said\r\nContent-Length: 2\r\n%s: %s\r\n\r\nok", status, RequestIDHeader, request.Header.Peek(RequestIDHeader))
			})
			pool := newTestPool(address)
			response := &fasthttp.Response{}
			result := pool.Run(context.Background(), &Call{
				ID: "id", Service: "s", Workspace: "w", Once: true, Weight: 1, Deadline: pool.config.Clock.Now() + 1000,
				Fingerprint: []byte("f"), Request: testRequestTo("http://s/"), Response: response, BeforeSend: func() error { return nil },
			})
			done := result.Outcome == wire.Outcome_OUTCOME_DONE
			if done != (want > 0) || (done && response.StatusCode() != want) {
				t.Errorf("got outcome %v with status %d, want %d", result.Outcome, response.StatusCode(), want)
			}
		})
	}
}

// TestFieldNames guards against responses with an invalid name of a field that reach a caller.
func TestFieldNames(t *testing.T) {
	cases := map[string]bool{
		"X Extra": false, "X-Extra ": false, "X-Extra\t": false, "X-E\x00xtra": false, "X-Extra\x7f": false, "": false,
		"Content Length": false, "Transfer-Encoding ": false, RequestIDHeader + " ": false, DeclinedHeader + " ": false, DrainingHeader + " ": false,
		"X-Extra": true, "x_9!#$%&'*+-.^`|~": true,
	}
	for name, valid := range cases {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(c net.Conn, request *fasthttp.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 1\r\nContent-Length: 2\r\n%s: %s\r\n\r\nok", name, RequestIDHeader, request.Header.Peek(RequestIDHeader))
			})
			pool := newTestPool(address)
			if result := call(pool, true, 1000); (result.Outcome == wire.Outcome_OUTCOME_DONE) != valid {
				t.Errorf("got outcome %v, want done: %v", result.Outcome, valid)
			}
		})
	}
}

// TestReason guards against a control byte in the reason of a status, which a caller would get.
func TestReason(t *testing.T) {
	cases := map[string]bool{
		"Sa\x00id": false, "Said\x1b": false, "Sa\rid": false, "Said\r": false, "Sa\x7fid": false,
		"Said": true, "": true, "Sa\tid, \xe9t\xe9": true,
	}
	for reason, valid := range cases {
		t.Run(reason, func(t *testing.T) {
			address := serve(t, func(c net.Conn, request *fasthttp.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 %s\r\nContent-Length: 2\r\n%s: %s\r\n\r\nok", reason, RequestIDHeader, request.Header.Peek(RequestIDHeader))
			})
			if result := call(newTestPool(address), true, 1000); (result.Outcome == wire.Outcome_OUTCOME_DONE) != valid {
				t.Errorf("got outcome %v, want done: %v", result.Outcome, valid)
			}
		})
	}
}

// TestLoadReportNeedsStatusAndSlots guards against a load report that is no success, or
// states no slots, and makes a server look busy.
func TestLoadReportNeedsStatusAndSlots(t *testing.T) {
	cases := map[string]struct {
		head, body string
		busy       bool
	}{
		"busy":      {"HTTP/1.1 200 OK", `{"slots":4,"in_flight":4}`, true},
		"free":      {"HTTP/1.1 200 OK", `{"slots":4,"in_flight":1}`, false},
		"a failure": {"HTTP/1.1 500 No", `{"slots":4,"in_flight":4}`, false},
		"no status": {"HTTP/1.1 000 No", `{"slots":4,"in_flight":4}`, false},
		"no slots":  {"HTTP/1.1 200 OK", `{}`, false},
		"bad name":  {"HTTP/1.1 200 OK\r\nX Extra: 1", `{"slots":4,"in_flight":4}`, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(conn net.Conn, _ *fasthttp.Request) {
				_, _ = io.WriteString(conn, fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", c.head, len(c.body), c.body))
			})
			pool := newTestPool(address)
			for _, s := range pool.servers {
				if pool.probe(s); s.reportedBusy != c.busy {
					t.Errorf("the server counts as busy: %v, want %v", s.reportedBusy, c.busy)
				}
			}
		})
	}
}

// TestEndlessLoadReports guards against servers that answer probes without end and take all of
// the process's memory. Afterwards ordinary probes succeed.
func TestEndlessLoadReports(t *testing.T) {
	const (
		servers  = 40
		memoryMB = 512
		maxHeap  = memoryMB << 20
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memory.CollectorLimit(memoryMB)))
	for name := range responsetest.Endless {
		t.Run(name, func(t *testing.T) {
			var endless []*responsetest.EndlessServer
			var addresses []string
			for range servers {
				server := responsetest.ServeEndless(t, `{"slots":4,"in_flight":4}`)
				server.Start(name)
				endless, addresses = append(endless, server), append(addresses, server.Address)
			}
			pool := newTestPool(addresses...)
			heap := responsetest.WatchHeap()
			probeAll(pool)
			grown := heap.Stop()
			t.Logf("the heap grew by %d MiB, bound %d MiB", grown>>20, maxHeap>>20)
			if grown > maxHeap {
				t.Error("the heap grew beyond its bound")
			}
			for _, server := range endless {
				server.Stop()
			}
			probeAll(pool)
			for _, s := range pool.servers {
				if !s.reportedBusy {
					t.Fatal("an ordinary report did not count")
				}
			}
		})
	}
}

// probeAll probes all servers of a pool at a time.
func probeAll(pool *Pool) {
	var probes sync.WaitGroup
	for _, s := range pool.servers {
		probes.Go(func() { pool.probe(s) })
	}
	probes.Wait()
}
