package authority

import "github.com/bulrushferry/bulrushferry/clock"

// PauseDetector detects that its process was suspended and has resumed. Requests
// that queued up in the meantime are stale: their callers have given up, and
// running them would consume tokens that other requests need.
type PauseDetector struct {
	// MaxTickGap is the longest gap between two ticks that does not count as a pause.
	MaxTickGap clock.Millis
	// Cooldown is how long after a pause Paused stays true.
	Cooldown clock.Millis

	started     bool
	lastTick    clock.Millis
	pausedUntil clock.Millis
}

// Tick must be called at regular intervals shorter than MaxTickGap.
func (d *PauseDetector) Tick(now clock.Millis) {
	if d.started && now-d.lastTick > d.MaxTickGap {
		d.pausedUntil = now + d.Cooldown
	}
	d.started = true
	d.lastTick = now
}

// Paused reports whether the last tick is overdue or a pause ended less than
// Cooldown ago.
func (d *PauseDetector) Paused(now clock.Millis) bool {
	return now < d.pausedUntil || (d.started && now-d.lastTick > d.MaxTickGap)
}
