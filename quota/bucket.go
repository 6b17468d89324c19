// Package quota enforces a workspace's request rate across the fleet. Each instance has a
// share of every limit and leases it to the instance that owns the workspace's token
// bucket. A bucket fills at the rate of the shares that are leased to it, so that several
// owners, for example around a restart, never fill faster than the limit together. The
// other instances prefetch tokens from the owner according to their demand and return what
// they do not need. Tokens in lost messages or on crashed instances are not replaced.
package quota

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Limit is a rate in requests per second and a burst in requests.
	Limit struct {
		RatePerS float64
		Burst    float64
	}

	// Bucket is the token bucket of one workspace at one instance. It is not safe for
	// concurrent use.
	Bucket struct {
		limit Limit
		// fraction is the fraction of the limit that is leased to the bucket.
		fraction  float64
		tokens    float64
		updatedAt clock.Millis
	}
)

const (
	// maxTimeToNextToken and minTimeToNextToken bound the time for which other
	// instances are told that no token is available.
	maxTimeToNextToken = 300 * clock.Millis(1)
	minTimeToNextToken = 15 * clock.Millis(1)
	// wholeTokenFraction is the fraction of a limit above which a bucket holds a whole
	// token whatever the burst. Only one bucket can have that much.
	wholeTokenFraction = 0.5
)

// WithScale returns the limit multiplied by a factor.
func (l Limit) WithScale(factor float64) Limit {
	return Limit{RatePerS: l.RatePerS * factor, Burst: l.Burst * factor}
}

// NewBucket returns a bucket that was empty at the given time, and that a fraction of the
// limit has been leased to since.
func NewBucket(since clock.Millis, limit Limit, fraction float64) *Bucket {
	return &Bucket{limit: limit, fraction: fraction, updatedAt: since}
}

// SetLimit changes the rate and burst.
func (b *Bucket) SetLimit(now clock.Millis, limit Limit) {
	b.refill(now)
	b.limit = limit
	b.trim()
}

// SetFraction changes the fraction of the limit that is leased to the bucket.
func (b *Bucket) SetFraction(now clock.Millis, fraction float64) {
	b.refill(now)
	b.fraction = fraction
	b.trim()
}

// TakeShare removes and returns the tokens that belong to a fraction of the limit, which
// ceases to be leased to the bucket.
func (b *Bucket) TakeShare(now clock.Millis, fraction float64) float64 {
	b.refill(now)
	if b.fraction <= 0 {
		return 0
	}
	fraction = min(fraction, b.fraction)
	tokens := b.tokens * fraction / b.fraction
	b.tokens -= tokens
	b.fraction -= fraction
	b.trim()
	return tokens
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
	b.tokens += max(tokens, 0)
	b.trim()
}

// State returns the tokens in the bucket, and the fraction of the limit that is leased to it.
func (b *Bucket) State(now clock.Millis) (tokens, fraction float64) {
	b.refill(now)
	return b.tokens, b.fraction
}

// IsFull reports whether the bucket holds all that it can.
func (b *Bucket) IsFull(now clock.Millis) bool {
	b.refill(now)
	return b.tokens >= b.capacity()
}

// TimeToNextToken returns how long it takes until a whole token is available, or
// zero if one is. Other results are raised to minTimeToNextToken and limited to
// maxTimeToNextToken.
func (b *Bucket) TimeToNextToken(now clock.Millis) clock.Millis {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	rate := b.limit.RatePerS * b.fraction
	if rate <= 0 {
		return maxTimeToNextToken
	}
	wait := clock.Millis((1 - b.tokens) / rate * float64(clock.Second))
	return min(max(wait, minTimeToNextToken), maxTimeToNextToken)
}

// refill adds the tokens that have been earned since the last call.
func (b *Bucket) refill(now clock.Millis) {
	if now <= b.updatedAt {
		return
	}
	b.tokens += b.limit.RatePerS * b.fraction * (now - b.updatedAt).Seconds()
	b.updatedAt = now
	b.trim()
}

// trim limits the tokens to what the bucket can hold.
func (b *Bucket) trim() {
	b.tokens = min(b.tokens, b.capacity())
}

// capacity returns the burst of the shares that are leased to the bucket. At least half of
// the shares make one token at least: a workspace with a smaller burst could never send a
// request.
func (b *Bucket) capacity() float64 {
	capacity := b.limit.Burst * b.fraction
	if b.fraction > wholeTokenFraction {
		capacity = max(1, capacity)
	}
	return capacity
}
