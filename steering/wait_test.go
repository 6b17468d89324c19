package steering

import (
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
	// callerMargin is how much later than the instance's answer a caller may see it.
	callerMargin = 60 * time.Millisecond
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
	for n := range 8 {
		learning.Go(func() { f.call("/b/x", n, 3000) })
	}
	learning.Wait()
	for n := range 40 {
		f.holders.Go(func() {
			if f.call("/b/x", 100+n, 3000).StatusCode() == fasthttp.StatusOK {
				f.answered.Add(1)
			}
		})
	}
	time.Sleep(fillObjective/waitDivisor + callerMargin)
	return f
}

// TestWaitEndsWithRoom sends a request that may run once to a full server. If slots become
// free in its waiting time it is served, in this time and once; otherwise it is refused as not
// run after the first eighth of its objective. Otherwise callers are sent back beside a server
// with room, or held for nothing.
func TestWaitEndsWithRoom(t *testing.T) {
	cases := map[string]struct {
		freeAfter time.Duration
		status    int
	}{
		"room in time": {freeAfter: 25 * time.Millisecond, status: fasthttp.StatusOK},
		"no room":      {freeAfter: 300 * time.Millisecond, status: fasthttp.StatusServiceUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFilling(t, 1)
			started := time.Now()
			time.AfterFunc(c.freeAfter, func() { close(f.release) })
			response := f.call("/b/x", 9, 3000)
			if took := time.Since(started); response.StatusCode() != c.status || took > fillObjective/waitDivisor+callerMargin {
				t.Errorf("got %d after %s, want %d", response.StatusCode(), took, c.status)
			}
			f.holders.Wait()
			want := 8 + int(f.answered.Load()) + map[int]int{fasthttp.StatusOK: 1}[c.status]
			if n := f.servers[0].arrivedAfter(time.Time{}); n != want {
				t.Errorf("%d requests reached the server, %d were answered", n, want)
			}
		})
	}
}

// TestNewServerEndsTheWait lists a second server while a request waits for the first, which
// is full. The request must be served at once.
func TestNewServerEndsTheWait(t *testing.T) {
	f := startFilling(t, 2)
	time.AfterFunc(20*time.Millisecond, func() { f.state.applyTables(3, "", "s0", "s1") })
	if status := f.call("/b/x", 9, 3000).StatusCode(); status != fasthttp.StatusOK {
		t.Errorf("got %d, want 200", status)
	}
	if f.servers[1].arrivedAfter(time.Time{}) != 1 {
		t.Error("the new server was not used")
	}
	close(f.release)
	f.holders.Wait()
}
