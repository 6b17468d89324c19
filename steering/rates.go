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
		purses  map[string]*purse
		buckets map[string]*quota.Bucket
		// lostAt is when this instance ceased to keep a bucket.
		lostAt map[string]clock.Millis
		// asking holds the workspaces that are being asked for.
		asking map[string]bool
	}

	// purse is one workspace's tokens here and the requests that wait for some.
	purse struct {
		quota.Purse
		waiters []chan struct{}
		// asked are the waiters that the running ask is for.
		asked []chan struct{}
		// own is this instance's even part of the rate, for as long as the
		// keeper does not answer.
		own          *quota.Bucket
		unansweredAt clock.Millis
	}
)

const (
	rateInterval = 400 * time.Millisecond
	// rateWait is how long a request may wait for a token.
	rateWait = 160 * time.Millisecond
	// rateTimeout bounds one exchange with a keeper.
	rateTimeout = 400 * time.Millisecond
	// ownFor is how long after a keeper did not answer the own part is used.
	ownFor = clock.Second
	// keepOver is how long a former keeper goes on serving those that have not
	// heard of the next one.
	keepOver = 400 * clock.Millis(1)
	// maxRateWaiters bounds the requests of one workspace that wait.
	maxRateWaiters = 64
)

// NewRateLimiter returns rates without tokens.
func NewRateLimiter(config RateLimiterConfig) *RateLimiter {
	return &RateLimiter{
		config:  config,
		purses:  make(map[string]*purse),
		buckets: make(map[string]*quota.Bucket),
		lostAt:  make(map[string]clock.Millis),
		asking:  make(map[string]bool),
	}
}

// Admit implements Admitter. It waits a short while for a token from the keeper.
func (r *RateLimiter) Admit(ctx context.Context, workspace string) bool {
	admitted, wait := r.spendOrWait(workspace)
	if wait == nil {
		return admitted
	}
	r.ask(workspace)
	timer := time.NewTimer(rateWait)
	defer timer.Stop()
	select {
	case <-wait:
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.purse(workspace)
	return p.Spend() || r.spendOwn(workspace, p)
}

// spendOwn takes a token of this instance's even part while the keeper does not
// answer. The caller holds the lock.
func (r *RateLimiter) spendOwn(workspace string, p *purse) bool {
	now := r.config.Clock.Now()
	if p.unansweredAt == 0 || now-p.unansweredAt > ownFor {
		return false
	}
	limit, _ := r.config.Limit(workspace)
	part := limit.WithScale(1 / float64(max(r.config.InstanceCount(), 1)))
	if p.own == nil {
		p.own = quota.NewBucket(now, part)
	}
	p.own.SetLimit(now, part)
	return p.own.Take(now, 1) >= 1
}

// spendOrWait takes a token, or returns a channel that is closed with the
// keeper's answer.
func (r *RateLimiter) spendOrWait(workspace string) (bool, <-chan struct{}) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.purse(workspace)
	p.Observe(now)
	if p.Spend() {
		return true, nil
	}
	if r.keeps(workspace) {
		return r.bucket(now, workspace).Take(now, 1) >= 1, nil
	}
	if p.IsEmpty(now) || len(p.waiters) >= maxRateWaiters {
		return false, nil
	}
	wait := make(chan struct{})
	p.waiters = append(p.waiters, wait)
	return false, wait
}

// purse returns a workspace's purse. The caller holds the lock.
func (r *RateLimiter) purse(workspace string) *purse {
	p, ok := r.purses[workspace]
	if !ok {
		p = &purse{}
		r.purses[workspace] = p
	}
	return p
}

func (r *RateLimiter) keeps(workspace string) bool {
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
		for keeper, workspaces := range r.byKeeper() {
			go r.exchange(keeper, workspaces)
		}
		clock.Pause(ctx, rateInterval)
	}
}

// byKeeper lists the workspaces with purses by their keepers' addresses.
func (r *RateLimiter) byKeeper() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]string)
	for workspace := range r.purses {
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
		if r.keeps(workspace) {
			r.bucket(now, workspace)
			delete(r.lostAt, workspace)
			continue
		}
		if r.buckets[workspace] == nil {
			continue
		}
		if _, ok := r.lostAt[workspace]; !ok {
			r.lostAt[workspace] = now
		}
		if now-r.lostAt[workspace] > keepOver {
			delete(r.buckets, workspace)
			delete(r.lostAt, workspace)
		}
	}
}

// ask fetches tokens of one workspace at once.
func (r *RateLimiter) ask(workspace string) {
	go r.exchange(r.config.BucketOwner(workspace).GetPeerAddress(), []string{workspace})
}

// exchange asks a keeper for what some workspaces lack and gives back what they
// do not need. A workspace is asked for once at a time.
func (r *RateLimiter) exchange(address string, workspaces []string) {
	ask := r.prepare(workspaces)
	if len(ask.GetWants()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rateTimeout)
	defer cancel()
	response, err := r.config.Network.Call(ctx, address, &wire.PeerRequest{Body: &wire.PeerRequest_TokenAsk{TokenAsk: ask}})
	if err != nil {
		r.config.Log.Debug("fetching tokens failed", "peer", address, "error", err.Error())
	}
	if again := r.settle(ask, response.GetTokenGrant()); len(again) > 0 {
		r.exchange(address, again)
	}
}

func (r *RateLimiter) prepare(workspaces []string) *wire.TokenAsk {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	ask := &wire.TokenAsk{}
	for _, workspace := range workspaces {
		if r.asking[workspace] {
			continue
		}
		p := r.purse(workspace)
		p.asked, p.waiters = p.waiters, nil
		want := &wire.TokenWant{Workspace: workspace, Tokens: p.Want(now, len(p.asked))}
		if want.GetTokens() == 0 {
			want.GiveBack = p.Surplus(now)
		}
		if want.GetTokens() > 0 || want.GetGiveBack() > 0 {
			r.asking[workspace] = true
			ask.Wants = append(ask.Wants, want)
		}
	}
	return ask
}

// settle takes in a grant and wakes the requests that it was for. It returns the
// workspaces for which others wait by now. A peer that is not the keeper grants
// no part at all, like one that does not answer.
func (r *RateLimiter) settle(ask *wire.TokenAsk, grant *wire.TokenGrant) []string {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	granted := make(map[string]bool, len(grant.GetParts()))
	for _, part := range grant.GetParts() {
		granted[part.GetWorkspace()] = true
		r.purse(part.GetWorkspace()).Add(now, part.GetTokens(), clock.Millis(part.GetEmptyMs()))
	}
	var again []string
	for _, want := range ask.GetWants() {
		p := r.purse(want.GetWorkspace())
		delete(r.asking, want.GetWorkspace())
		if granted[want.GetWorkspace()] {
			p.unansweredAt, p.own = 0, nil
		} else {
			p.unansweredAt = now
		}
		for _, wait := range p.asked {
			close(wait)
		}
		p.asked = nil
		if len(p.waiters) > 0 {
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
		if !limited || (!r.keeps(want.GetWorkspace()) && r.buckets[want.GetWorkspace()] == nil) {
			continue
		}
		b := r.bucket(now, want.GetWorkspace())
		b.Put(now, want.GetGiveBack())
		part := &wire.TokenPart{Workspace: want.GetWorkspace(), Tokens: b.Take(now, want.GetTokens())}
		if part.GetTokens() < 1 && want.GetTokens() > 0 {
			part.EmptyMs = int64(b.EmptyFor(now))
		}
		grant.Parts = append(grant.Parts, part)
	}
	return grant
}
