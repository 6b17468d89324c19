package steering

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// refusalCopier is a backend server that sends an earlier refusal once more with each
// request that it runs after the first one of a connection. It refuses every second request
// where its refusals name their requests.
type refusalCopier struct {
	// named is set if its refusals name their requests.
	named bool
	// send writes the answer to a request that ran, and the copy of an earlier refusal.
	send func(c net.Conn, answer, copied string)
	mu   sync.Mutex
	// runs counts how often each request ran.
	runs map[string]int
}

func (s *refusalCopier) refusal(id string) string {
	name := ""
	if s.named {
		name = "Request-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Busy\r\n" + name + "Declined: 1\r\nContent-Length: 0\r\n\r\n"
}

func (s *refusalCopier) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	copied := s.refusal("earlier")
	for n := 0; ; n++ {
		request, err := readRaw(reader)
		if err != nil {
			return
		}
		id := request.field("request-id")
		if n%2 == 1 && s.named {
			copied = s.refusal(id)
			_, _ = io.WriteString(c, copied)
			continue
		}
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		if n == 0 {
			_, _ = io.WriteString(c, ok(id))
			continue
		}
		s.send(c, ok(id), copied)
	}
}

// TestSecondCopyOfRefusal guards against believing an earlier refusal that a faulty server
// sends once more on a kept connection: no request may run twice, and none that ran may be
// called not run.
func TestSecondCopyOfRefusal(t *testing.T) {
	write := func(c net.Conn, text string) { _, _ = io.WriteString(c, text) }
	cases := map[string]func(c net.Conn, answer, copied string){
		"before the answer": func(c net.Conn, answer, copied string) { write(c, copied+answer) },
		"before it, by itself": func(c net.Conn, answer, copied string) {
			write(c, copied)
			time.Sleep(5 * time.Millisecond)
			write(c, answer)
		},
		"with the answer": func(c net.Conn, answer, copied string) { write(c, answer+copied) },
		"later than the answer": func(c net.Conn, answer, copied string) {
			write(c, answer)
			time.Sleep(2 * time.Millisecond)
			write(c, copied)
		},
		"as the next request begins": func(c net.Conn, answer, copied string) {
			write(c, answer)
			time.Sleep(time.Millisecond)
			write(c, copied)
		},
	}
	for name, send := range cases {
		for _, named := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, named %v", name, named), func(t *testing.T) {
				t.Parallel()
				testSecondRefusal(t, &refusalCopier{named: named, send: send, runs: make(map[string]int)})
			})
		}
	}
}

func testSecondRefusal(t *testing.T, copier *refusalCopier) {
	servers := []*scriptedServer{{Server: startServer(t, 0, copier.serve)}, {Server: startServer(t, 1, copier.serve)}}
	in := startInstance(t, servers)
	var next, answered atomic.Int64
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for n := next.Add(1); n <= 200; n = next.Add(1) {
				response := in.call("/b/x", int(n), 500)
				copier.mu.Lock()
				runs := copier.runs[fmt.Sprint(n)]
				copier.mu.Unlock()
				if runs > 1 || (runs > 0 && response.StatusCode() == fasthttp.StatusServiceUnavailable) {
					t.Errorf("request %d ran %d times and got %d", n, runs, response.StatusCode())
				}
				if response.StatusCode() == fasthttp.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	group.Wait()
	if answered.Load() == 0 {
		t.Error("no request was answered")
	}
}
