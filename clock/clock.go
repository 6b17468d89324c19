// Package clock defines a type for times and durations in milliseconds, and
// clocks that return it.
package clock

import (
	"sync/atomic"
	"time"
)

type (
	// Millis is a point in time or a duration, in milliseconds. Points in time
	// are relative to the origin of the clock that returned them and must not be
	// compared between clocks or processes.
	Millis int64

	// Clock returns the current time.
	Clock interface {
		Now() Millis
	}

	// System is a Clock based on the operating system's monotonic clock.
	System struct {
		start time.Time
	}

	// Manual is a Clock that only advances when it is set, for tests and
	// simulations. It is safe for concurrent use.
	Manual struct {
		now atomic.Int64
	}
)

// Second is one second.
const Second Millis = 1000

// NewSystem returns a clock that starts at one hour, so that times shortly before its
// start are still positive.
func NewSystem() System {
	return System{start: time.Now().Add(-time.Hour)}
}

// Now implements Clock.
func (s System) Now() Millis {
	return FromDuration(time.Since(s.start))
}

// Now implements Clock.
func (m *Manual) Now() Millis {
	return Millis(m.now.Load())
}

// Set sets the clock.
func (m *Manual) Set(now Millis) {
	m.now.Store(int64(now))
}

// Advance moves the clock forward by a duration.
func (m *Manual) Advance(d Millis) {
	m.now.Add(int64(d))
}

// FromDuration converts a duration of the standard library and discards the fraction
// of a millisecond.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Duration converts a duration to that of the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Seconds returns a duration in seconds.
func (m Millis) Seconds() float64 {
	return float64(m) / float64(Second)
}
