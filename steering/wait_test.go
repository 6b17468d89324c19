package steering

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// filling is an instance whose requests fill its servers: those with ids of several digits
// are held until release is closed. All others take work.
type filling struct {
	*testInstance
	holders  sync.WaitGroup
	answered atomic.Int64
	release  chan struct{}
}

const (
	fillObjective = 500 * time.Millisecond
	fillWork      = 300 * time.Millisecond
	// fillLearned is the number of requests from which the instance learns.
	fillLearned = 8
)

// startFilling lists the first of some servers, has the instance learn how long requests take,
// and fills the server until further requests have no room in time.
func startFilling(t *testing.T, servers int) *filling {
	t.Helper()
	f := &filling{release: make(chan struct{})}
	respond := func(id string) string {
		if len(id) > 1 {
			<-f.release
		} else if id != "9" {
			time.Sleep(fillWork)
		}
		return ok(id)
	}
	f.testInstance = startInstance(t, startScripted(t, []func(string) string{respond, respond}[:servers]...))
	f.state.applyTables(2, "", "s0")
	var learning sync.WaitGroup
	for n := range fillLearned {
		learning.Go(func() { f.call("/b/x", n, 3000) })
	}
	learning.Wait()
	refused := make(chan struct{}, 1)
	for n := 100; len(refused) == 0; n++ {
		f.holders.Go(func() {
			if f.call("/b/x", n, 3000).StatusCode() == fasthttp.StatusOK {
				f.answered.Add(1)
			} else {
				select {
				case refused <- struct{}{}:
				default:
				}
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	for f.handler.room.Len() > 0 {
		time.Sleep(time.Millisecond)
	}
	return f
}

// whenWaiting calls a function as soon as a request waits.
func (f *filling) whenWaiting(call func()) {
	for f.handler.room.Len() == 0 {
		time.Sleep(time.Millisecond)
	}
	call()
}

// TestWaitEndsWithRoom sends a request that may run once to a full server, of which slots
// become free as soon as the request waits. It must be served, once.
func TestWaitEndsWithRoom(t *testing.T) {
	f := startFilling(t, 1)
	go f.whenWaiting(func() { close(f.release) })
	if status := f.call("/b/x", 9, 3000).StatusCode(); status != fasthttp.StatusOK {
		t.Errorf("got %d, want 200", status)
	}
	f.holders.Wait()
	if n, want := f.servers[0].arrivedAfter(time.Time{}), fillLearned+int(f.answered.Load())+1; n != want {
		t.Errorf("%d requests reached the server, %d were answered", n, want)
	}
}

// TestWaitEndsWithoutRoom sends requests to a server that stays full. They must be refused as
// not run, and not reach the server later. A busy machine may delay an answer, but the fastest
// one must come after the whole waiting time and reach the caller in the first eighth of the
// objective.
func TestWaitEndsWithoutRoom(t *testing.T) {
	const wait, latest = fillObjective / waitDivisor, fillObjective / 8
	f := startFilling(t, 1)
	fastest := time.Hour
	for range 20 {
		started := time.Now()
		response := f.call("/b/x", 9, 3000)
		if response.StatusCode() != fasthttp.StatusServiceUnavailable {
			t.Fatalf("got %d, want 503", response.StatusCode())
		}
		if fastest = min(fastest, time.Since(started)); fastest <= latest {
			break
		}
	}
	if fastest < wait || fastest > latest {
		t.Errorf("the fastest refusal came after %s, want %s to %s", fastest, wait, latest)
	}
	close(f.release)
	f.holders.Wait()
	if n, want := f.servers[0].arrivedAfter(time.Time{}), fillLearned+int(f.answered.Load()); n != want {
		t.Errorf("%d requests reached the server, %d were answered", n, want)
	}
}

// TestNewServerEndsTheWait lists a second server while a request waits for the first, which
// is full. The request must be served by it.
func TestNewServerEndsTheWait(t *testing.T) {
	f := startFilling(t, 2)
	go f.whenWaiting(func() { f.state.applyTables(3, "", "s0", "s1") })
	if status := f.call("/b/x", 9, 3000).StatusCode(); status != fasthttp.StatusOK {
		t.Errorf("got %d, want 200", status)
	}
	if f.servers[1].arrivedAfter(time.Time{}) != 1 {
		t.Error("the new server was not used")
	}
	close(f.release)
	f.holders.Wait()
}

// TestCallerEndsTheWait closes a caller's connection while its request waits. The request must
// leave the queue and never reach the server.
func TestCallerEndsTheWait(t *testing.T) {
	f := startFilling(t, 1)
	c, err := net.Dial("tcp4", f.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprint(c, "POST /b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 9\r\nKey: k\r\nDeadline: 3000\r\nContent-Length: 0\r\n\r\n")
	f.whenWaiting(func() { _ = c.Close() })
	for f.handler.room.Len() > 0 {
		time.Sleep(time.Millisecond)
	}
	close(f.release)
	f.holders.Wait()
	if n, want := f.servers[0].arrivedAfter(time.Time{}), fillLearned+int(f.answered.Load()); n != want {
		t.Errorf("%d requests reached the server, %d were answered", n, want)
	}
}
