package tokens

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
)

// TestWaitersAreWokenOnce has requests wait at a start for this instance's own bucket. It
// guards against each of them waking all others again and again: 64 led to over 4,000
// goroutines.
func TestWaitersAreWokenOnce(t *testing.T) {
	manual := &clock.Manual{}
	manual.Advance(100 * clock.Second)
	_, _, network := newTestLimiters(manual)
	before := runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range maxTokenWaiters {
		group.Go(func() { network.owner.Admit(ctx, "w") })
	}
	most := 0
	for range 50 {
		time.Sleep(4 * time.Millisecond)
		most = max(most, runtime.NumGoroutine()-before)
	}
	cancel()
	group.Wait()
	if most > 4*maxTokenWaiters {
		t.Errorf("%d goroutines ran for %d waiting requests", most, maxTokenWaiters)
	}
}
