package caller

import (
	"context"
	"math"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"pgregory.net/rapid"
)

// TestLinkLimiterKeepsRate sends messages of random sizes as soon as reserve allows
// each. The total since the start must not exceed the rate times the elapsed time,
// plus the burst and the largest message.
func TestLinkLimiterKeepsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1e6
		now := &clock.Manual{}
		limiter := NewLinkLimiter(LinkLimiterConfig{Clock: now, Region: "a", BitsPerS: func(string) float64 { return rate }})
		largest, sent := 0.0, 0.0
		started := now.Now()
		for range rapid.IntRange(1, 100).Draw(t, "messages") {
			now.Advance(clock.Millis(rapid.IntRange(0, 50).Draw(t, "gap")))
			bytes := rapid.IntRange(1, 50_000).Draw(t, "bytes")
			now.Advance(clock.FromDuration(limiter.reserve("b", rate*(1-reservedShare), bytes)) + 1)
			largest = max(largest, float64(bytes*bitsPerByte))
			sent += float64(bytes * bitsPerByte)
			if bound := rate*(now.Now()-started).Seconds() + rate*linkBurstSeconds + largest; sent > bound {
				t.Fatalf("%f bits were sent, the limit is %f", sent, bound)
			}
		}
	})
}

// TestLinkLimiterWithoutRule checks that a link without a bandwidth rule, whose rate is
// infinite, never counts as full.
func TestLinkLimiterWithoutRule(t *testing.T) {
	now := &clock.Manual{}
	limiter := NewLinkLimiter(LinkLimiterConfig{Clock: now, Region: "a", BitsPerS: func(string) float64 { return math.Inf(1) }})
	for range 3 {
		if err := limiter.Wait(context.Background(), "b", 1<<20); err != nil || !limiter.HasCapacity("b") {
			t.Fatalf("a link without a rule is full: %v", err)
		}
		now.Advance(10)
	}
}

func TestLinkLimiterIgnoresOwnRegion(t *testing.T) {
	limiter := NewLinkLimiter(LinkLimiterConfig{Clock: &clock.Manual{}, Region: "a", BitsPerS: func(string) float64 { return 0 }})
	if !limiter.HasCapacity("a") || limiter.HasCapacity("b") {
		t.Error("a link within the region must have no limit, and one with rate 0 no capacity")
	}
}
