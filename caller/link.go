package caller

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/joomcode/errorx"
)

type (
	// LinkLimiterConfig configures Links.
	LinkLimiterConfig struct {
		Clock clock.Clock
		// Region is this instance's own region.
		Region string
		// BitsPerS returns this instance's part of what the links to another
		// region carry, in bits a second.
		BitsPerS func(to string) float64
	}

	// LinkLimiter keep what this instance sends to other regions within its part of
	// the links between them. They are safe for concurrent use.
	LinkLimiter struct {
		config LinkLimiterConfig

		mu      sync.Mutex
		buckets map[string]*linkBucket
	}

	// linkBucket is a token bucket that may go below zero: the next one to send
	// waits until it is filled again.
	linkBucket struct {
		tokens    float64
		updatedAt clock.Millis
	}
)

const (
	bitsPerByte = 8
	// reservedShare is the part of a link left to control messages and headers.
	reservedShare = 0.1
	// linkBurstSeconds is how much of a second's traffic may be sent at once.
	linkBurstSeconds = 0.1
)

var errLinkFull = errorSpace.NewType("link_full", errorx.Temporary())

// NewLinkLimiter returns links that have not been used yet.
func NewLinkLimiter(config LinkLimiterConfig) *LinkLimiter {
	return &LinkLimiter{config: config, buckets: make(map[string]*linkBucket)}
}

// HasCapacity reports whether something may be sent to a region without waiting.
func (l *LinkLimiter) HasCapacity(to string) bool {
	if to == l.config.Region || to == "" {
		return true
	}
	rate := l.rate(to)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refill(to, rate).tokens > 0
}

// Wait takes the room for a message to a region, and waits for it where
// necessary. It fails when the context ends first; then nothing may be sent.
func (l *LinkLimiter) Wait(ctx context.Context, to string, bytes int) error {
	if to == l.config.Region || to == "" {
		return nil
	}
	wait := l.reserve(to, bytes)
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

// reserve books a message and returns how long to wait before it may be sent.
func (l *LinkLimiter) reserve(to string, bytes int) time.Duration {
	rate := l.rate(to)
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.refill(to, rate)
	wait := time.Duration(0)
	if known.tokens < 0 {
		wait = time.Duration(-known.tokens / max(rate, 1) * float64(time.Second))
	}
	known.tokens -= float64(bytes * bitsPerByte)
	return wait
}

func (l *LinkLimiter) cancelReservation(to string, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets[to].tokens += float64(bytes * bitsPerByte)
}

func (l *LinkLimiter) rate(to string) float64 {
	return l.config.BitsPerS(to) * (1 - reservedShare)
}

func (l *LinkLimiter) refill(to string, rate float64) *linkBucket {
	now := l.config.Clock.Now()
	known, ok := l.buckets[to]
	if !ok {
		known = &linkBucket{tokens: rate * linkBurstSeconds, updatedAt: now}
		l.buckets[to] = known
	}
	known.tokens = min(rate*linkBurstSeconds, known.tokens+rate*(now-known.updatedAt).Seconds())
	known.updatedAt = now
	return known
}
