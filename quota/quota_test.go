package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"pgregory.net/rapid"
)

// wholeBucket returns an empty bucket that all of a limit is leased to for good.
func wholeBucket(limit Limit) *Bucket {
	return NewBucket(0, limit, 1)
}

// TestFleetBound has instances spend their tokens as fast as requests arrive,
// with messages lost in both directions. The fleet must never admit more than
// the rate and the burst allow.
func TestFleetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		limit := Limit{RatePerS: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 200).Draw(t, "burst"))}
		caches := make([]TokenCache, rapid.IntRange(1, 9).Draw(t, "instances"))
		load := float64(rapid.IntRange(1, 10).Draw(t, "load"))
		lost := rapid.IntRange(0, 3).Draw(t, "lost")
		bucket := wholeBucket(limit)
		admitted, due := 0, 0.0
		for now := clock.Millis(0); now < 6*clock.Second; now += 10 {
			for due += limit.RatePerS * load / 100; due >= 1; due-- {
				cache := &caches[random.IntN(len(caches))]
				cache.ObserveRequest(now)
				spent := cache.Spend()
				if !spent && !cache.IsExhausted(now) {
					exchange(random, now, bucket, cache, 1, lost)
					spent = cache.Spend()
				}
				if spent {
					admitted++
				}
			}
			if now%400 == 0 {
				for i := range caches {
					exchange(random, now, bucket, &caches[i], 0, lost)
				}
			}
			// Integers, since 75 per second for 1.64 s are less than 123 in
			// floating point.
			millis := int(limit.RatePerS)*int(now) + int(max(limit.Burst, 1))*int(clock.Second)
			if admitted*int(clock.Second) > millis {
				t.Fatalf("%d requests admitted in %d ms, limit %d/1000", admitted, now, millis)
			}
		}
	})
}

// exchange fetches and returns tokens; the request and the answer may each be
// lost.
func exchange(random *rand.Rand, now clock.Millis, bucket *Bucket, cache *TokenCache, waiting, lost int) {
	want := cache.TokensToFetch(now, waiting)
	back := 0.0
	if waiting == 0 {
		back = cache.TakeSurplus(now)
	}
	if want == 0 && back == 0 {
		return
	}
	if random.IntN(10) < lost {
		return
	}
	bucket.Return(now, back)
	given := bucket.Take(now, want)
	if random.IntN(10) < lost {
		return
	}
	cache.Add(now, given, bucket.TimeToNextToken(now))
}

// TestRequestsWithinRateAreAdmitted checks that a workspace below its rate has
// at most one percent of its requests refused, however they are spread over the
// instances.
func TestRequestsWithinRateAreAdmitted(t *testing.T) {
	cases := map[string]struct {
		instances int
		rate      float64
	}{
		"one instance":               {1, 100},
		"seven instances":            {7, 100},
		"many with low demand":       {37, 30},
		"many with almost no demand": {37, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bucket := wholeBucket(Limit{RatePerS: c.rate, Burst: c.rate})
			caches := make([]TokenCache, c.instances)
			refused, asked, due := 0, 0, 0.0
			for now := clock.Millis(0); now < 20*clock.Second; now += 10 {
				for due += c.rate / 1.6 / 100; due >= 1; due-- {
					cache := &caches[asked%len(caches)]
					asked++
					cache.ObserveRequest(now)
					if cache.Spend() {
						continue
					}
					cache.Add(now, bucket.Take(now, cache.TokensToFetch(now, 1)), bucket.TimeToNextToken(now))
					if !cache.Spend() {
						refused++
					}
				}
				if now%400 == 0 {
					for i := range caches {
						bucket.Return(now, caches[i].TakeSurplus(now))
						if want := caches[i].TokensToFetch(now, 0); want > 0 {
							caches[i].Add(now, bucket.Take(now, want), bucket.TimeToNextToken(now))
						}
					}
				}
			}
			if refused > asked/100 {
				t.Errorf("%d of %d requests refused", refused, asked)
			}
		})
	}
}

// TestBucketShares checks that a bucket fills at the rate of the shares that are leased to it,
// also for the time before its first use, holds no more than their part of the burst, and gives
// up what belongs to a share that passes on.
func TestBucketShares(t *testing.T) {
	limit := Limit{RatePerS: 100, Burst: 100}
	cases := map[string]struct {
		do   func(b *Bucket) float64
		want float64
	}{
		"two shares for 400 ms":   {func(b *Bucket) float64 { return b.Take(400, 99) }, 20},
		"one share after 200 ms":  {func(b *Bucket) float64 { b.SetFraction(200, 0.25); return b.Take(600, 99) }, 20},
		"none after 200 ms":       {func(b *Bucket) float64 { b.SetFraction(200, 0); return b.Take(600, 99) }, 0},
		"burst of two shares":     {func(b *Bucket) float64 { b.Return(0, 99); return b.Take(0, 99) }, 50},
		"a share and its tokens":  {func(b *Bucket) float64 { return b.TakeShare(200, 0.25) }, 5},
		"filled by the other one": {func(b *Bucket) float64 { b.TakeShare(200, 0.25); return b.Take(300, 99) }, 7.5},
		"more than there is":      {func(b *Bucket) float64 { return b.TakeShare(200, 0.75) }, 10},
		"a share that is not there": {func(b *Bucket) float64 {
			b.SetFraction(200, 0)
			return b.TakeShare(300, 0.25)
		}, 0},
		"half a limit and no burst": {func(b *Bucket) float64 { b.SetLimit(0, Limit{RatePerS: 100}); return b.Take(200, 99) }, 0},
		"whole limit and no burst": {func(b *Bucket) float64 {
			b.SetLimit(0, Limit{RatePerS: 100})
			b.SetFraction(0, 1)
			return b.Take(200, 99)
		}, 1},
		"time does not run backward": {func(b *Bucket) float64 { b.Take(400, 0); return b.Take(100, 99) }, 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.do(NewBucket(0, limit, 0.5)); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("got %.2f tokens, want %.2f", got, c.want)
			}
		})
	}
}

func ExampleLimit_WithScale() {
	fmt.Println(Limit{RatePerS: 10, Burst: 4}.WithScale(0.5))
	// Output: {5 2}
}
