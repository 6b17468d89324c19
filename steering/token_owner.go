package steering

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
)

// HandleTokenAsk grants tokens to a peer, takes back those it returns, and borrows its parts
// of the limits. Where this instance does not own the bucket, it returns the part.
func (r *RateLimiter) HandleTokenAsk(ask *wire.TokenAsk) *wire.TokenGrant {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLender(now, ask.GetInstance(), ask.GetSender())
	grant := &wire.TokenGrant{}
	for _, want := range ask.GetWants() {
		if _, limited := r.config.Limit(want.GetWorkspace()); !limited {
			continue
		}
		bucket := r.tokensOf(now, want.GetWorkspace()).bucket
		part := &wire.TokenPart{Workspace: want.GetWorkspace()}
		grant.Parts = append(grant.Parts, part)
		owner := r.ownsBucket(want.GetWorkspace())
		if want.GetTakeBack() || !owner {
			part.PartReturned = true
			part.Returned = bucket.TakeBack(now, ask.GetSender(), want.GetSequence())
		}
		if !owner {
			part.OwnerAddress = r.config.BucketOwner(want.GetWorkspace()).GetPeerAddress()
			continue
		}
		r.borrow(now, bucket, ask.GetSender(), want)
		bucket.Return(now, want.GetGiveBack())
		part.Offer = &wire.PartOffer{Borrower: r.config.Process, AtMs: int64(now)}
		part.Tokens = bucket.Take(now, want.GetTokens())
		_, fraction := bucket.State(now)
		part.NoPart = fraction == 0
		if part.GetTokens() < 1 && want.GetTokens() > 0 && !part.GetNoPart() {
			part.EmptyMs = int64(bucket.TimeToNextToken(now))
		}
	}
	r.renewLoans(now, ask, grant)
	grant.Offer = &wire.PartOffer{Borrower: r.config.Process, AtMs: int64(now)}
	return grant
}

// renewLoans renews the loans of a peer, and gives back its parts of buckets that this instance
// does not own any more. The caller must hold the lock.
func (r *RateLimiter) renewLoans(now clock.Millis, ask *wire.TokenAsk, grant *wire.TokenGrant) {
	offer := ask.GetRenew().GetOffer()
	if offer.GetBorrower() != r.config.Process || clock.Millis(offer.GetAtMs()) > now {
		return
	}
	fraction := min(ask.GetRenew().GetPart(), 1)
	for workspace, tokens := range r.workspaces {
		if r.ownsBucket(workspace) {
			if tokens.bucket.Renew(now, ask.GetSender(), fraction, clock.Millis(offer.GetAtMs())+quota.PartTerm) {
				grant.Renewed++
			}
			continue
		}
		if returned, sequence, ok := tokens.bucket.GiveBack(now, ask.GetSender()); ok {
			grant.Parts = append(grant.Parts, &wire.TokenPart{
				Workspace: workspace, Returned: returned, Sequence: sequence, OwnerAddress: r.config.BucketOwner(workspace).GetPeerAddress(),
			})
		}
	}
}

// recordLender records the process of an instance that sends a message. An earlier process of
// the instance has ended, and with it its loans. The caller must hold the lock.
func (r *RateLimiter) recordLender(now clock.Millis, instance string, process uint64) {
	if last, ok := r.lenders[instance]; ok && last != process {
		r.forget(now, last)
	}
	r.lenders[instance] = process
}

// RecordProcess records the process of an instance that has been heard from.
func (r *RateLimiter) RecordProcess(info *wire.FleetInstance) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLender(now, info.GetInstance(), ProcessID(info.GetIncarnation()))
}

// forget ends the loans of a process. The caller must hold the lock.
func (r *RateLimiter) forget(now clock.Millis, process uint64) {
	for _, tokens := range r.workspaces {
		tokens.bucket.Forget(now, process)
	}
}

// borrow adds the part that a peer lends to a bucket, until a quota.PartTerm after the
// offer that it accepts. The caller must hold the lock.
func (r *RateLimiter) borrow(now clock.Millis, bucket *quota.Bucket, lender uint64, want *wire.TokenWant) {
	offer := want.GetOffer()
	if want.GetPart() <= 0 || offer.GetBorrower() != r.config.Process || clock.Millis(offer.GetAtMs()) > now {
		return
	}
	loan := quota.Loan{Fraction: min(want.GetPart(), 1), Until: clock.Millis(offer.GetAtMs()) + quota.PartTerm, Sequence: want.GetSequence()}
	bucket.Lend(now, lender, loan)
}
