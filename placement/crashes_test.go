package placement

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

func TestCrashes(t *testing.T) {
	const poison, other Fingerprint = 1, 2
	cases := map[string]struct {
		steps func(c *CrashTracker)
		want  bool
	}{
		"two servers taken down": {func(c *CrashTracker) {
			for _, server := range []string{"a", "b"} {
				c.RecordLostAnswer(0, poison, server)
				c.RecordDown(100, server)
			}
		}, true},
		"one server taken down": {func(c *CrashTracker) {
			c.RecordLostAnswer(0, poison, "a")
			c.RecordDown(100, "a")
		}, false},
		"answers lost by servers that live": {func(c *CrashTracker) {
			for _, server := range []string{"a", "b", "c"} {
				c.RecordLostAnswer(0, poison, server)
				c.RecordAnswer(server)
				c.RecordDown(100, server)
			}
		}, false},
		"servers that go down much later": {func(c *CrashTracker) {
			for _, server := range []string{"a", "b", "c"} {
				c.RecordLostAnswer(0, poison, server)
				c.RecordDown(crashWindow+1, server)
			}
		}, false},
		"another request": {func(c *CrashTracker) {
			for _, server := range []string{"a", "b"} {
				c.RecordLostAnswer(0, other, server)
				c.RecordDown(100, server)
			}
		}, false},
		"a peer's word": {func(c *CrashTracker) { c.Quarantine(0, poison) }, true},
		"long ago":      {func(c *CrashTracker) { c.Quarantine(-quarantineFor, poison) }, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := NewCrashTracker()
			test.steps(c)
			if got := c.IsQuarantined(clock.Second, poison); got != test.want {
				t.Errorf("held: %v, want %v", got, test.want)
			}
		})
	}
}
