package placement

import "github.com/bulrushferry/bulrushferry/clock"

// tokenBucket limits the requests that this instance sends to a cold server. It
// holds at most one token.
type tokenBucket struct {
	tokens    float64
	updatedAt clock.Millis
}

const (
	// coldRateShare is the share of a cold server's limit that is used.
	coldRateShare = 0.7
	// minSenderRate is the smallest rate worth assigning to an instance, in
	// requests per second.
	minSenderRate = 2.2
)

// coldRate returns how many requests per second this instance may send to a
// cold server. The server's limit is divided among a few instances, selected by
// rendezvous hashing, so that each receives a useful rate. One request per
// second is deducted, since a full bucket allows one more within a second.
func (b *Balancer) coldRate(s *serverState) float64 {
	limit := b.limits[s.info.Service].ColdRatePerS
	if limit <= 0 {
		return 0
	}
	allowed := (limit*b.config.ColdOverage + b.config.ColdSlack) * coldRateShare
	senders := min(len(b.memberHashes)+1, max(1, int(allowed/minSenderRate)))
	if b.senderRankOf(s) >= senders {
		return 0
	}
	return max(0, allowed/float64(senders)-1)
}

// senderRankOf returns how many other instances rank higher than this one for a
// server. It is worked out once for each list of instances.
func (b *Balancer) senderRankOf(s *serverState) int {
	if s.senderRankAt == b.fleetVersion {
		return s.senderRank
	}
	ownScore := mixHashes(b.selfHash, s.idHash)
	rank := 0
	for _, member := range b.memberHashes {
		if mixHashes(member, s.idHash) > ownScore {
			rank++
		}
	}
	s.senderRank, s.senderRankAt = rank, b.fleetVersion
	return rank
}

// take refills the bucket at the given rate and removes one token. It reports
// whether one was available.
func (b *tokenBucket) take(now clock.Millis, rate float64) bool {
	b.tokens = min(1, b.tokens+rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// has reports whether a token is available.
func (b *tokenBucket) has(now clock.Millis, rate float64) bool {
	return b.tokens+rate*(now-b.updatedAt).Seconds() >= 1
}
