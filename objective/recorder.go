// Package objective counts requests against service-level objectives.
package objective

import (
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// CounterKey names what is counted together.
	CounterKey struct {
		Service   string
		Workspace string
	}

	// Recorder counts good and bad requests a minute. It is safe for
	// concurrent use.
	Recorder struct {
		clock clock.Clock

		mu    sync.Mutex
		rings map[CounterKey]*ring
	}

	// ring holds one bucket a minute for the longest window.
	ring struct {
		buckets [bucketCount]bucket
	}

	bucket struct {
		minute int64
		total  int64
		bad    int64
	}
)

const (
	bucketLength = 60 * clock.Second
	bucketCount  = 361
)

// Windows are the spans that a burn report covers, as in the multi-window
// alerts of the Site Reliability Workbook.
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

// Record counts one request.
func (r *Recorder) Record(key CounterKey, good bool) {
	minute := int64(r.clock.Now() / bucketLength)
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.rings[key]
	if !ok {
		known = &ring{}
		r.rings[key] = known
	}
	b := &known.buckets[minute%bucketCount]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	b.total++
	if !good {
		b.bad++
	}
}

// Rows returns the counts of every key in every window.
func (r *Recorder) Rows() []*wire.BurnRow {
	minute := int64(r.clock.Now() / bucketLength)
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []*wire.BurnRow
	for key, known := range r.rings {
		for _, window := range Windows {
			total, bad := known.sum(minute, int64(window/bucketLength))
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

func (r *ring) sum(minute, length int64) (total, bad int64) {
	for _, b := range r.buckets {
		if b.minute > minute-length && b.minute <= minute {
			total += b.total
			bad += b.bad
		}
	}
	return total, bad
}
