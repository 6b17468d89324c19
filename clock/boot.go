package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a Clock that goes on while the machine is suspended. Ages of what a
// process knows are measured with it.
type Boot struct{}

// Now returns the time since the machine's start, suspension included.
func (Boot) Now() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return FromDuration(time.Duration(ts.Nano()))
}
