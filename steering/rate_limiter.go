package steering

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

type (
	// RateLimiterConfig configures a RateLimiter.
	RateLimiterConfig struct {
		// Clock also runs while the machine is suspended, since loans of parts end
		// meanwhile.
		Clock   clock.Clock
		Log     hclog.Logger
		Metrics metrics.Registry
		Network peer.Network
		// BucketOwner returns the instance that owns a workspace's token bucket.
		BucketOwner func(workspace string) *wire.FleetInstance
		// Self is the name of this instance, SelfAddress its peer address.
		Self        string
		SelfAddress string
		// Process is the ProcessID of this process.
		Process uint64
		// Limit returns a workspace's limit over the fleet, and whether it has one.
		Limit func(workspace string) (quota.Limit, bool)
		// Part returns the fraction of all limits that is this instance's own. It is
		// zero while other instances may not know of this one.
		Part func() float64
	}

	// RateLimiter admits requests within their workspaces' rates. It owns the token
	// buckets of some workspaces and fetches tokens for the others from the instances
	// that own theirs, to which it lends its part of their limits. It implements
	// Admitter and is safe for concurrent use. The lock is not held during calls to
	// peers, and no other RateLimiter's lock is taken while it is held.
	RateLimiter struct {
		config RateLimiterConfig

		mu sync.Mutex
		// workspaces is keyed by name.
		workspaces map[string]*workspaceTokens
		// lenders holds, by instance, the process that has sent messages last.
		lenders map[string]uint64
		// offers holds the latest offers by the addresses of the peers.
		offers map[string]peerOffer
	}

	// peerOffer is a peer's offer to borrow parts for longer, in response to a message that
	// was sent at a time.
	peerOffer struct {
		offer  *wire.PartOffer
		sentAt clock.Millis
		// lendAgain is set if the peer did not have all loans that were to be renewed.
		lendAgain bool
	}

	// workspaceTokens are the tokens of one workspace that this instance has fetched,
	// the requests that wait for more, and the tokens that it can give out itself.
	workspaceTokens struct {
		quota.TokenCache
		waiters []chan struct{}
		// pendingWaiters are the waiters that the exchange in progress is for.
		pendingWaiters []chan struct{}
		// bucket is filled by the parts of the limit that are used here.
		bucket *quota.Bucket
		// part is this instance's own part of the limit.
		part quota.Part
		// exchanging holds the addresses to which an exchange is in progress.
		exchanging map[string]bool
		// redirectedTo is the address of the owner that a former one has named, which is
		// asked until redirectUntil.
		redirectedTo  string
		redirectUntil clock.Millis
		// noPartSince is since when the owner has had no part of the limit, or zero.
		noPartSince clock.Millis
		// ownerFailed is set if the last exchange with the owner has failed, for the log.
		ownerFailed bool
	}
)

const (
	// maxTokenWait is how long a request may wait for a token.
	maxTokenWait = 160 * time.Millisecond
	// maxTokenWaiters limits the requests of one workspace that wait for tokens.
	maxTokenWaiters = 64
)

// ProcessID returns the number that identifies a process in loans.
func ProcessID(incarnation string) uint64 {
	return xxhash.Sum64String(incarnation)
}

// NewRateLimiter returns a rate limiter without tokens and buckets.
func NewRateLimiter(config RateLimiterConfig) *RateLimiter {
	return &RateLimiter{config: config, workspaces: make(map[string]*workspaceTokens), lenders: make(map[string]uint64), offers: make(map[string]peerOffer)}
}

// Admit implements Admitter. It waits up to maxTokenWait for a token from the bucket's
// owner.
func (r *RateLimiter) Admit(ctx context.Context, workspace string) bool {
	admitted, wait := r.takeOrWait(workspace)
	if wait == nil {
		return admitted
	}
	go r.fetch(workspace)
	timer := time.NewTimer(maxTokenWait)
	defer timer.Stop()
	select {
	case <-wait:
	case <-timer.C:
	case <-ctx.Done():
	}
	return r.take(workspace)
}

