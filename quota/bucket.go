// Package quota enforces a workspace's request rate across the fleet. Each instance has a
// part of every limit, and lends it to the instance that owns the workspace's token
// bucket. A bucket fills at the rate of the parts that were lent to it, so that several
// owners, for example around a restart, never fill faster than the limit together. The
// other instances prefetch tokens from the owner according to their demand and return what
// they do not need. Tokens in lost messages or on crashed instances are not replaced.
package quota

import (
	"math"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Limit is a rate in requests per second and a burst in requests.
	Limit struct {
		RatePerS float64
		Burst    float64
	}

	// Loan is a part of a limit that a bucket uses.
	Loan struct {
		// Fraction is the fraction of the limit.
		Fraction float64
		// Until is when the loan ends, by the bucket's clock.
		Until clock.Millis
		// Sequence increases with each message of the lender about the bucket.
		Sequence int64
	}

	// Bucket is the token bucket of one workspace at one instance. It is not safe for
	// concurrent use.
	Bucket struct {
		limit     Limit
		tokens    float64
		updatedAt clock.Millis
		// loans holds the latest loan of each lender. Those that have ended are kept
		// for a PartTerm, so that a message of before is not taken for a new one.
		loans map[uint64]Loan
	}
)

const (
	// PartTerm is how long a part is lent for, unless the loan is renewed. It covers a
	// few lost messages.
	PartTerm = 1500 * clock.Millis(1)

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

// NewBucket returns an empty bucket without loans.
func NewBucket(now clock.Millis, limit Limit) *Bucket {
	return &Bucket{limit: limit, updatedAt: now, loans: make(map[uint64]Loan)}
}

// SetLimit changes the rate and burst.
func (b *Bucket) SetLimit(now clock.Millis, limit Limit) {
	b.refill(now)
	b.limit = limit
	b.trim(now)
}

// Lend adds a lender's part, or replaces an earlier loan of it. Messages that were
// overtaken by a later one of the same lender have no effect.
func (b *Bucket) Lend(now clock.Millis, lender uint64, loan Loan) {
	b.refill(now)
	if loan.Sequence <= b.loans[lender].Sequence {
		return
	}
	b.loans[lender] = loan
	b.trim(now)
}

// TakeBack ends a lender's loan, and removes and returns the tokens that belong to it.
func (b *Bucket) TakeBack(now clock.Millis, lender uint64, sequence int64) float64 {
	b.refill(now)
	loan := b.loans[lender]
	if sequence <= loan.Sequence {
		return 0
	}
	tokens := 0.0
	if loan.Until > now {
		tokens = b.tokens * loan.Fraction / b.fraction(now)
	}
	b.tokens -= tokens
	b.loans[lender] = Loan{Until: now, Sequence: sequence}
	b.trim(now)
	return tokens
}

// Renew extends a lender's loan. It reports false if the loan has ended.
func (b *Bucket) Renew(now clock.Millis, lender uint64, fraction float64, until clock.Millis) bool {
	b.refill(now)
	loan := b.loans[lender]
	if loan.Until <= now {
		return false
	}
	if until > loan.Until {
		loan.Fraction, loan.Until = fraction, until
	}
	b.loans[lender] = loan
	b.trim(now)
	return true
}

// GiveBack ends a lender's loan without being asked, and removes and returns the tokens that
// belong to it, with the loan's sequence number. It reports false if there is no loan.
func (b *Bucket) GiveBack(now clock.Millis, lender uint64) (tokens float64, sequence int64, ok bool) {
	b.refill(now)
	loan := b.loans[lender]
	if loan.Until <= now {
		return 0, 0, false
	}
	tokens = b.tokens * loan.Fraction / b.fraction(now)
	b.tokens -= tokens
	loan.Until = now
	b.loans[lender] = loan
	b.trim(now)
	return tokens, loan.Sequence, true
}

// Forget ends the loan of a lender's process that has ended. Messages of it that are still on
// their way have no effect.
func (b *Bucket) Forget(now clock.Millis, lender uint64) {
	b.TakeBack(now, lender, math.MaxInt64)
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
	b.trim(now)
}

// State returns the tokens in the bucket, and the fraction of the limit that is lent to it.
func (b *Bucket) State(now clock.Millis) (tokens, fraction float64) {
	b.refill(now)
	return b.tokens, b.fraction(now)
}

// TimeToNextToken returns how long it takes until a whole token is available, or
// zero if one is. Other results are raised to minTimeToNextToken and limited to
// maxTimeToNextToken.
func (b *Bucket) TimeToNextToken(now clock.Millis) clock.Millis {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	rate := b.limit.RatePerS * b.fraction(now)
	if rate <= 0 {
		return maxTimeToNextToken
	}
	wait := clock.Millis((1 - b.tokens) / rate * float64(clock.Second))
	return min(max(wait, minTimeToNextToken), maxTimeToNextToken)
}

// refill adds the tokens that each loan has earned since the last call, up to its end.
func (b *Bucket) refill(now clock.Millis) {
	if now <= b.updatedAt {
		return
	}
	for lender, loan := range b.loans {
		if end := min(now, loan.Until); end > b.updatedAt {
			b.tokens += b.limit.RatePerS * loan.Fraction * (end - b.updatedAt).Seconds()
		}
		if now-loan.Until > PartTerm {
			delete(b.loans, lender)
		}
	}
	b.updatedAt = now
	b.trim(now)
}

// trim limits the tokens to the burst of the parts that are lent. At least half of the
// parts make one token at least: a workspace with a smaller burst could never send a
// request.
func (b *Bucket) trim(now clock.Millis) {
	fraction := b.fraction(now)
	capacity := b.limit.Burst * fraction
	if fraction > wholeTokenFraction {
		capacity = max(1, capacity)
	}
	b.tokens = min(b.tokens, capacity)
}

// fraction returns the fraction of the limit that is lent to the bucket.
func (b *Bucket) fraction(now clock.Millis) float64 {
	sum := 0.0
	for _, loan := range b.loans {
		if loan.Until > now {
			sum += loan.Fraction
		}
	}
	return sum
}
