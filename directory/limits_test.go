package directory

import (
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// TestWatch checks when an instance says that it is near a limit and when it has recovered.
func TestWatch(t *testing.T) {
	type step struct {
		at    clock.Millis
		limit Limit
		use   float64
		want  Limit
	}
	cases := map[string][]step{
		"descriptors at once":     {{1000, Descriptors, 0.79, NoLimit}, {2000, Descriptors, 0.81, Descriptors}},
		"memory at once":          {{1000, Memory, 0.86, Memory}},
		"kept until low":          {{1000, Memory, 0.9, Memory}, {2000, Memory, 0.75, Memory}, {60000, Memory, 0.75, Memory}},
		"recovered":               {{1000, Memory, 0.9, Memory}, {2000, Memory, 0.5, Memory}, {4900, Memory, 0.5, Memory}, {5000, Memory, 0.5, NoLimit}},
		"a peak of the processor": {{1000, Processor, 1, NoLimit}, {2000, Processor, 1, NoLimit}, {2900, Processor, 0.5, NoLimit}, {3900, Processor, 1, NoLimit}},
		"a busy processor":        {{1000, Processor, 1, NoLimit}, {2000, Processor, 1, NoLimit}, {3000, Processor, 1, Processor}},
		"a full link":             {{1000, Link, 0.9, NoLimit}, {3000, Link, 0.9, Link}},
		"unknown limits":          {{1000, NoLimit, 5, NoLimit}, {9000, NoLimit, 5, NoLimit}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			w := &Watch{}
			for i, s := range steps {
				if got, _ := w.Update(s.at, Usage{s.limit: s.use}); got != s.want {
					t.Fatalf("step %d: near %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

// TestWatchChangesRarely guards against an entry that changes with each sample, which costs
// messages to the whole fleet.
func TestWatchChangesRarely(t *testing.T) {
	w, changes, last := &Watch{}, 0, clock.Millis(0)
	for now := clock.Millis(1000); now < 61000; now += 50 {
		use := 0.9
		if now/50%2 == 0 {
			use = 0.1
		}
		if _, changed := w.Update(now, Usage{Descriptors: use, Memory: 1 - use}); changed {
			if changes++; now-last < minHold {
				t.Fatalf("two changes within %d ms", now-last)
			}
			last = now
		}
	}
	if changes != 1 {
		t.Errorf("%d changes, want one", changes)
	}
}

// TestSharedAddresses checks that only an address with more look-ups than a single caller
// makes counts as shared, and for a bounded time.
func TestSharedAddresses(t *testing.T) {
	s := &SharedAddresses{}
	for now := clock.Millis(0); now < 60*clock.Second; now += 500 {
		if now%2000 == 0 && s.Record("single", now) {
			t.Fatal("a caller that asks every two seconds counts as shared")
		}
		s.Record("gateway", now)
		shared := s.Record("gateway", now)
		if now > countWindow && !shared {
			t.Fatal("an address with four look-ups a second does not count as shared")
		}
	}
	if s.Record("gateway", 200*clock.Second) {
		t.Error("the address is shared for ever")
	}
}

// TestSharedAddressesAreBounded guards against memory that grows with forged addresses.
func TestSharedAddressesAreBounded(t *testing.T) {
	s := &SharedAddresses{}
	for n := range 10 * maxCounted {
		s.Record(fmt.Sprint(n), 1)
	}
	if len(s.counts) > maxCounted {
		t.Errorf("%d addresses are counted", len(s.counts))
	}
}
