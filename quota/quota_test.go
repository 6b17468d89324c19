package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"pgregory.net/rapid"
)

// TestFleetBound has instances spend from their purses as fast as callers ask,
// with messages lost both ways: the fleet never admits more than the rate and
// the burst.
func TestFleetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		limit := Limit{RatePerS: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 200).Draw(t, "burst"))}
		purses := make([]TokenCache, rapid.IntRange(1, 9).Draw(t, "instances"))
		load := float64(rapid.IntRange(1, 10).Draw(t, "load"))
		lost := rapid.IntRange(0, 3).Draw(t, "lost")
		bucket := NewBucket(0, limit)
		admitted, due := 0, 0.0
		for now := clock.Millis(0); now < 6*clock.Second; now += 10 {
			for due += limit.RatePerS * load / 100; due >= 1; due-- {
				p := &purses[random.IntN(len(purses))]
				p.ObserveRequest(now)
				spent := p.Spend()
				if !spent && !p.IsExhausted(now) {
					exchange(random, now, bucket, p, 1, lost)
					spent = p.Spend()
				}
				if spent {
					admitted++
				}
			}
			if now%400 == 0 {
				for i := range purses {
					exchange(random, now, bucket, &purses[i], 0, lost)
				}
			}
			// Whole numbers, for 75 a second in 1.64 s are less than 123 in floats.
			millis := int(limit.RatePerS)*int(now) + int(max(limit.Burst, 1))*int(clock.Second)
			if admitted*int(clock.Second) > millis {
				t.Fatalf("%d requests admitted in %d ms, most %d/1000", admitted, now, millis)
			}
		}
	})
}

// exchange fetches and gives back tokens; each message may be lost.
func exchange(random *rand.Rand, now clock.Millis, bucket *Bucket, p *TokenCache, waiting, lost int) {
	want := p.TokensToFetch(now, waiting)
	back := 0.0
	if waiting == 0 {
		back = p.TakeSurplus(now)
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
	p.Add(now, given, bucket.TimeToNextToken(now))
}

// TestInsideTheRate checks that no request of a workspace inside its rate is
// refused, however it is spread, once the purses have filled.
func TestInsideTheRate(t *testing.T) {
	cases := map[string]struct {
		instances int
		rate      float64
	}{
		"one instance":           {1, 100},
		"seven instances":        {7, 100},
		"many, little each":      {37, 30},
		"hardly any at each one": {37, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bucket := NewBucket(0, Limit{RatePerS: c.rate, Burst: c.rate})
			purses := make([]TokenCache, c.instances)
			refused, asked, due := 0, 0, 0.0
			for now := clock.Millis(0); now < 20*clock.Second; now += 10 {
				for due += c.rate / 1.6 / 100; due >= 1; due-- {
					p := &purses[asked%len(purses)]
					asked++
					p.ObserveRequest(now)
					if p.Spend() {
						continue
					}
					p.Add(now, bucket.Take(now, p.TokensToFetch(now, 1)), bucket.TimeToNextToken(now))
					if !p.Spend() {
						refused++
					}
				}
				if now%400 == 0 {
					for i := range purses {
						bucket.Return(now, purses[i].TakeSurplus(now))
						if want := purses[i].TokensToFetch(now, 0); want > 0 {
							purses[i].Add(now, bucket.Take(now, want), bucket.TimeToNextToken(now))
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

func ExampleLimit_Scale() {
	fmt.Println(Limit{RatePerS: 10, Burst: 4}.Scale(0.5))
	// Output: {5 2}
}
