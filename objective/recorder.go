// Package objective counts good and bad requests and computes the burn rate of the
// error budgets of service-level objectives.
package objective

import (
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// CounterKey identifies the requests that are counted together.
	CounterKey struct {
		Service   string
		Workspace string
	}

	// Recorder counts good and bad requests per minute. It is safe for concurrent
	// use.
	Recorder struct {
		clock clock.Clock

		mu    sync.Mutex
		rings map[CounterKey]*ring
	}

	// ring is a ring buffer with one bucket per minute.
	ring struct {
		buckets [bucketCount]bucket
	}

	// bucket counts the requests of one minute. It is reset when it is reused for a
	// later minute.
	bucket struct {
		minute int64
		total  int64
		bad    int64
	}
)

const (
	bucketLength = 60 * clock.Second
	// bucketCount covers the longest window, with one bucket to spare.
	bucketCount = 361
)

// Windows are the lengths of the time windows in a burn report, after the
// multiwindow alerts of the Site Reliability Workbook.
var Windows = []clock.Millis{
	5 * bucketLength,
	30 * bucketLength,
	60 * bucketLength,
	360 * bucketLength,
}

// NewRecorder returns an empty recorder.
func NewRecorder(c clock.Clock) *Recorder {
	return &Recorder{clock: c, rings: make(map[CounterKey]*ring)}
}

// Record counts one request as good or bad.
func (r *Recorder) Record(key CounterKey, good bool) {
	minute := int64(r.clock.Now() / bucketLength)
	r.mu.Lock()
	defer r.mu.Unlock()
	counters, ok := r.rings[key]
	if !ok {
		counters = &ring{}
		r.rings[key] = counters
	}
	b := &counters.buckets[minute%bucketCount]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	b.total++
	if !good {
		b.bad++
	}
}

// Rows returns the counts of every key over every window.
func (r *Recorder) Rows() []*wire.BurnRow {
	minute := int64(r.clock.Now() / bucketLength)
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []*wire.BurnRow
	for key, counters := range r.rings {
		for _, window := range Windows {
			total, bad := counters.sum(minute, int64(window/bucketLength))
			rows = append(rows, &wire.BurnRow{
				Service:   key.Service,
				Workspace: key.Workspace,
				WindowMs:  int64(window),
				Total:     total,
				Bad:       bad,
			})
		}
	}
	return rows
}

// sum adds up the buckets of a window that ends with the given minute. The length is
// in minutes.
func (r *ring) sum(minute, length int64) (total, bad int64) {
	for _, b := range r.buckets {
		if b.minute > minute-length && b.minute <= minute {
			total += b.total
			bad += b.bad
		}
	}
	return total, bad
}
