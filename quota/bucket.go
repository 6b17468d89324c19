// Package quota enforces a workspace's request rate across the fleet. One
// instance, the owner, holds the workspace's token bucket. The other instances
// prefetch tokens from it according to their demand and return what they do not
// need. Tokens in lost messages or on crashed instances are not replaced, so
// the fleet never exceeds the limit.
package quota

import (
	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Limit is a rate in requests per second and a burst in requests.
	Limit struct {
		RatePerS float64
		Burst    float64
	}

	// Bucket is the owner's token bucket of one workspace. It is not safe for
	// concurrent use.
	Bucket struct {
		limit     Limit
		tokens    float64
		updatedAt clock.Millis
	}
)

const (
	// maxTimeToNextToken and minTimeToNextToken bound the time for which other
	// instances are told that no token is available.
	maxTimeToNextToken = 300 * clock.Millis(1)
	minTimeToNextToken = 15 * clock.Millis(1)
	// initialFillTime determines how many tokens a new bucket holds: as many as
	// arrive in this time. It is short enough that buckets of successive owners
	// stay below the workspace's rate; the limit of a bucket leaves a margin for
	// it.
	initialFillTime = 250 * clock.Millis(1)
)

// WithScale returns the limit multiplied by a factor.
func (l Limit) WithScale(factor float64) Limit {
	return Limit{RatePerS: l.RatePerS * factor, Burst: l.Burst * factor}
}

// NewBucket returns a bucket with only a few tokens, since another owner may just
// have handed out all that were available.
func NewBucket(now clock.Millis, limit Limit) *Bucket {
	b := &Bucket{limit: limit, updatedAt: now}
	b.tokens = min(limit.RatePerS*initialFillTime.Seconds(), b.capacity())
	return b
}

// SetLimit changes the rate and burst.
func (b *Bucket) SetLimit(now clock.Millis, limit Limit) {
	b.refill(now)
	b.limit = limit
	b.tokens = min(b.tokens, b.capacity())
}

// Take removes and returns up to the requested number of tokens. It returns
// none if that would be less than one, since a request costs a whole token.
func (b *Bucket) Take(now clock.Millis, want float64) float64 {
	b.refill(now)
	given := min(want, b.tokens)
	if given < 1 {
		return 0
	}
	b.tokens -= given
	return given
}

// Return puts unused tokens back into the bucket.
func (b *Bucket) Return(now clock.Millis, tokens float64) {
	b.refill(now)
	b.tokens = min(b.capacity(), b.tokens+max(tokens, 0))
}

// TimeToNextToken returns how long it takes until a whole token is available, or
// zero if one is. Other results are raised to minTimeToNextToken and limited to
// maxTimeToNextToken.
func (b *Bucket) TimeToNextToken(now clock.Millis) clock.Millis {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	if b.limit.RatePerS <= 0 {
		return maxTimeToNextToken
	}
	wait := clock.Millis((1 - b.tokens) / b.limit.RatePerS * float64(clock.Second))
	return min(max(wait, minTimeToNextToken), maxTimeToNextToken)
}

func (b *Bucket) refill(now clock.Millis) {
	if now <= b.updatedAt {
		return
	}
	b.tokens = min(b.capacity(), b.tokens+b.limit.RatePerS*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// capacity returns the burst, but at least one token: a workspace with a
// smaller burst could never send a request.
func (b *Bucket) capacity() float64 {
	return max(1, b.limit.Burst)
}
