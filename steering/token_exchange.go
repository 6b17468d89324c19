package steering

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/rcrowley/go-metrics"
)

// followUp holds the exchanges that are due after another one.
type followUp struct {
	// byPeer holds the workspaces by the addresses of the peers.
	byPeer map[string][]string
	// pause is the time to wait before.
	pause clock.Millis
}

const (
	// exchangeInterval is the interval of the periodic exchanges with bucket owners.
	exchangeInterval = 400 * time.Millisecond
	// noPartPause is the pause before a new owner that has no part of the limit yet is asked
	// again, where requests wait.
	noPartPause = 20 * clock.Millis(1)
	// redirectTime is how long the owner that a former one has named is asked, for the time
	// until this instance's own view of the fleet has followed.
	redirectTime = 2 * clock.Second
	// redirectInterval is the shortest time between two redirections, since two instances
	// may name each other for a moment.
	redirectInterval = 100 * clock.Millis(1)
	// exchangeTimeout limits one exchange with a bucket owner.
	exchangeTimeout = 400 * time.Millisecond
)

// Run fetches and returns tokens and lends parts periodically until the context ends.
func (r *RateLimiter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.MoveParts()
		clock.Sleep(ctx, exchangeInterval)
	}
}

// MoveParts exchanges messages at once with the owners of buckets and with the peers that use
// this instance's parts of buckets that they do not own any more.
func (r *RateLimiter) MoveParts() {
	for address, workspaces := range r.workspacesByPeer() {
		go r.exchange(address, workspaces)
	}
}

// TakeBackParts takes this instance's parts back from all peers and reports whether none
// uses one any more. Part must have become zero before.
func (r *RateLimiter) TakeBackParts() bool {
	var group sync.WaitGroup
	for address, workspaces := range r.workspacesByPeer() {
		group.Go(func() { r.exchange(address, workspaces) })
	}
	group.Wait()
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, tokens := range r.workspaces {
		if !tokens.part.IsHere(now) {
			return false
		}
	}
	return true
}

// workspacesByPeer groups the workspaces by the addresses of the peers to exchange messages
// with about them: the owner of the bucket, and another peer that has borrowed the part.
func (r *RateLimiter) workspacesByPeer() map[string][]string {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	byPeer := make(map[string][]string)
	for workspace, tokens := range r.workspaces {
		owner := ""
		if !r.ownsBucket(workspace) {
			owner = r.ownerAddress(now, workspace)
			byPeer[owner] = append(byPeer[owner], workspace)
		}
		if borrower := tokens.part.LentTo(now); borrower != "" && borrower != owner {
			byPeer[borrower] = append(byPeer[borrower], workspace)
		}
	}
	return byPeer
}

// exchange fetches the tokens that the workspaces need from the peer at an address, returns
// surplus ones, and lends or takes back this instance's parts. Workspaces that have an
// exchange with that peer in progress are left out.
func (r *RateLimiter) exchange(address string, workspaces []string) {
	sentAt := r.config.Clock.Now()
	ask := r.buildAsk(address, workspaces)
	if len(ask.GetWants()) == 0 && ask.GetRenew() == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	response, err := r.config.Network.Call(ctx, address, &wire.PeerRequest{Body: &wire.PeerRequest_TokenAsk{TokenAsk: ask}})
	if err != nil {
		r.config.Log.Debug("token exchange failed", "peer", address, "error", err.Error())
	}
	due := r.applyGrant(address, sentAt, ask, response.GetTokenGrant())
	time.Sleep(due.pause.Duration())
	for next, list := range due.byPeer {
		r.exchange(next, list)
	}
}

// buildAsk returns the message to the peer at an address about the workspaces, and marks
// these as having an exchange in progress.
func (r *RateLimiter) buildAsk(address string, workspaces []string) *wire.TokenAsk {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	ask := &wire.TokenAsk{Sender: r.config.Process, Instance: r.config.Self}
	for _, workspace := range workspaces {
		tokens := r.tokensOf(now, workspace)
		if tokens.exchanging[address] {
			continue
		}
		want := &wire.TokenWant{Workspace: workspace}
		if r.isOwnerAt(now, workspace, address) {
			r.fillWant(now, address, tokens, want)
		}
		want.TakeBack = want.GetPart() == 0 && tokens.part.LentTo(now) == address && (!r.isOwnerAt(now, workspace, address) || r.config.Part() == 0)
		if want.GetTokens() > 0 || want.GetGiveBack() > 0 || want.GetTakeBack() || want.GetPart() > 0 || r.seeksOffer(now, address, workspace, tokens) {
			want.Sequence = tokens.part.NextSequence()
			if want.GetPart() > 0 {
				tokens.part.RecordLent(want.GetSequence())
			}
			tokens.exchanging[address] = true
			ask.Wants = append(ask.Wants, want)
		}
	}
	ask.Renew = r.renewal(now, address)
	return ask
}

