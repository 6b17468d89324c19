package quota

import "github.com/bulrushferry/bulrushferry/clock"

// TokenCache holds the tokens of one workspace that an instance has prefetched,
// and measures the demand. It is not safe for concurrent use.
type TokenCache struct {
	tokens         float64
	demandPerS     float64
	updatedAt      clock.Millis
	exhaustedUntil clock.Millis
}

const (
	// demandTimeConstant is the time constant of the demand's moving average.
	demandTimeConstant = 1500 * clock.Millis(1)
	// reserveTime is how long the prefetched tokens should last.
	reserveTime = 900 * clock.Millis(1)
	// refillFraction is the fraction of the reserve below which more tokens are
	// fetched.
	refillFraction = 0.5
	// surplusTime is the time for which an instance keeps tokens; what its
	// demand does not use up within it is returned.
	surplusTime = 2 * clock.Second
	// minTransfer is the smallest number of tokens worth a message.
	minTransfer = 0.5
)

// ObserveRequest counts an arriving request.
func (c *TokenCache) ObserveRequest(now clock.Millis) {
	c.decayDemand(now)
	c.demandPerS += 1 / demandTimeConstant.Seconds()
}

// Spend removes one token and reports whether one was available.
func (c *TokenCache) Spend() bool {
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// Tokens returns how many tokens are held.
func (c *TokenCache) Tokens() float64 {
	return c.tokens
}

// Refund puts back the token of a request that was not run.
func (c *TokenCache) Refund() {
	c.tokens++
}

// IsExhausted reports whether there is no token and the owner has none yet
// either.
func (c *TokenCache) IsExhausted(now clock.Millis) bool {
	return c.tokens < 1 && now < c.exhaustedUntil
}

// ExhaustedFor returns how long the owner has no token yet, as it said last.
func (c *TokenCache) ExhaustedFor(now clock.Millis) clock.Millis {
	return max(c.exhaustedUntil-now, 0)
}

// TokensToFetch returns how many tokens to request from the owner, given the
// number of requests waiting for one.
func (c *TokenCache) TokensToFetch(now clock.Millis, waiting int) float64 {
	c.decayDemand(now)
	if now < c.exhaustedUntil && waiting == 0 {
		return 0
	}
	target := c.reserve() + float64(waiting)
	if waiting == 0 && c.tokens >= target*refillFraction {
		return 0
	}
	want := target - c.tokens
	if waiting > 0 {
		return max(want, float64(waiting))
	}
	if want < minTransfer {
		return 0
	}
	return max(want, 1)
}

// reserve returns how many tokens to hold for the requests to come. A part of a token
// admits nothing and would only be returned.
func (c *TokenCache) reserve() float64 {
	tokens := c.demandPerS * reserveTime.Seconds()
	if tokens < 1 {
		return 0
	}
	return tokens
}

// Surplus returns the tokens that the demand does not use up within surplusTime.
func (c *TokenCache) Surplus(now clock.Millis) float64 {
	c.decayDemand(now)
	surplus := c.tokens - c.demandPerS*surplusTime.Seconds()
	if surplus < minTransfer {
		return 0
	}
	return surplus
}

// TakeSurplus removes and returns the tokens that the demand does not use up
// within surplusTime.
func (c *TokenCache) TakeSurplus(now clock.Millis) float64 {
	surplus := c.Surplus(now)
	c.tokens -= surplus
	return surplus
}

// Add adds the tokens that the owner granted. If the owner had none left,
// exhaustedFor is the time until it has more.
func (c *TokenCache) Add(now clock.Millis, tokens float64, exhaustedFor clock.Millis) {
	c.tokens += max(tokens, 0)
	c.exhaustedUntil = 0
	if exhaustedFor > 0 {
		c.exhaustedUntil = now + exhaustedFor
	}
}

// Clear discards all tokens.
func (c *TokenCache) Clear() {
	c.tokens = 0
}

func (c *TokenCache) decayDemand(now clock.Millis) {
	if now <= c.updatedAt {
		return
	}
	c.demandPerS *= clock.Decay(now-c.updatedAt, demandTimeConstant)
	c.updatedAt = now
}
