package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a Clock that also runs while the machine is suspended. It measures the age of
// replicated tables and of heartbeats, so that they do not look recent after a suspension.
type BootTime struct{}

// Now implements Clock. It returns the time since the machine booted.
func (BootTime) Now() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return FromDuration(time.Duration(ts.Nano()))
}
