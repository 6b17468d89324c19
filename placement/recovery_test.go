package placement

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"pgregory.net/rapid"
)

// troubled applies a random sequence of requests with any outcomes to a balancer and
// returns the time at its end.
func troubled(t *rapid.T, b *Balancer, idempotent bool) clock.Millis {
	now := clock.Millis(10_000)
	var open []*Choice
	for range rapid.IntRange(1, 400).Draw(t, "steps") {
		now += clock.Millis(rapid.IntRange(0, 100).Draw(t, "pause"))
		if rapid.Bool().Draw(t, "ends") && len(open) > 0 {
			outcome := Outcome(rapid.IntRange(int(Answered), int(Withheld)).Draw(t, "outcome"))
			b.Done(now, open[0], Result{Outcome: outcome, Load: rapid.IntRange(0, 20).Draw(t, "load"), HasLoad: rapid.Bool().Draw(t, "reports")})
			open = open[1:]
			continue
		}
		q := onlyRegion(uint64(rapid.IntRange(1, 60).Draw(t, "object")), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "region"))
		q.Idempotent = idempotent
		q.TimeLeft = clock.Millis(rapid.IntRange(1, 5000).Draw(t, "left"))
		if choice, _ := b.Choose(now, q); choice != nil {
			open = append(open, choice)
		}
	}
	for _, choice := range open {
		b.Done(now, choice, Result{Outcome: TimedOut})
	}
	return now
}

// TestBeliefsEndInCalm checks that whatever a balancer has learned from requests in
// trouble, within three seconds of calm it refuses nothing beside free slots and uses every
// server again, also for a service to which only requests are sent that run once.
func TestBeliefsEndInCalm(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent requests": true, "requests that run once": false} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				const calm, end, took = 3 * clock.Second, 6 * clock.Second, 100 * clock.Millis(1)
				b := newTestBalancerOf(testServers(2))
				start := troubled(t, b, idempotent)
				used := values.NewSet[string]()
				running := make(map[clock.Millis]*Choice)
				for at := clock.Millis(0); at < end; at += 10 {
					now := start + at
					if choice := running[now]; choice != nil {
						b.Done(now, choice, Result{Outcome: Answered, HasLoad: true})
					}
					q := onlyRegion(uint64(at/20)%300+1, []string{"a", "b"}[at/10%2])
					q.Idempotent, q.TimeLeft = idempotent, 800
					choice, refusal := b.Choose(now, q)
					if refusal != nil && at >= calm {
						t.Fatalf("%d ms after the trouble a request was refused: %s %+v", at, refusal.Reason, refusal.Best)
					}
					if choice != nil {
						running[now+took] = choice
						if at >= calm {
							used = used.With(choice.Server.ID)
						}
					}
				}
				if used.Len() != len(testServers(2)) {
					t.Fatalf("only %v are used", used.Sorted())
				}
			})
		})
	}
}
