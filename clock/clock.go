// Package clock holds the project's time type, counted in milliseconds.
package clock

import (
	"sync/atomic"
	"time"
)

type (
	// Millis is a point in time or a span, in milliseconds. Points count from
	// an arbitrary start that differs between processes.
	Millis int64

	// Clock tells the present time.
	Clock interface {
		Now() Millis
	}

	// System is a Clock that follows the operating system's monotonic clock.
	System struct {
		start time.Time
	}

	// Manual is a Clock that only moves when told to.
	Manual struct {
		now atomic.Int64
	}
)

// Second is one second.
const Second Millis = 1000

// NewSystem returns a clock that starts one hour above zero, so that times
// shortly before the start are still positive.
func NewSystem() System {
	return System{start: time.Now().Add(-time.Hour)}
}

// Now returns the time since the clock's start.
func (s System) Now() Millis {
	return FromDuration(time.Since(s.start))
}

// Now returns the time that was set last.
func (m *Manual) Now() Millis {
	return Millis(m.now.Load())
}

// Set moves the clock to the given time.
func (m *Manual) Set(now Millis) {
	m.now.Store(int64(now))
}

// Advance moves the clock forward.
func (m *Manual) Advance(span Millis) {
	m.now.Add(int64(span))
}

// FromDuration converts a standard duration, rounding down.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Duration converts a span for the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Seconds returns a span in seconds.
func (m Millis) Seconds() float64 {
	return float64(m) / float64(Second)
}
