package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"pgregory.net/rapid"
)

// wholeBucket returns an empty bucket that all of a limit is lent to for good.
func wholeBucket(limit Limit) *Bucket {
	bucket := NewBucket(0, limit)
	bucket.Lend(0, 1, Loan{Fraction: 1, Until: clock.Millis(1) << 40, Sequence: 1})
	return bucket
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

// TestLoans checks that a bucket fills at the rate of the parts that are lent to it, up to
// the end of each loan, holds no more than their part of the burst, and gives back what
// belongs to a part that is taken back.
func TestLoans(t *testing.T) {
	limit := Limit{RatePerS: 100, Burst: 100}
	lent := func(lenders ...uint64) *Bucket {
		b := NewBucket(0, limit)
		for _, lender := range lenders {
			b.Lend(0, lender, Loan{Fraction: 0.25, Until: 400, Sequence: 5})
		}
		return b
	}
	cases := map[string]struct {
		do   func(b *Bucket) float64
		want float64
	}{
		"two parts for 400 ms":      {func(b *Bucket) float64 { return b.Take(400-1, 99) }, 19.95},
		"all end":                   {func(b *Bucket) float64 { return b.Take(1000, 99) }, 0},
		"one part is renewed":       {func(b *Bucket) float64 { b.Lend(0, 1, Loan{0.25, 1000, 6}); return b.Take(900, 99) }, 25},
		"burst of two parts":        {func(b *Bucket) float64 { b.Return(0, 99); return b.Take(0, 99) }, 50},
		"a part and its tokens":     {func(b *Bucket) float64 { return b.TakeBack(200, 1, 6) }, 5},
		"filled by the other one":   {func(b *Bucket) float64 { b.TakeBack(200, 1, 6); return b.Take(300, 99) }, 7.5},
		"taken back twice":          {func(b *Bucket) float64 { b.TakeBack(200, 1, 6); return b.TakeBack(200, 1, 7) }, 0},
		"overtaken loan":            {func(b *Bucket) float64 { b.TakeBack(0, 1, 7); b.Lend(0, 1, Loan{0.25, 400, 6}); return b.Take(200, 99) }, 5},
		"overtaken word to end":     {func(b *Bucket) float64 { b.Lend(0, 1, Loan{0.25, 400, 7}); return b.TakeBack(200, 1, 6) }, 0},
		"unknown lender takes back": {func(b *Bucket) float64 { return b.TakeBack(200, 9, 6) }, 0},
		"half a limit and no burst": {func(b *Bucket) float64 { b.SetLimit(0, Limit{RatePerS: 100}); return b.Take(200, 99) }, 0},
		"whole limit and no burst": {func(b *Bucket) float64 {
			b.SetLimit(0, Limit{RatePerS: 100})
			b.Lend(0, 3, Loan{0.5, 400, 1})
			return b.Take(200, 99)
		}, 1},
		"time passes for a new loan": {func(b *Bucket) float64 {
			b.TakeBack(0, 1, 6)
			b.Lend(300, 1, Loan{0.25, 900, 7})
			return b.TakeBack(399, 1, 8)
		}, 6.25},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.do(lent(1, 2)); math.Abs(got-c.want) > 0.3 {
				t.Errorf("got %.2f tokens, want %.2f", got, c.want)
			}
		})
	}
}

func ExampleLimit_WithScale() {
	fmt.Println(Limit{RatePerS: 10, Burst: 4}.WithScale(0.5))
	// Output: {5 2}
}
