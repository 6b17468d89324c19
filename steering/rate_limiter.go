package steering

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
)

type (
	// RateLimiterConfig configures a RateLimiter.
	RateLimiterConfig struct {
		Clock   clock.Clock
		Log     hclog.Logger
		Network peer.Network
		// BucketOwner returns the instance that owns a workspace's token bucket.
		BucketOwner func(workspace string) *wire.FleetInstance
		// Self is the name of this instance.
		Self string
		// Limit returns a workspace's limit, scaled to the running instances, and
		// whether it has one.
		Limit func(workspace string) (quota.Limit, bool)
		// InstanceCount returns how many instances share the fleet-wide limits.
		InstanceCount func() int
	}

	// RateLimiter admits requests within their workspaces' rates. It owns the token
	// buckets of some workspaces and fetches tokens for the others from the instances
	// that own theirs. It implements Admitter and is safe for concurrent use. The lock
	// is not held during calls to peers, and no other RateLimiter's lock is taken while
	// it is held.
	RateLimiter struct {
		config RateLimiterConfig

		// The maps below are keyed by workspace.
		mu      sync.Mutex
		tokens  map[string]*workspaceTokens
		buckets map[string]*quota.Bucket
		// ownershipLostAt is when another instance became the owner of a bucket
		// that is still held here.
		ownershipLostAt map[string]clock.Millis
		// exchanging holds the workspaces that have an exchange in progress.
		exchanging map[string]bool
	}

	// workspaceTokens are the tokens of one workspace that this instance has fetched,
	// and the requests that wait for more.
	workspaceTokens struct {
		quota.TokenCache
		waiters []chan struct{}
		// pendingWaiters are the waiters that the exchange in progress is for.
		pendingWaiters []chan struct{}
		// fallback is a bucket with this instance's equal share of the rate, used
		// while the owner does not respond.
		fallback *quota.Bucket
		// lastFailureAt is when an exchange last failed, or zero if the last one
		// succeeded.
		lastFailureAt clock.Millis
	}
)

const (
	// exchangeInterval is the interval of the periodic exchanges with bucket owners.
	exchangeInterval = 400 * time.Millisecond
	// maxTokenWait is how long a request may wait for a token.
	maxTokenWait = 160 * time.Millisecond
	// exchangeTimeout limits one exchange with a bucket owner.
	exchangeTimeout = 400 * time.Millisecond
	// fallbackPeriod is how long the fallback bucket is used after a failed exchange.
	fallbackPeriod = clock.Second
	// handoverGrace is how long a former owner keeps granting tokens to instances that
	// do not know the new owner yet.
	handoverGrace = 400 * clock.Millis(1)
	// maxTokenWaiters limits the requests of one workspace that wait for tokens.
	maxTokenWaiters = 64
)

// NewRateLimiter returns a rate limiter without tokens and buckets.
func NewRateLimiter(config RateLimiterConfig) *RateLimiter {
	return &RateLimiter{
		config:          config,
		tokens:          make(map[string]*workspaceTokens),
		buckets:         make(map[string]*quota.Bucket),
		ownershipLostAt: make(map[string]clock.Millis),
		exchanging:      make(map[string]bool),
	}
}

// Admit implements Admitter. It waits up to maxTokenWait for a token from the bucket's
// owner.
func (r *RateLimiter) Admit(ctx context.Context, workspace string) bool {
	admitted, wait := r.takeOrWait(workspace)
	if wait == nil {
		return admitted
	}
	r.fetch(workspace)
	timer := time.NewTimer(maxTokenWait)
	defer timer.Stop()
	select {
	case <-wait:
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := r.tokensOf(workspace)
	return tokens.Spend() || r.takeFallback(workspace, tokens)
}

// Refund implements Admitter.
func (r *RateLimiter) Refund(workspace string) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ownsBucket(workspace) {
		r.bucket(now, workspace).Return(now, 1)
		return
	}
	r.tokensOf(workspace).Refund()
}

