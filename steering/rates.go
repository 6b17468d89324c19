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
	// RateLimiterConfig configures Rates.
	RateLimiterConfig struct {
		Clock   clock.Clock
		Log     hclog.Logger
		Network peer.Network
		// BucketOwner returns the instance that keeps a workspace's bucket.
		BucketOwner func(workspace string) *wire.FleetInstance
		// Self is the name of this instance.
		Self string
		// Limit returns a workspace's limit, scaled to the part of the fleet
		// that is in touch.
		Limit func(workspace string) (quota.Limit, bool)
		// InstanceCount returns how many instances share the limits.
		InstanceCount func() int
	}

	// RateLimiter admits requests within their workspaces' rates. It implements
	// Admitter. The lock is never held during a call and no other lock of this
	// kind is taken under it.
	RateLimiter struct {
		config RateLimiterConfig

		mu      sync.Mutex
		tokens  map[string]*workspaceTokens
		buckets map[string]*quota.Bucket
		// ownershipLostAt is when this instance ceased to keep a bucket.
		ownershipLostAt map[string]clock.Millis
		// exchanging holds the workspaces that are being asked for.
		exchanging map[string]bool
	}

	// workspaceTokens is one workspace's tokens here and the requests that wait for some.
	workspaceTokens struct {
		quota.TokenCache
		waiters []chan struct{}
		// pendingWaiters are the waiters that the running ask is for.
		pendingWaiters []chan struct{}
		// fallback is this instance's even part of the rate, for as long as the
		// keeper does not answer.
		fallback     *quota.Bucket
		unansweredAt clock.Millis
	}
)

const (
	exchangeInterval = 400 * time.Millisecond
	// maxTokenWait is how long a request may wait for a token.
	maxTokenWait = 160 * time.Millisecond
	// exchangeTimeout bounds one exchange with a keeper.
	exchangeTimeout = 400 * time.Millisecond
	// fallbackPeriod is how long after a keeper did not answer the own part is used.
	fallbackPeriod = clock.Second
	// handoverGrace is how long a former keeper goes on serving those that have not
	// heard of the next one.
	handoverGrace = 400 * clock.Millis(1)
	// maxTokenWaiters bounds the requests of one workspace that wait.
	maxTokenWaiters = 64
)

// NewRateLimiter returns rates without tokens.
func NewRateLimiter(config RateLimiterConfig) *RateLimiter {
	return &RateLimiter{
		config:          config,
		tokens:          make(map[string]*workspaceTokens),
		buckets:         make(map[string]*quota.Bucket),
		ownershipLostAt: make(map[string]clock.Millis),
		exchanging:      make(map[string]bool),
	}
}

// Admit implements Admitter. It waits a short while for a token from the keeper.
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

// takeFallback takes a token of this instance's even part while the keeper does not
// answer. The caller holds the lock.
func (r *RateLimiter) takeFallback(workspace string, tokens *workspaceTokens) bool {
	now := r.config.Clock.Now()
	if tokens.unansweredAt == 0 || now-tokens.unansweredAt > fallbackPeriod {
		return false
	}
	limit, _ := r.config.Limit(workspace)
	part := limit.Scale(1 / float64(max(r.config.InstanceCount(), 1)))
	if tokens.fallback == nil {
		tokens.fallback = quota.NewBucket(now, part)
	}
	tokens.fallback.SetLimit(now, part)
	return tokens.fallback.Take(now, 1) >= 1
}

// takeOrWait takes a token, or returns a channel that is closed with the
// keeper's answer.
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

// tokensOf returns a workspace's tokensOf. The caller holds the lock.
func (r *RateLimiter) tokensOf(workspace string) *workspaceTokens {
	tokens, ok := r.tokens[workspace]
	if !ok {
		tokens = &workspaceTokens{}
		r.tokens[workspace] = tokens
	}
	return tokens
}

func (r *RateLimiter) ownsBucket(workspace string) bool {
	return r.config.BucketOwner(workspace).GetInstance() == r.config.Self
}

// bucket returns the bucket of a workspace that this instance keeps. The caller
// holds the lock.
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

// Run fetches and gives back tokens until the context ends.
func (r *RateLimiter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for keeper, workspaces := range r.workspacesByOwner() {
			go r.exchange(keeper, workspaces)
		}
		clock.Pause(ctx, exchangeInterval)
	}
}

// workspacesByOwner lists the workspaces with purses by their keepers' addresses.
func (r *RateLimiter) workspacesByOwner() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]string)
	for workspace := range r.tokens {
		keeper := r.config.BucketOwner(workspace)
		if keeper.GetInstance() != r.config.Self {
			out[keeper.GetPeerAddress()] = append(out[keeper.GetPeerAddress()], workspace)
		}
	}
	return out
}

// SyncBuckets begins to keep the buckets of the workspaces that are this instance's
// to keep, so that they fill, and drops the others after a while.
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

// fetch fetches tokens of one workspace at once.
func (r *RateLimiter) fetch(workspace string) {
	go r.exchange(r.config.BucketOwner(workspace).GetPeerAddress(), []string{workspace})
}

// exchange asks a keeper for what some workspaces lack and gives back what they
// do not need. A workspace is asked for once at a time.
func (r *RateLimiter) exchange(address string, workspaces []string) {
	ask := r.buildAsk(workspaces)
	if len(ask.GetWants()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	response, err := r.config.Network.Call(ctx, address, &wire.PeerRequest{Body: &wire.PeerRequest_TokenAsk{TokenAsk: ask}})
	if err != nil {
		r.config.Log.Debug("fetching tokens failed", "peer", address, "error", err.Error())
	}
	if again := r.applyGrant(ask, response.GetTokenGrant()); len(again) > 0 {
		r.exchange(address, again)
	}
}

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

// applyGrant takes in a grant and wakes the requests that it was for. It returns the
// workspaces for which others wait by now. A peer that is not the keeper grants
// no part at all, like one that does not answer.
func (r *RateLimiter) applyGrant(ask *wire.TokenAsk, grant *wire.TokenGrant) []string {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	granted := make(map[string]bool, len(grant.GetParts()))
	for _, part := range grant.GetParts() {
		granted[part.GetWorkspace()] = true
		r.tokensOf(part.GetWorkspace()).Add(now, part.GetTokens(), clock.Millis(part.GetEmptyMs()))
	}
	var again []string
	for _, want := range ask.GetWants() {
		tokens := r.tokensOf(want.GetWorkspace())
		delete(r.exchanging, want.GetWorkspace())
		if granted[want.GetWorkspace()] {
			tokens.unansweredAt, tokens.fallback = 0, nil
		} else {
			tokens.unansweredAt = now
		}
		for _, wait := range tokens.pendingWaiters {
			close(wait)
		}
		tokens.pendingWaiters = nil
		if len(tokens.waiters) > 0 {
			again = append(again, want.GetWorkspace())
		}
	}
	return again
}

// HandleTokenAsk answers a peer's ask as the keeper. An instance that is not, or no
// longer, the keeper gives nothing.
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
