package caller

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"pgregory.net/rapid"
)

// TestLinkKeepsItsLimit sends random messages as soon as they may be sent. In
// any window no more goes out than the rate allows, plus the burst and one
// message.
func TestLinkKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1e6
		now := &clock.Manual{}
		links := NewLinkLimiter(LinkLimiterConfig{Clock: now, Region: "a", BitsPerS: func(string) float64 { return rate }})
		largest, sent := 0.0, 0.0
		started := now.Now()
		for range rapid.IntRange(1, 100).Draw(t, "messages") {
			now.Advance(clock.Millis(rapid.IntRange(0, 50).Draw(t, "gap")))
			bytes := rapid.IntRange(1, 50_000).Draw(t, "bytes")
			now.Advance(clock.FromDuration(links.reserve("b", bytes)) + 1)
			largest = max(largest, float64(bytes*bitsPerByte))
			sent += float64(bytes * bitsPerByte)
			if bound := rate*(now.Now()-started).Seconds() + rate*linkBurstSeconds + largest; sent > bound {
				t.Fatalf("%f bits were sent, the bound is %f", sent, bound)
			}
		}
	})
}

func TestLinkWithinRegionIsOpen(t *testing.T) {
	links := NewLinkLimiter(LinkLimiterConfig{Clock: &clock.Manual{}, Region: "a", BitsPerS: func(string) float64 { return 0 }})
	if !links.HasCapacity("a") || links.HasCapacity("b") {
		t.Error("a link within the region has no limit, one without rate is closed")
	}
}