// takeFallback takes a token from the fallback bucket if an exchange failed within the
// last fallbackPeriod. The caller must hold the lock.
func (r *RateLimiter) takeFallback(workspace string, tokens *workspaceTokens) bool {
	now := r.config.Clock.Now()
	if tokens.lastFailureAt == 0 || now-tokens.lastFailureAt > fallbackPeriod {
		return false
	}
	limit, _ := r.config.Limit(workspace)
	share := limit.WithScale(1 / float64(max(r.config.InstanceCount(), 1)))
	if tokens.fallback == nil {
		tokens.fallback = quota.NewBucket(now, share)
	}
	tokens.fallback.SetLimit(now, share)
	return tokens.fallback.Take(now, 1) >= 1
}

// takeOrWait takes a token and reports whether it got one. If waiting for the bucket's
// owner can help, it also returns a channel that is closed after the next exchange.
func (r *RateLimiter) takeOrWait(workspace string) (bool, <-chan struct{}) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := r.tokensOf(workspace)
	tokens.ObserveRequest(now)
	if tokens.Spend() {
		return true, nil
	}
	if r.ownsBucket(workspace) {
		return r.bucket(now, workspace).Take(now, 1) >= 1, nil
	}
	if tokens.IsExhausted(now) || len(tokens.waiters) >= maxTokenWaiters {
		return false, nil
	}
	wait := make(chan struct{})
	tokens.waiters = append(tokens.waiters, wait)
	return false, wait
}

// tokensOf returns the fetched tokens of a workspace. The caller must hold the lock.
func (r *RateLimiter) tokensOf(workspace string) *workspaceTokens {
	tokens, ok := r.tokens[workspace]
	if !ok {
		tokens = &workspaceTokens{}
		r.tokens[workspace] = tokens
	}
	return tokens
}

// ownsBucket reports whether this instance owns a workspace's token bucket.
func (r *RateLimiter) ownsBucket(workspace string) bool {
	return r.config.BucketOwner(workspace).GetInstance() == r.config.Self
}

// bucket returns the bucket of a workspace with its limit up to date, and creates it if
// necessary. The caller must hold the lock.
func (r *RateLimiter) bucket(now clock.Millis, workspace string) *quota.Bucket {
	limit, _ := r.config.Limit(workspace)
	b, ok := r.buckets[workspace]
	if !ok {
		b = quota.NewBucket(now, limit)
		r.buckets[workspace] = b
	}
	b.SetLimit(now, limit)
	return b
}

// Run fetches tokens and returns unused ones periodically until the context ends.
func (r *RateLimiter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for address, workspaces := range r.workspacesByOwner() {
			go r.exchange(address, workspaces)
		}
		clock.Sleep(ctx, exchangeInterval)
	}
}

// workspacesByOwner groups the workspaces that have had requests here by the address of
// the instance that owns their bucket. Those owned by this instance are left out.
func (r *RateLimiter) workspacesByOwner() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	byOwner := make(map[string][]string)
	for workspace := range r.tokens {
		owner := r.config.BucketOwner(workspace)
		if owner.GetInstance() != r.config.Self {
			byOwner[owner.GetPeerAddress()] = append(byOwner[owner.GetPeerAddress()], workspace)
		}
	}
	return byOwner
}

// SyncBuckets creates the buckets that this instance owns, so that they start to fill
// before the first request, and deletes those it no longer owns after handoverGrace.
func (r *RateLimiter) SyncBuckets(workspaces []string) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, workspace := range workspaces {
		if r.ownsBucket(workspace) {
			r.bucket(now, workspace)
			delete(r.ownershipLostAt, workspace)
			continue
		}
		if r.buckets[workspace] == nil {
			continue
		}
		if _, ok := r.ownershipLostAt[workspace]; !ok {
			r.ownershipLostAt[workspace] = now
		}
		if now-r.ownershipLostAt[workspace] > handoverGrace {
			delete(r.buckets, workspace)
			delete(r.ownershipLostAt, workspace)
		}
	}
}

