package steering

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

type (
	// queuedWriter writes log lines to an output in the background, so that a slow
	// output never blocks the caller. Lines beyond the queue's length or the rate
	// limit are dropped and counted.
	queuedWriter struct {
		lines           chan []byte
		dropped         metrics.Counter
		currentSecond   atomic.Int64
		linesThisSecond atomic.Int64
	}
)

const (
	logQueueLength = 512
	// maxLogLinesPerS limits the rate of log lines of one process.
	maxLogLinesPerS = 150
)

// newQueuedWriter starts a goroutine that writes the queued lines to output.
func newQueuedWriter(output io.Writer, registry metrics.Registry) *queuedWriter {
	w := &queuedWriter{
		lines:   make(chan []byte, logQueueLength),
		dropped: metrics.GetOrRegisterCounter("log.dropped", registry),
	}
	go func() {
		for line := range w.lines {
			_, _ = output.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It reports success for dropped lines too.
func (w *queuedWriter) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if w.currentSecond.Swap(now) != now {
		w.linesThisSecond.Store(0)
	}
	if w.linesThisSecond.Add(1) > maxLogLinesPerS {
		w.dropped.Inc(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Inc(1)
	}
	return len(line), nil
}

// newLogger returns a JSON logger that adds the instance's name to each line.
func newLogger(instance string, output io.Writer) hclog.Logger {
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "steer",
		Level:      hclog.Info,
		Output:     output,
		JSONFormat: true,
	})
	return log.With("instance", instance)
}
