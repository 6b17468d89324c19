package steering

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// stalledOutput is an io.Writer whose Write blocks forever.
type stalledOutput struct{}

func (stalledOutput) Write([]byte) (int, error) {
	select {}
}

// TestLogNeverBlocks checks that logging to an output that blocks does not block the
// caller, and that the dropped lines are counted.
func TestLogNeverBlocks(t *testing.T) {
	const lines = 20_000
	registry := metrics.NewRegistry()
	log := newLogger("i", newQueuedWriter(stalledOutput{}, registry))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range lines {
			log.Info("request refused", "request", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked")
	}
	dropped := metrics.GetOrRegisterCounter("log.dropped", registry).Count()
	if dropped < lines-2*(logQueueLength+maxLogLinesPerS) {
		t.Errorf("%d of %d lines were counted as dropped", dropped, lines)
	}
}
