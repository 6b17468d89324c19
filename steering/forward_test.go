package steering

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

// TestLeavingServerGetsNothingMore has a server say that it leaves in each kind of its
// answers. As soon as the caller has that answer nothing more may reach the server, while
// the list goes on calling it ready and while the store is away.
func TestLeavingServerGetsNothingMore(t *testing.T) {
	cases := map[string]func(id string) string{
		"a success": func(id string) string { return strings.Replace(ok(id), "Signature", "Leaving: 1\r\nSignature", 1) },
		"a failure": func(id string) string {
			return "HTTP/1.1 500 No\r\nRequest-Id: " + id + "\r\nSignature: x\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"
		},
		"a decline": func(id string) string {
			return "HTTP/1.1 503 No\r\nRequest-Id: " + id + "\r\nDeclined: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"
		},
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := startScripted(t, respond, ok)
			in := startInstance(t, servers)
			for n := 0; n < 200 && servers[0].arrivedAfter(time.Time{}) == 0; n++ {
				in.call("/b/"+strconv.Itoa(n), n, 1000)
			}
			if servers[0].arrivedAfter(time.Time{}) == 0 {
				t.Fatal("the server was not used")
			}
			passedOn := time.Now()
			for n := range 60 {
				if n == 20 {
					in.list(2)
				}
				if n == 40 {
					in.state.manualClock.Advance(4 * clock.Second)
				}
				if response := in.call("/a/x", 1000+n, 1000); response.StatusCode() != fasthttp.StatusOK {
					t.Fatalf("request %d got %d", n, response.StatusCode())
				}
			}
			if late := servers[0].arrivedAfter(passedOn); late > 0 {
				t.Errorf("%d requests reached the server after its notice", late)
			}
		})
	}
}

// TestPausedServerIsLeftAlone has one of two servers ask for a pause under load. At most
// two requests may reach it from half a second later to the end of the pause, nothing is
// refused meanwhile, and it is used again afterwards.
func TestPausedServerIsLeftAlone(t *testing.T) {
	var pausedAt atomic.Pointer[time.Time]
	pausing := func(id string) string {
		now := time.Now()
		if pausedAt.CompareAndSwap(nil, &now) {
			return "HTTP/1.1 503 No\r\nRequest-Id: " + id + "\r\nDeclined: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n"
		}
		return ok(id)
	}
	servers := startScripted(t, pausing, ok)
	in := startInstance(t, servers)
	var refused atomic.Int64
	in.runLoad(12, time.Now().Add(3*time.Second), func(status int) {
		if status != fasthttp.StatusOK {
			refused.Add(1)
		}
	})
	if pausedAt.Load() == nil {
		t.Fatal("the server was not used")
	}
	from, to := pausedAt.Load().Add(500*time.Millisecond), pausedAt.Load().Add(1500*time.Millisecond)
	if n := servers[0].arrivedAfter(from) - servers[0].arrivedAfter(to); n > 2 {
		t.Errorf("%d requests reached the server during its pause, at most 2 may", n)
	}
	if servers[0].arrivedAfter(to) == 0 {
		t.Error("the server was not used after its pause")
	}
	if refused.Load() > 0 {
		t.Errorf("%d requests were refused beside a free server", refused.Load())
	}
}

// TestServiceRecoversFromPauses has all servers of a service ask for pauses for a while.
// Requests are refused at once as not run; as soon as the servers allow it, they are served.
func TestServiceRecoversFromPauses(t *testing.T) {
	began := time.Now()
	respond := func(id string) string {
		if time.Since(began) < 1500*time.Millisecond {
			return "HTTP/1.1 503 No\r\nRequest-Id: " + id + "\r\nDeclined: 1\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"
		}
		return ok(id)
	}
	in := startInstance(t, startScripted(t, respond, respond, respond))
	var served, refused, late atomic.Int64
	in.runLoad(6, began.Add(5*time.Second), func(status int) {
		switch status {
		case fasthttp.StatusServiceUnavailable:
			refused.Add(1)
			if time.Since(began) > 2500*time.Millisecond {
				late.Add(1)
			}
		case fasthttp.StatusOK:
			served.Add(1)
		default:
			t.Errorf("got status %d", status)
		}
	})
	t.Logf("%d served, %d refused, %d of these later than 1 s after the servers recovered", served.Load(), refused.Load(), late.Load())
	if served.Load() == 0 || refused.Load() == 0 || late.Load() > 0 {
		t.Errorf("%d served, %d refused, %d of these after the recovery", served.Load(), refused.Load(), late.Load())
	}
}

