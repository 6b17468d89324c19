package caller

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/joomcode/errorx"
)

type (
	// LinkLimiterConfig configures a LinkLimiter.
	LinkLimiterConfig struct {
		Clock clock.Clock
		// Region is the region of this instance.
		Region string
		// BitsPerS returns this instance's share of the bandwidth to another region,
		// in bits per second.
		BitsPerS func(to string) float64
	}

	// LinkLimiter limits what this instance sends to other regions to its share of the
	// bandwidth of the links between them. It is safe for concurrent use.
	LinkLimiter struct {
		config LinkLimiterConfig

		mu sync.Mutex
		// buckets is keyed by the destination region.
		buckets map[string]*linkBucket
	}

	// linkBucket is a token bucket with one token per bit. A message may make the
	// balance negative; the next sender then waits until it is back at zero.
	linkBucket struct {
		tokens    float64
		updatedAt clock.Millis
	}
)

const (
	bitsPerByte = 8
	// reservedShare is the fraction of a link's bandwidth that is kept free for control
	// messages and packet headers.
	reservedShare = 0.1
	// linkBurstSeconds is the size of a burst, as the time that it takes at the full rate.
	linkBurstSeconds = 0.1
)

var errLinkFull = errorSpace.NewType("link_full", errorx.Temporary())

// NewLinkLimiter returns a limiter whose buckets are full.
func NewLinkLimiter(config LinkLimiterConfig) *LinkLimiter {
	return &LinkLimiter{config: config, buckets: make(map[string]*linkBucket)}
}

// HasCapacity reports whether a message may be sent to a region without waiting.
func (l *LinkLimiter) HasCapacity(to string) bool {
	rate, limited := l.limit(to)
	if !limited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refill(to, rate).tokens > 0
}

// Wait takes the tokens for a message to a region and blocks until it may be sent.
// If the context ends first, Wait returns an error and the message must not be sent.
func (l *LinkLimiter) Wait(ctx context.Context, to string, bytes int) error {
	rate, limited := l.limit(to)
	if !limited {
		return nil
	}
	wait := l.reserve(to, rate, bytes)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		l.cancelReservation(to, bytes)
		return errLinkFull.New("the link to region %s is full", to)
	}
}

// reserve takes the tokens for a message and returns how long to wait before it may be
// sent.
func (l *LinkLimiter) reserve(to string, rate float64, bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket := l.refill(to, rate)
	wait := time.Duration(0)
	if bucket.tokens < 0 {
		wait = time.Duration(-bucket.tokens / max(rate, 1) * float64(time.Second))
	}
	bucket.tokens -= float64(bytes * bitsPerByte)
	return wait
}

// cancelReservation returns the tokens of a message that is not sent.
func (l *LinkLimiter) cancelReservation(to string, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets[to].tokens += float64(bytes * bitsPerByte)
}

// limit returns the rate limit to a region in bits per second, and whether there is one.
// Messages to this instance's own region, or to an unnamed one, are not limited, nor is
// a link without a bandwidth rule, whose rate is infinite.
func (l *LinkLimiter) limit(to string) (rate float64, limited bool) {
	if to == l.config.Region || to == "" {
		return 0, false
	}
	rate = l.config.BitsPerS(to) * (1 - reservedShare)
	return rate, !math.IsInf(rate, 1)
}

// refill returns the bucket of a region with the tokens earned since its last update.
// The caller must hold the lock.
func (l *LinkLimiter) refill(to string, rate float64) *linkBucket {
	now := l.config.Clock.Now()
	bucket, ok := l.buckets[to]
	if !ok {
		bucket = &linkBucket{tokens: rate * linkBurstSeconds, updatedAt: now}
		l.buckets[to] = bucket
	}
	bucket.tokens = min(rate*linkBurstSeconds, bucket.tokens+rate*(now-bucket.updatedAt).Seconds())
	bucket.updatedAt = now
	return bucket
}
