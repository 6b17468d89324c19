package emulator

import (
	"math"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// TestSpells checks that a server is slow for its share of the time, and that the duration of
// some work agrees with the pace at each moment of it.
func TestSpells(t *testing.T) {
	c := Spells{Share: 0.15, Factor: 2.5, Length: 600}
	course, check := newSpells(c, 1, 2), newSpells(c, 1, 2)
	const end = 2_000_000
	slow := 0
	for now := clock.Millis(0); now < end; now++ {
		if course.pace(now) > 1 {
			slow++
		}
		if now%2000 != 0 {
			continue
		}
		took, work := course.duration(now, 700), 0.0
		for at := now; at < now+clock.Millis(took); at++ {
			work += 1 / check.pace(at)
		}
		if math.Abs(work-700) > 5 {
			t.Fatalf("at %d ms work of 700 ms takes %.0f ms, in which %.0f ms of it are done", now, took, work)
		}
	}
	if share := float64(slow) / end; share < 0.12 || share > 0.18 {
		t.Errorf("the server is slow for %.3f of the time", share)
	}
}
