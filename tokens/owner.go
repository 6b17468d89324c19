package tokens

import (
	"math"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
)

const (
	// redirectFraction is the fraction of a limit below which an instance that does not own
	// a bucket any more, and has no token left, names the owner.
	redirectFraction = 0.5
	// minMoved is the smallest number of tokens that is moved to a new owner.
	minMoved = 0.01
)

// HandleTokenAsk takes over a peer's lease, takes back tokens from it and grants it others.
func (l *Limiter) HandleTokenAsk(ask *wire.TokenAsk) *wire.TokenGrant {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncLeases(now)
	grant := &wire.TokenGrant{Sender: l.config.Process, AtMs: int64(now)}
	if ask.GetSender() != 0 && ask.GetSender() != l.config.Process {
		l.recordLease(now, ask, grant)
	}
	grant.LeaseNumber = l.ledger.Number(ask.GetSender())
	for _, want := range ask.GetWants() {
		if _, limited := l.config.Limit(want.GetWorkspace()); limited {
			grant.Parts = append(grant.Parts, l.grant(now, want))
		}
	}
	return grant
}

// grant grants tokens of one workspace. While there are few, requests that wait have priority
// over tokens for later ones, and only whole tokens are granted: parts of them would lie idle at
// many instances. The caller must hold the lock.
func (l *Limiter) grant(now clock.Millis, want *wire.TokenWant) *wire.TokenPart {
	part := &wire.TokenPart{Workspace: want.GetWorkspace()}
	tokens := l.tokensOf(now, want.GetWorkspace())
	tokens.usedAt = now
	bucket := tokens.bucket
	bucket.Return(now, finite(want.GetGiveBack()))
	inBucket, fraction := bucket.State(now)
	wanted := finite(want.GetTokens())
	if given := max(float64(want.GetWaiting()), inBucket/2); given < wanted || inBucket < wanted {
		wanted = math.Floor(min(given, inBucket, wanted))
	}
	part.Tokens = bucket.Take(now, wanted)
	if !l.ownsBucket(tokens) && fraction < redirectFraction && part.GetTokens() < 1 && !l.isStarting(now) {
		part.OwnerAddress = l.route(tokens).Address
		return part
	}
	part.NoPart = fraction == 0 || (part.GetTokens() < float64(want.GetWaiting()) && l.isStarting(now))
	if part.GetTokens() < 1 && want.GetTokens() > 0 && !part.GetNoPart() {
		part.EmptyMs = int64(bucket.TimeToNextToken(now))
	}
	return part
}

// finite returns a number of tokens from a peer's message, or zero if it is negative, infinite or
// not a number.
func finite(tokens float64) float64 {
	if math.IsNaN(tokens) || math.IsInf(tokens, 0) {
		return 0
	}
	return max(tokens, 0)
}

// recordLease takes over the lease that a peer states, returns the tokens of its share that
// pass to another owner, and takes over those that former owners have returned. A lease whose
// time of statement is not known is not renewed by that. The caller must hold the lock.
func (l *Limiter) recordLease(now clock.Millis, ask *wire.TokenAsk, grant *wire.TokenGrant) {
	sender, number := ask.GetSender(), ask.GetLeaseNumber()
	statedAt := clock.Millis(ask.GetEchoMs())
	if ask.GetEchoProcess() != l.config.Process || statedAt > now {
		statedAt = 0
	}
	before := l.ledger.Lease(sender)
	if ask.GetLease() == nil || number <= l.ledger.Number(sender) {
		if before != nil && statedAt > 0 {
			l.ledger.Renew(sender, number, statedAt+before.Term)
		}
		return
	}
	lease := l.checkLease(ask.GetInstance(), ask.GetLease())
	if lease == nil {
		return
	}
	until := now
	if statedAt > 0 {
		until = max(until, statedAt+lease.Term)
	}
	if before != nil {
		grant.Returned = l.releaseShare(now, before, lease.Lease)
	}
	if l.ledger.Record(now, sender, number, lease.Lease, lease.hash, until) {
		l.setFractions(now)
	}
	if l.ledger.Lease(sender) != nil {
		l.receiveMoved(now, before, lease.Lease, ask.GetMoved())
	}
}

// releaseShare removes and returns the tokens of a share that passes to other owners. Those of
// workspaces without requests are not moved. The caller must hold the lock.
func (l *Limiter) releaseShare(now clock.Millis, before, lease *quota.Lease) []*wire.MovedTokens {
	var returned []*wire.MovedTokens
	for workspace, tokens := range l.workspaces {
		if before.Borrower(tokens.key) != l.config.Process || lease.Borrower(tokens.key) == l.config.Process {
			continue
		}
		amount := tokens.bucket.TakeShare(now, l.share)
		if amount >= minMoved && now-tokens.usedAt < idleTime {
			returned = append(returned, &wire.MovedTokens{Workspace: workspace, Tokens: amount})
		}
	}
	return returned
}

// receiveMoved adds the tokens of a share that begins to be leased to this instance. The caller
// must hold the lock.
func (l *Limiter) receiveMoved(now clock.Millis, before, lease *quota.Lease, moved []*wire.MovedTokens) {
	for _, m := range moved {
		limit, limited := l.config.Limit(m.GetWorkspace())
		if !limited {
			continue
		}
		tokens := l.tokensOf(now, m.GetWorkspace())
		if lease.Borrower(tokens.key) != l.config.Process || (before != nil && before.Borrower(tokens.key) == l.config.Process) {
			continue
		}
		tokens.bucket.Return(now, min(finite(m.GetTokens()), l.share*limit.Burst))
	}
}
