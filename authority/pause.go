package authority

import "github.com/bulrushferry/bulrushferry/clock"

// PauseDetector notices that its process was stopped for a while and went on. The
// requests that piled up meanwhile are stale: their callers have gone, and
// running them would use up rate that others are entitled to.
type PauseDetector struct {
	// MaxTickGap is the longest gap between ticks of a process that runs.
	MaxTickGap clock.Millis
	// Cooldown is how long after a pause the process acts on nothing.
	Cooldown clock.Millis

	started  bool
	lastTick clock.Millis
	until    clock.Millis
}

// Tick is called at short, regular intervals.
func (g *PauseDetector) Tick(now clock.Millis) {
	if g.started && now-g.lastTick > g.MaxTickGap {
		g.until = now + g.Cooldown
	}
	g.started = true
	g.lastTick = now
}

// Paused reports whether the process is, or has just been, stopped.
func (g *PauseDetector) Paused(now clock.Millis) bool {
	return now < g.until || (g.started && now-g.lastTick > g.MaxTickGap)
}