// Describe implements Admitter.
func (r *RateLimiter) Describe(workspace string) []any {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := r.tokensOf(now, workspace)
	inBucket, fraction := tokens.bucket.State(now)
	return []any{
		"owner", r.ownerAddress(now, workspace), "owner_here", r.ownsBucket(workspace), "owner_failed", tokens.ownerFailed,
		"tokens", math.Round(tokens.Tokens()*100) / 100, "bucket_tokens", math.Round(inBucket*100) / 100, "bucket_part", math.Round(fraction*1000) / 1000,
		"own_part", math.Round(r.config.Part()*1000) / 1000, "lent_to", tokens.part.LentTo(now), "empty_ms", int64(tokens.ExhaustedFor(now)),
		"waiting", len(tokens.waiters) + len(tokens.pendingWaiters),
	}
}

// fetch exchanges messages with the owner of a workspace's bucket at once.
func (r *RateLimiter) fetch(workspace string) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	address := r.ownerAddress(now, workspace)
	r.mu.Unlock()
	r.exchange(address, []string{workspace})
}

// take takes a token that was fetched or, if there is none, one of this instance's own
// bucket, and reports whether it got one.
func (r *RateLimiter) take(workspace string) bool {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := r.tokensOf(now, workspace)
	return tokens.Spend() || tokens.bucket.Take(now, 1) >= 1
}

// Refund implements Admitter.
func (r *RateLimiter) Refund(workspace string) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := r.tokensOf(now, workspace)
	if r.ownsBucket(workspace) {
		tokens.bucket.Return(now, 1)
		return
	}
	tokens.Refund()
}

// takeOrWait takes a token and reports whether it got one. If waiting for the bucket's
// owner can help, it also returns a channel that is closed after the next exchange.
func (r *RateLimiter) takeOrWait(workspace string) (bool, <-chan struct{}) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := r.tokensOf(now, workspace)
	tokens.ObserveRequest(now)
	if tokens.Spend() {
		return true, nil
	}
	if tokens.bucket.Take(now, 1) >= 1 {
		return true, nil
	}
	if r.ownsBucket(workspace) || tokens.IsExhausted(now) || len(tokens.waiters) >= maxTokenWaiters {
		return false, nil
	}
	wait := make(chan struct{})
	tokens.waiters = append(tokens.waiters, wait)
	return false, wait
}

// tokensOf returns the tokens of a workspace, with the limit of its bucket up to date, and
// this instance's part in the bucket unless it is lent to a peer. The caller must hold the
// lock.
func (r *RateLimiter) tokensOf(now clock.Millis, workspace string) *workspaceTokens {
	limit, _ := r.config.Limit(workspace)
	tokens, ok := r.workspaces[workspace]
	if !ok {
		tokens = &workspaceTokens{bucket: quota.NewBucket(now, limit), exchanging: make(map[string]bool)}
		r.workspaces[workspace] = tokens
	}
	tokens.bucket.SetLimit(now, limit)
	if tokens.part.IsHere(now) {
		loan := quota.Loan{Fraction: r.config.Part(), Until: now + quota.PartTerm, Sequence: tokens.part.NextSequence()}
		tokens.bucket.Lend(now, r.config.Process, loan)
	}
	return tokens
}

// ownsBucket reports whether this instance owns a workspace's token bucket.
func (r *RateLimiter) ownsBucket(workspace string) bool {
	return r.config.BucketOwner(workspace).GetInstance() == r.config.Self
}

// SyncBuckets updates the buckets of the workspaces, so that they fill before the first
// request, and removes workspaces that have no limit any more.
func (r *RateLimiter) SyncBuckets(workspaces []string) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, workspace := range workspaces {
		r.tokensOf(now, workspace)
	}
	for workspace, tokens := range r.workspaces {
		if _, limited := r.config.Limit(workspace); !limited && len(tokens.exchanging) == 0 && tokens.part.IsHere(now) && len(tokens.waiters) == 0 {
			delete(r.workspaces, workspace)
		}
	}
}
