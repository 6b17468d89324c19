package tokens

import (
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
)

// TestEarlierRequestsGetTheTokens has a request wait for a token, and a later one arrive between
// the response of the owner and the first one's next try. It guards against the later one
// taking that token, for which the first one was refused.
func TestEarlierRequestsGetTheTokens(t *testing.T) {
	tries := map[string]func(l *Limiter, first *waiter) bool{
		"woken": func(l *Limiter, first *waiter) bool {
			admitted, _ := l.takeOrWaitAgain("w", first)
			return admitted
		},
		"at the end of its wait": func(l *Limiter, first *waiter) bool { return l.takeAtLast("w", first) },
	}
	for name, try := range tries {
		t.Run(name, func(t *testing.T) {
			manual := &clock.Manual{}
			manual.Set(clock.Second)
			limiter, view, network := newTestLimiters(manual)
			lease(manual.Now(), limiter, view, network)
			manual.Advance(250)
			_, first := limiter.takeOrWait("w")
			limiter.exchange("owner", []string{"w"})
			limiter.takeOrWait("w")
			if !try(limiter, first) {
				t.Error("the first request was refused")
			}
		})
	}
}

// TestNoTokenForEndedWait has a request end its wait before the owner responds. The token must
// be left for the next one.
func TestNoTokenForEndedWait(t *testing.T) {
	manual := &clock.Manual{}
	manual.Set(clock.Second)
	limiter, view, network := newTestLimiters(manual)
	lease(manual.Now(), limiter, view, network)
	manual.Advance(250)
	_, first := limiter.takeOrWait("w")
	ask := limiter.buildAsk("owner", []string{"w"})
	if limiter.takeAtLast("w", first) {
		t.Fatal("a request was admitted without a token")
	}
	limiter.applyGrant("owner", manual.Now(), ask, network.owner.HandleTokenAsk(ask))
	if admitted, _ := limiter.takeOrWait("w"); !admitted {
		t.Error("the token was not left for the next request")
	}
}