// TestNothingIsSentWithoutPermission has a request wait behind another one on its
// connection, as if this process had been paused, until the instance's authority has run
// out or the caller's key was withdrawn. Then it must be refused as not run.
func TestNothingIsSentWithoutPermission(t *testing.T) {
	cases := map[string]func(in *testInstance){
		"the authority ran out": func(in *testInstance) {
			for i := range 6 {
				in.state.members.Record(&wire.FleetInstance{Instance: fmt.Sprint("silent", i)}, in.state.manualClock.Now())
			}
			in.state.manualClock.Advance(9 * clock.Second)
		},
		"the key was withdrawn": func(in *testInstance) { in.list(100) },
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			servers := startScripted(t, func(id string) string {
				if id == "1" {
					<-release
				}
				return ok(id)
			})
			in := startInstance(t, servers)
			c, err := net.Dial("tcp4", in.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			for id := 1; id <= 2; id++ {
				_, _ = fmt.Fprintf(c, "POST /b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nKey: k\r\nContent-Length: 0\r\n\r\n", id)
			}
			for wait := 0; wait < 2000 && (servers[0].arrivedAfter(time.Time{}) == 0 || in.read.Load() < 2); wait++ {
				time.Sleep(time.Millisecond)
			}
			// The second request has been read. Its key is looked up at once; only then
			// can it lose its permission.
			time.Sleep(20 * time.Millisecond)
			lose(in)
			close(release)
			reader := bufio.NewReader(c)
			for _, want := range []int{fasthttp.StatusOK, fasthttp.StatusServiceUnavailable} {
				var response fasthttp.Response
				if err := response.Read(reader); err != nil || response.StatusCode() != want {
					t.Fatalf("got %d, %v, want %d", response.StatusCode(), err, want)
				}
			}
			if n := servers[0].arrivedAfter(time.Time{}); n != 1 {
				t.Errorf("%d requests reached the server, want 1", n)
			}
		})
	}
}

// TestCallersOfEndlessServers checks that the callers of servers that send without end get
// a complete answer by their deadline that does not say that the request was not run.
func TestCallersOfEndlessServers(t *testing.T) {
	forever := func(begin, piece string) func(string) string {
		return func(id string) string { return fmt.Sprintf(begin, id) + strings.Repeat(piece, 1<<20/len(piece)) }
	}
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\n"
	cases := map[string]func(string) string{
		"a head":  forever("HTTP/1.1 200 OK\r\nX: %s", "yyyyyyyyyyyyyyyy"),
		"a body":  forever(head+"Connection: close\r\n\r\n", strings.Repeat("z", 4096)),
		"chunks":  forever(head+"Transfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("z", 0x400)+"\r\n"),
		"interim": forever("HTTP/1.1 103 Early\r\nX: %s\r\n\r\n", "HTTP/1.1 103 Early\r\n\r\n"),
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in := startInstance(t, startScripted(t, respond))
			started := time.Now()
			response := in.call("/b/x", 1, 600)
			if status := response.StatusCode(); status != fasthttp.StatusBadGateway && status != fasthttp.StatusGatewayTimeout {
				t.Errorf("got %d, want 502 or 504", status)
			}
			if took := time.Since(started); took > 700*time.Millisecond {
				t.Errorf("the answer came after %s, the deadline was 600 ms", took)
			}
			time.Sleep(20 * time.Millisecond)
			if used := in.memory.Usage().Held[memory.Responses]; used != 0 {
				t.Errorf("%d bytes are held after the answer", used)
			}
		})
	}
}
