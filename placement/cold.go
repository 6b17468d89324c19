package placement

import "github.com/bulrushferry/bulrushferry/clock"

// bucket is the token bucket of a cold server.
type bucket struct {
	tokens    float64
	updatedAt clock.Millis
}

const (
	// coldMargin is the part of a cold server's limit that is given out.
	coldMargin = 0.7
	// tokensPerOwner is the least allowance worth giving to an instance, in
	// requests a second.
	tokensPerOwner = 2.2
)

// coldRate returns how many requests a second this instance may send to a cold
// server. A few instances share the server's limit, so that each one's part is
// worth having; which ones follows from their names and the server's.
func (t *Balancer) coldRate(r *record) float64 {
	limit := t.limits[r.info.Service].ColdRatePerS
	if limit <= 0 {
		return 0
	}
	allowed := (limit*t.config.ColdOverage + t.config.ColdSlack) * coldMargin
	owners := min(len(t.members)+1, max(1, int(allowed/tokensPerOwner)))
	if t.rank(r) >= owners {
		return 0
	}
	return max(0, allowed/float64(owners)-1)
}

// rank counts the instances that come before this one for a server.
func (t *Balancer) rank(r *record) int {
	own := mix(t.self, r.hash)
	rank := 0
	for _, member := range t.members {
		if mix(member, r.hash) > own {
			rank++
		}
	}
	return rank
}

// take takes one token of a bucket that fills at a rate up to one token.
func (b *bucket) take(now clock.Millis, rate float64) bool {
	b.tokens = min(1, b.tokens+rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// has reports whether a token is there.
func (b *bucket) has(now clock.Millis, rate float64) bool {
	return b.tokens+rate*(now-b.updatedAt).Seconds() >= 1
}