// renewal renews all loans to the peer at an address, or returns nil if there are none or the
// peer has made no offer lately. The caller must hold the lock.
func (r *RateLimiter) renewal(now clock.Millis, address string) *wire.PartRenewal {
	latest, ok := r.offers[address]
	fraction := r.config.Part()
	if !ok || now-latest.sentAt > quota.PartTerm || fraction == 0 {
		return nil
	}
	loans := int32(0)
	for _, tokens := range r.workspaces {
		if tokens.part.LentTo(now) == address {
			tokens.part.Renew(now, address)
			loans++
		}
	}
	if loans == 0 {
		return nil
	}
	return &wire.PartRenewal{Part: fraction, Offer: latest.offer, Loans: loans}
}

// ownerAddress returns the address of the peer that owns a workspace's bucket: the one that
// a former owner has named lately, or the one in this instance's view of the fleet. The
// caller must hold the lock.
func (r *RateLimiter) ownerAddress(now clock.Millis, workspace string) string {
	if tokens := r.workspaces[workspace]; tokens != nil && now < tokens.redirectUntil {
		return tokens.redirectedTo
	}
	return r.config.BucketOwner(workspace).GetPeerAddress()
}

// isOwnerAt reports whether the peer at an address owns a workspace's bucket. The caller must
// hold the lock.
func (r *RateLimiter) isOwnerAt(now clock.Millis, workspace, address string) bool {
	return !r.ownsBucket(workspace) && r.ownerAddress(now, workspace) == address
}

// seeksOffer reports whether this instance needs an offer of the owner at an address to
// lend it the part. The caller must hold the lock.
func (r *RateLimiter) seeksOffer(now clock.Millis, address, workspace string, tokens *workspaceTokens) bool {
	return r.isOwnerAt(now, workspace, address) && r.config.Part() > 0 && tokens.part.LentTo(now) != address && !tokens.part.HasOffer(now, address)
}

// fillWant sets the tokens to fetch from the owner at an address or to return to it, and
// lends it the part. Where nothing else is sent, the loan is renewed every renewInterval.
// The caller must hold the lock.
func (r *RateLimiter) fillWant(now clock.Millis, address string, tokens *workspaceTokens, want *wire.TokenWant) {
	tokens.pendingWaiters, tokens.waiters = append(tokens.pendingWaiters, tokens.waiters...), nil
	want.Tokens = tokens.TokensToFetch(now, len(tokens.pendingWaiters))
	if want.GetTokens() == 0 {
		want.GiveBack = tokens.TakeSurplus(now)
	}
	fraction := r.config.Part()
	if fraction == 0 || (tokens.part.LentTo(now) == address && !r.offers[address].lendAgain) {
		return
	}
	if latest := r.offers[address]; latest.offer != nil {
		tokens.part.RecordOffer(latest.sentAt, address, quota.Offer{Borrower: latest.offer.GetBorrower(), At: clock.Millis(latest.offer.GetAtMs())})
	}
	offer, ok := tokens.part.Lend(now, address)
	if !ok {
		return
	}
	want.GiveBack += tokens.bucket.TakeBack(now, r.config.Process, tokens.part.NextSequence())
	want.Part = fraction
	want.Offer = &wire.PartOffer{Borrower: offer.Borrower, AtMs: int64(offer.At)}
}

