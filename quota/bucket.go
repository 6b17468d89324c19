// Package quota holds a workspace to its rate over the whole fleet. One instance
// keeps the token bucket of a workspace; the others fetch tokens from it in
// advance, as their demand tells, and give back what they do not need. What a
// lost message or a dead instance holds is lost, so the bound is never passed.
package quota

import (
	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Limit is a rate in requests a second and a burst in requests.
	Limit struct {
		RatePerS float64
		Burst    float64
	}

	// Bucket is the keeper's record of one workspace. It is not safe for
	// concurrent use.
	Bucket struct {
		limit     Limit
		tokens    float64
		updatedAt clock.Millis
	}
)

const (
	// maxEmpty bounds how long askers are told to wait for the next token.
	maxEmpty = 300 * clock.Millis(1)
	minEmpty = 15 * clock.Millis(1)
	// startingTime is how much time's worth of tokens a new bucket holds. What
	// keepers in a row give out stays below the rate with its margin.
	startingTime = 250 * clock.Millis(1)
)

// Scale returns a part of a limit.
func (l Limit) Scale(part float64) Limit {
	return Limit{RatePerS: l.RatePerS * part, Burst: l.Burst * part}
}

// NewBucket returns a bucket with little in it: another keeper may just have
// given out what there was.
func NewBucket(now clock.Millis, limit Limit) *Bucket {
	b := &Bucket{limit: limit, updatedAt: now}
	b.tokens = min(limit.RatePerS*startingTime.Seconds(), b.capacity())
	return b
}

// SetLimit changes the rate and burst.
func (b *Bucket) SetLimit(now clock.Millis, limit Limit) {
	b.advance(now)
	b.limit = limit
	b.tokens = min(b.tokens, b.capacity())
}

// Take takes up to some tokens. Fractions are only given above one token, so
// that the last token is of use to whoever gets it.
func (b *Bucket) Take(now clock.Millis, want float64) float64 {
	b.advance(now)
	given := min(want, b.tokens)
	if given < 1 {
		return 0
	}
	b.tokens -= given
	return given
}

// Return takes tokens back.
func (b *Bucket) Return(now clock.Millis, tokens float64) {
	b.advance(now)
	b.tokens = min(b.capacity(), b.tokens+max(tokens, 0))
}

// TimeToNextToken returns how long it takes until a token is there.
func (b *Bucket) TimeToNextToken(now clock.Millis) clock.Millis {
	b.advance(now)
	if b.tokens >= 1 {
		return 0
	}
	if b.limit.RatePerS <= 0 {
		return maxEmpty
	}
	wait := clock.Millis((1 - b.tokens) / b.limit.RatePerS * float64(clock.Second))
	return min(max(wait, minEmpty), maxEmpty)
}

func (b *Bucket) advance(now clock.Millis) {
	if now <= b.updatedAt {
		return
	}
	b.tokens = min(b.capacity(), b.tokens+b.limit.RatePerS*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// capacity is at least one token, or a workspace with a small burst could
// never send anything.
func (b *Bucket) capacity() float64 {
	return max(1, b.limit.Burst)
}
