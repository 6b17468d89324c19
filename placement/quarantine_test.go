package placement

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// TestQuarantineEndsEverywhere has two instances tell each other of a quarantine all the
// time. It must end after its time at both, and not be kept alive by the other's word.
func TestQuarantineEndsEverywhere(t *testing.T) {
	const f = Fingerprint(7)
	first, second := NewCrashTracker(), NewCrashTracker()
	first.Quarantine(0, QuarantinedRequest{Fingerprint: f})
	tell := func(now clock.Millis, from, to *CrashTracker) {
		for _, q := range from.Quarantined(now) {
			to.Quarantine(now, q)
		}
	}
	for now := clock.Millis(0); now < 2*quarantineDuration; now += 500 {
		tell(now, first, second)
		tell(now+100, second, first)
		want := now < quarantineDuration
		if first.IsQuarantined(now, f) != want || (now > 0 && second.IsQuarantined(now, f) != want) {
			t.Fatalf("after %d ms quarantined at %v and %v, want %v", now, first.IsQuarantined(now, f), second.IsQuarantined(now, f), want)
		}
	}
}
