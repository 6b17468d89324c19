package soak

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestRestartOfAll has all instances end at the same moment and start again, under load. It
// guards against refusals of workspaces far below their rates for the seconds in which the
// instances divide the limits again.
func TestRestartOfAll(t *testing.T) {
	f := newFleet(t, threeRegions)
	load := &loadGenerator{fleet: f, withdrawnAt: make(map[string]time.Time)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { load.run(ctx, 1) })
	time.Sleep(time.Second)
	for _, in := range f.instances {
		in.signal(syscall.SIGKILL)
	}
	for _, in := range f.instances {
		group.Go(func() { in.restart(t, syscall.SIGKILL, 200*time.Millisecond) })
	}
	time.Sleep(200 * time.Millisecond)
	restartedAt := time.Now()
	f.waitListening()
	time.Sleep(3 * time.Second)
	cancel()
	group.Wait()
	statuses := make(map[int]int)
	for _, r := range load.results {
		if r.sentAt.After(restartedAt) {
			statuses[r.status]++
		}
	}
	t.Logf("requests since the restart by status: %v", statuses)
	if limited, served := statuses[fasthttp.StatusTooManyRequests], statuses[fasthttp.StatusOK]; served == 0 || limited*100 > served {
		t.Errorf("%d requests were refused as over the rate, %d served, want at most 1 in 100", limited, served)
		f.logTails()
	}
}
