package placement

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

func TestCrashes(t *testing.T) {
	const crashing, other Fingerprint = 1, 2
	cases := map[string]struct {
		steps func(c *CrashTracker)
		want  bool
	}{
		"two servers crashed": {func(c *CrashTracker) {
			for _, server := range []string{"a", "b"} {
				c.RecordLostResponse(0, crashing, server)
				c.RecordDown(100, server)
			}
		}, true},
		"one server crashed": {func(c *CrashTracker) {
			c.RecordLostResponse(0, crashing, "a")
			c.RecordDown(100, "a")
		}, false},
		"lost responses of servers that respond again": {func(c *CrashTracker) {
			for _, server := range []string{"a", "b", "c"} {
				c.RecordLostResponse(0, crashing, server)
				c.RecordResponse(server)
				c.RecordDown(100, server)
			}
		}, false},
		"servers that go down much later": {func(c *CrashTracker) {
			for _, server := range []string{"a", "b", "c"} {
				c.RecordLostResponse(0, crashing, server)
				c.RecordDown(crashWindow+1, server)
			}
		}, false},
		"another request": {func(c *CrashTracker) {
			for _, server := range []string{"a", "b"} {
				c.RecordLostResponse(0, other, server)
				c.RecordDown(100, server)
			}
		}, false},
		"reported by a peer": {func(c *CrashTracker) { c.Quarantine(0, QuarantinedRequest{Fingerprint: crashing}) }, true},
		"quarantine expired": {func(c *CrashTracker) { c.Quarantine(-quarantineDuration, QuarantinedRequest{Fingerprint: crashing}) }, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := NewCrashTracker()
			test.steps(c)
			if got := c.IsQuarantined(clock.Second, crashing); got != test.want {
				t.Errorf("quarantined: %v, want %v", got, test.want)
			}
		})
	}
}