// applyGrant applies the response to a message that was sent to the peer at an address, and
// wakes the requests that wait for it. It returns the workspaces for which another exchange
// is due: more requests have started to wait, the part can be lent now, the peer has named
// another owner, or it has no part of the limit yet. A peer that does not own a bucket
// grants nothing, which has the same effect as no response.
func (r *RateLimiter) applyGrant(address string, sentAt clock.Millis, ask *wire.TokenAsk, grant *wire.TokenGrant) followUp {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := make(map[string]*wire.TokenPart, len(grant.GetParts()))
	for _, part := range grant.GetParts() {
		parts[part.GetWorkspace()] = part
	}
	due := followUp{byPeer: make(map[string][]string)}
	if offer := grant.GetOffer(); offer != nil {
		r.offers[address] = peerOffer{offer: offer, sentAt: sentAt, lendAgain: grant.GetRenewed() < ask.GetRenew().GetLoans()}
	}
	r.applyGivenBack(now, address, grant, &due)
	for _, want := range ask.GetWants() {
		workspace := want.GetWorkspace()
		tokens := r.tokensOf(now, workspace)
		delete(tokens.exchanging, address)
		r.applyPart(now, address, sentAt, want, parts[workspace])
		if tokens.redirect(now, parts[workspace].GetOwnerAddress(), r.config.SelfAddress) {
			r.config.Log.Info("token bucket has another owner", "workspace", workspace, "former", address, "owner", tokens.redirectedTo)
			due.add(tokens.redirectedTo, workspace)
			continue
		}
		if tokens.awaitsPart(now, parts[workspace].GetNoPart()) {
			tokens.keepPending()
			due.pause = noPartPause
		}
		tokens.wakePending()
		if !r.isOwnerAt(now, workspace, address) {
			if owner := r.ownerAddress(now, workspace); parts[workspace].GetPartReturned() && !r.ownsBucket(workspace) && owner != r.config.SelfAddress {
				due.add(owner, workspace)
			}
			continue
		}
		tokens.ownerFailed = parts[workspace].GetOffer() == nil
		canLend := want.GetPart() == 0 && r.config.Part() > 0 && tokens.part.IsHere(now) && tokens.part.HasOffer(now, address)
		if len(tokens.waiters) > 0 || canLend {
			due.add(address, workspace)
		}
	}
	return due
}

func (f *followUp) add(address, workspace string) {
	f.byPeer[address] = append(f.byPeer[address], workspace)
}

// redirect follows a former owner's word of who owns the bucket, unless it is this instance
// or another redirection was just followed. Requests that wait go on waiting. It reports
// whether the owner it names is to be asked.
func (t *workspaceTokens) redirect(now clock.Millis, owner, self string) bool {
	if owner == "" || owner == self || now < t.redirectUntil-redirectTime+redirectInterval {
		return false
	}
	t.redirectedTo, t.redirectUntil = owner, now+redirectTime
	t.keepPending()
	return true
}

// awaitsPart reports whether requests wait for an owner that has no part of the limit yet, and
// can go on waiting.
func (t *workspaceTokens) awaitsPart(now clock.Millis, noPart bool) bool {
	if !noPart || t.noPartSince == 0 {
		t.noPartSince = 0
		if noPart {
			t.noPartSince = now
		}
	}
	return noPart && len(t.pendingWaiters) > 0 && now-t.noPartSince < clock.FromDuration(maxTokenWait)
}

// keepPending has the requests that wait for the exchange that has ended wait for the next.
func (t *workspaceTokens) keepPending() {
	t.waiters, t.pendingWaiters = append(t.pendingWaiters, t.waiters...), nil
}

// wakePending wakes the requests that wait for the exchange that has ended.
func (t *workspaceTokens) wakePending() {
	for _, wait := range t.pendingWaiters {
		close(wait)
	}
	t.pendingWaiters = nil
}

// applyGivenBack takes over the parts that the peer at an address has given back without being
// asked, and has them lent to the new owners. The caller must hold the lock.
func (r *RateLimiter) applyGivenBack(now clock.Millis, address string, grant *wire.TokenGrant, due *followUp) {
	for _, part := range grant.GetParts() {
		tokens, ok := r.workspaces[part.GetWorkspace()]
		if part.GetSequence() == 0 || !ok || !tokens.part.RecordGivenBack(address, part.GetSequence()) {
			continue
		}
		r.tokensOf(now, part.GetWorkspace()).bucket.Return(now, part.GetReturned())
		tokens.redirect(now, part.GetOwnerAddress(), r.config.SelfAddress)
		if owner := r.ownerAddress(now, part.GetWorkspace()); !r.ownsBucket(part.GetWorkspace()) && owner != address {
			due.add(owner, part.GetWorkspace())
		}
	}
}

// applyPart adds what the peer at an address has granted, offered and returned in response
// to a want; part may be nil. The caller must hold the lock.
func (r *RateLimiter) applyPart(now clock.Millis, address string, sentAt clock.Millis, want *wire.TokenWant, part *wire.TokenPart) {
	tokens := r.workspaces[want.GetWorkspace()]
	if want.GetTokens() > 0 && part != nil {
		tokens.Add(now, part.GetTokens(), clock.Millis(part.GetEmptyMs()))
	}
	if part.GetPartReturned() {
		tokens.part.RecordReturn(address)
		r.tokensOf(now, want.GetWorkspace()).bucket.Return(now, part.GetReturned())
		metrics.GetOrRegisterCounter("quota.parts_returned", r.config.Metrics).Inc(1)
	}
	if offer := part.GetOffer(); offer != nil {
		tokens.part.RecordOffer(sentAt, address, quota.Offer{Borrower: offer.GetBorrower(), At: clock.Millis(offer.GetAtMs())})
	}
}
