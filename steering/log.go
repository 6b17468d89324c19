package steering

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

type (
	// queuedWriter hands lines to a slow output without ever blocking: lines
	// that find the queue full, or exceed the rate, are dropped and counted.
	queuedWriter struct {
		lines   chan []byte
		dropped metrics.Counter
		second  atomic.Int64
		count   atomic.Int64
	}
)

const (
	logQueue = 512
	// maxLinesPerS bounds the log of one process.
	maxLinesPerS = 150
)

func newQueuedWriter(output io.Writer, registry metrics.Registry) *queuedWriter {
	w := &queuedWriter{
		lines:   make(chan []byte, logQueue),
		dropped: metrics.GetOrRegisterCounter("log.dropped", registry),
	}
	go func() {
		for line := range w.lines {
			_, _ = output.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer.
func (w *queuedWriter) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if w.second.Swap(now) != now {
		w.count.Store(0)
	}
	if w.count.Add(1) > maxLinesPerS {
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

func newLog(instance string, output io.Writer) hclog.Logger {
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "steer",
		Level:      hclog.Info,
		Output:     output,
		JSONFormat: true,
	})
	return log.With("instance", instance)
}