// fetch starts an exchange for one workspace immediately.
func (r *RateLimiter) fetch(workspace string) {
	go r.exchange(r.config.BucketOwner(workspace).GetPeerAddress(), []string{workspace})
}

// exchange fetches the tokens that the workspaces need from the owner of their buckets
// and returns surplus ones. Workspaces that have an exchange in progress are left out.
func (r *RateLimiter) exchange(address string, workspaces []string) {
	ask := r.buildAsk(workspaces)
	if len(ask.GetWants()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	response, err := r.config.Network.Call(ctx, address, &wire.PeerRequest{Body: &wire.PeerRequest_TokenAsk{TokenAsk: ask}})
	if err != nil {
		r.config.Log.Debug("token exchange failed", "peer", address, "error", err.Error())
	}
	if waiting := r.applyGrant(ask, response.GetTokenGrant()); len(waiting) > 0 {
		r.exchange(address, waiting)
	}
}

// buildAsk returns the tokens to fetch and to return for the workspaces and marks these
// as having an exchange in progress.
func (r *RateLimiter) buildAsk(workspaces []string) *wire.TokenAsk {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	ask := &wire.TokenAsk{}
	for _, workspace := range workspaces {
		if r.exchanging[workspace] {
			continue
		}
		tokens := r.tokensOf(workspace)
		tokens.pendingWaiters, tokens.waiters = tokens.waiters, nil
		want := &wire.TokenWant{Workspace: workspace, Tokens: tokens.TokensToFetch(now, len(tokens.pendingWaiters))}
		if want.GetTokens() == 0 {
			want.GiveBack = tokens.TakeSurplus(now)
		}
		if want.GetTokens() > 0 || want.GetGiveBack() > 0 {
			r.exchanging[workspace] = true
			ask.Wants = append(ask.Wants, want)
		}
	}
	return ask
}

// applyGrant adds the granted tokens and wakes the requests that wait for them. It
// returns the workspaces for which more requests have started to wait meanwhile. A peer
// that does not own a bucket leaves its workspace out of the grant, which has the same
// effect as no response.
func (r *RateLimiter) applyGrant(ask *wire.TokenAsk, grant *wire.TokenGrant) []string {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	granted := make(map[string]bool, len(grant.GetParts()))
	for _, part := range grant.GetParts() {
		granted[part.GetWorkspace()] = true
		r.tokensOf(part.GetWorkspace()).Add(now, part.GetTokens(), clock.Millis(part.GetEmptyMs()))
	}
	var waiting []string
	for _, want := range ask.GetWants() {
		tokens := r.tokensOf(want.GetWorkspace())
		delete(r.exchanging, want.GetWorkspace())
		if granted[want.GetWorkspace()] {
			tokens.lastFailureAt, tokens.fallback = 0, nil
		} else {
			tokens.lastFailureAt = now
		}
		for _, wait := range tokens.pendingWaiters {
			close(wait)
		}
		tokens.pendingWaiters = nil
		if len(tokens.waiters) > 0 {
			waiting = append(waiting, want.GetWorkspace())
		}
	}
	return waiting
}

// HandleTokenAsk grants tokens to a peer and takes back those it returns. Workspaces
// whose buckets this instance neither owns nor still holds are left out of the grant.
func (r *RateLimiter) HandleTokenAsk(ask *wire.TokenAsk) *wire.TokenGrant {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	grant := &wire.TokenGrant{}
	for _, want := range ask.GetWants() {
		_, limited := r.config.Limit(want.GetWorkspace())
		if !limited || (!r.ownsBucket(want.GetWorkspace()) && r.buckets[want.GetWorkspace()] == nil) {
			continue
		}
		b := r.bucket(now, want.GetWorkspace())
		b.Return(now, want.GetGiveBack())
		part := &wire.TokenPart{Workspace: want.GetWorkspace(), Tokens: b.Take(now, want.GetTokens())}
		if part.GetTokens() < 1 && want.GetTokens() > 0 {
			part.EmptyMs = int64(b.TimeToNextToken(now))
		}
		grant.Parts = append(grant.Parts, part)
	}
	return grant
}
