package quota

import "github.com/bulrushferry/bulrushferry/clock"

// TokenCache is the tokens of one workspace that an instance has fetched, and its
// demand. It is not safe for concurrent use.
type TokenCache struct {
	tokens     float64
	demand     float64
	updatedAt  clock.Millis
	emptyUntil clock.Millis
}

const (
	// demandWindow is the time constant of the demand's average.
	demandWindow = 1500 * clock.Millis(1)
	// reserve is how long the fetched tokens are to last.
	reserve = 900 * clock.Millis(1)
	// refillBelow is the part of the reserve at which more is fetched.
	refillBelow = 0.5
	// keepFor is the time worth of tokens above which some are given back.
	keepFor = 2 * clock.Second
	// smallest is the least number of tokens worth a message.
	smallest = 0.5
)

// ObserveRequest counts one arriving request.
func (p *TokenCache) ObserveRequest(now clock.Millis) {
	p.decay(now)
	p.demand += 1 / demandWindow.Seconds()
}

// Spend takes one token and reports whether there was one.
func (p *TokenCache) Spend() bool {
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// IsExhausted reports whether the keeper has said that nothing is to be had yet.
func (p *TokenCache) IsExhausted(now clock.Millis) bool {
	return p.tokens < 1 && now < p.emptyUntil
}

// TokensToFetch returns how many tokens are to be fetched, with some requests waiting.
func (p *TokenCache) TokensToFetch(now clock.Millis, waiting int) float64 {
	p.decay(now)
	if now < p.emptyUntil && waiting == 0 {
		return 0
	}
	target := p.demand*reserve.Seconds() + float64(waiting)
	if waiting == 0 && p.tokens >= target*refillBelow {
		return 0
	}
	want := target - p.tokens
	if waiting > 0 {
		return max(want, float64(waiting))
	}
	if want < smallest {
		return 0
	}
	return max(want, 1)
}

// TakeSurplus takes out the tokens that the demand does not need.
func (p *TokenCache) TakeSurplus(now clock.Millis) float64 {
	p.decay(now)
	over := p.tokens - p.demand*keepFor.Seconds()
	if over < smallest {
		return 0
	}
	p.tokens -= over
	return over
}

// Add takes in what the keeper gave.
func (p *TokenCache) Add(now clock.Millis, tokens float64, emptyFor clock.Millis) {
	p.tokens += max(tokens, 0)
	p.emptyUntil = 0
	if emptyFor > 0 {
		p.emptyUntil = now + emptyFor
	}
}

// Clear drops all tokens.
func (p *TokenCache) Clear() {
	p.tokens = 0
}

func (p *TokenCache) decay(now clock.Millis) {
	if now <= p.updatedAt {
		return
	}
	p.demand *= clock.Fade(now-p.updatedAt, demandWindow)
	p.updatedAt = now
}
