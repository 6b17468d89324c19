// Package tokens enforces the rates of workspaces over a fleet. Each instance leases its share
// of all limits to a few owners of token buckets; the leases are stated in the gossip's
// heartbeats, which renew them. Tokens are requested from the owners when requests need them.
// It addresses workspaces that send to all instances at once, around stops, kills, pauses and
// different views of the fleet, and fleets whose workspaces are mostly idle.
package tokens

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

type (
	// Config configures a Limiter.
	Config struct {
		// Clock also runs while the machine is suspended, since leases end meanwhile.
		Clock   clock.Clock
		Log     hclog.Logger
		Metrics metrics.Registry
		Network peer.Network
		Fleet   Fleet
		// Self is the name of this instance, SelfAddress its peer address.
		Self        string
		SelfAddress string
		// Process is the fleet.ProcessID of this process.
		Process uint64
		// Limit returns a workspace's limit over the fleet, and whether it has one.
		Limit func(workspace string) (quota.Limit, bool)
	}

	// Fleet is this instance's view of the fleet.
	Fleet interface {
		// Share returns the fraction of all limits that is the share of each instance, or
		// zero while it is not known.
		Share() float64
		// MayLease reports whether all others count this instance among those that have a
		// share, so that it may be used.
		MayLease() bool
		// Owners returns the instances among which the token buckets are divided, in an
		// order that all instances with the same view agree on.
		Owners() []Owner
		// HasEnded reports whether a process is known to have ended, IsSilent whether it has
		// not been heard from lately and may have.
		HasEnded(owner Owner) bool
		IsSilent(owner Owner) bool
		// LeaseTerm returns how long a lease holds after it was last stated.
		LeaseTerm() clock.Millis
		// LeaseReports returns the latest leases of the other processes, and SetLease sets
		// what the others hear of this one's.
		LeaseReports() []fleet.LeaseReport
		SetLease(number int64, lease *wire.Lease)
	}

	// Owner is a process that owns token buckets.
	Owner struct {
		quota.Owner
		Instance string
		Address  string
		// StartedAt is when the process started, by the store's clock; zero if that is not
		// known.
		StartedAt clock.Millis
	}

	// Limiter admits requests within their workspaces' rates. It owns the token buckets of
	// some workspaces and fetches tokens for the others from the instances that own theirs.
	// It is safe for concurrent use. The lock is not held during calls to peers, and no other
	// Limiter's lock is taken while it is held.
	Limiter struct {
		config Config

		mu sync.Mutex
		// workspaces is keyed by name. Workspaces without requests have no entry.
		workspaces map[string]*workspaceTokens
		lessor     *quota.Lessor
		ledger     *quota.Ledger
		// share is the size of a share that the buckets use, mayLease whether this
		// instance's own counts.
		share    float64
		mayLease bool
		// history says what the buckets of workspaces without an entry have earned.
		history *history
		// createdAt is when the process started.
		createdAt clock.Millis
		// startedAt is when the proof was found that all instances have restarted, if it was.
		startedAt clock.Millis
		// owners holds the processes that the present lease names.
		owners map[uint64]Owner
		// peers is keyed by peer address.
		peers map[string]*peerState
		// decoded holds the content of leases by the hashes that reports use; nil for those
		// that cannot be used.
		decoded map[uint64]*decodedLease
		// moved are tokens of this instance's share that former owners have returned, by
		// workspace. They are offered to the new owners until movedUntil.
		moved      map[string]float64
		movedUntil clock.Millis
		// rejectedAt is when a lease was last logged that cannot be used.
		rejectedAt clock.Millis
	}

	// peerState is what this instance knows of its exchanges with a peer.
	peerState struct {
		// process is the process that has answered last, at heardAt. echo is the time by its
		// clock, leaseNumber the lease that it knows.
		process     uint64
		heardAt     clock.Millis
		echo        clock.Millis
		leaseNumber int64
		// stating is set while an exchange that states the lease is in progress.
		stating bool
		// failures counts the exchanges in a row that have failed.
		failures int
	}

	decodedLease struct {
		*quota.Lease
		hash uint64
	}

	// workspaceTokens are the tokens of one workspace that this instance has fetched,
	// the requests that wait for more, and the tokens that it can grant itself.
	workspaceTokens struct {
		quota.TokenCache
		key     uint64
		waiters []*waiter
		// pendingWaiters are the waiters that the exchange in progress is for.
		pendingWaiters []*waiter
		// waking is set while a call is about to wake those that wait for this instance's own
		// bucket. Without it each of them would wake all.
		waking bool
		// bucket is filled by the shares of the limit that are leased to this instance.
		bucket *quota.Bucket
		// usedAt is when a request or a peer last asked for a token.
		usedAt clock.Millis
		// exchanging holds, by the addresses of the peers, since when an exchange is in
		// progress.
		exchanging map[string]clock.Millis
		// redirectedTo is the address of the owner that a former one has named, which is
		// asked until redirectUntil.
		redirectedTo  string
		redirectUntil clock.Millis
		// noPartSince is since when the owner has had no share of the limit, or zero.
		noPartSince clock.Millis
		// ownerFailed is set if the last exchange with the owner has failed, for the log.
		ownerFailed bool
	}
)

const (
	// maxTokenWait is how long a request may wait for a token.
	maxTokenWait = 160 * clock.Millis(1)
	// startTokenWait is the same within startTime after the start of the process or of the
	// whole fleet. When all instances start together, the proof that lets the owners grant
	// tokens takes two or three calls to the store, and buckets begin empty.
	startTokenWait = 300 * clock.Millis(1)
	// startTime is how long after the start of the process, or of the whole fleet, requests
	// wait for tokens that are about to be earned: the requests that have waited for the
	// start ask all at once.
	startTime = 1500 * clock.Millis(1)
	// maxTokenWaiters limits the requests of one workspace that wait for tokens.
	maxTokenWaiters = 64
	// idleTime is how long after its last use a workspace whose bucket is full is kept.
	idleTime = 5 * clock.Second
)

// NewLimiter returns a Limiter without tokens and leases.
func NewLimiter(config Config) *Limiter {
	return &Limiter{
		config: config, createdAt: config.Clock.Now(), startedAt: config.Clock.Now() - startTime, workspaces: make(map[string]*workspaceTokens), history: newHistory(config.Clock.Now(), holding{}),
		lessor: quota.NewLessor(config.Process), ledger: quota.NewLedger(config.Process),
		owners: make(map[uint64]Owner), peers: make(map[string]*peerState), decoded: make(map[uint64]*decodedLease), moved: make(map[string]float64),
	}
}

// Admit reports whether a request of a workspace is within its rate. It waits up to
// tokenWait for a token.
func (l *Limiter) Admit(ctx context.Context, workspace string) bool {
	admitted, waiting := l.takeOrWait(workspace)
	if waiting == nil {
		return admitted
	}
	timer := time.NewTimer(l.tokenWait().Duration())
	defer timer.Stop()
	for waiting != nil {
		go l.fetch(workspace)
		select {
		case <-waiting.woken:
			admitted, waiting = l.takeOrWaitAgain(workspace, waiting)
		case <-timer.C:
			return l.takeAtLast(workspace, waiting)
		case <-ctx.Done():
			return l.takeAtLast(workspace, waiting)
		}
	}
	return admitted
}

// tokenWait returns how long a request may wait for a token.
func (l *Limiter) tokenWait() clock.Millis {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isStarting(now) {
		return startTokenWait
	}
	return maxTokenWait
}

// Describe returns the state of a workspace's rate limit as key-value pairs for the log.
func (l *Limiter) Describe(workspace string) []any {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens := l.tokensOf(now, workspace)
	inBucket, fraction := tokens.bucket.State(now)
	_, lease := l.lessor.Statement()
	own := 0.0
	if l.config.Fleet.MayLease() {
		own = l.share
	}
	return []any{
		"owner", l.ownerAddress(now, tokens), "owner_here", l.ownsBucket(tokens), "owner_failed", tokens.ownerFailed,
		"tokens", math.Round(tokens.Tokens()*100) / 100, "bucket_tokens", math.Round(inBucket*100) / 100, "bucket_part", math.Round(fraction*1000) / 1000,
		"own_part", math.Round(own*1000) / 1000, "lent_to", l.owners[lease.Borrower(tokens.key)].Address, "empty_ms", int64(tokens.ExhaustedFor(now)),
		"waiting", len(tokens.waiters) + len(tokens.pendingWaiters),
	}
}

// Refund gives back the token of a request that was not run.
func (l *Limiter) Refund(workspace string) {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens := l.tokensOf(now, workspace)
	if l.ownsBucket(tokens) {
		tokens.bucket.Return(now, 1)
		return
	}
	tokens.Refund()
}

// takeOrWait takes a token and reports whether it got one. If waiting can help, it also returns
// the waiter of the request, which is woken when the request is to try again: after an exchange
// with the bucket's owner, or after a pause if that is this instance.
func (l *Limiter) takeOrWait(workspace string) (bool, *waiter) {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens := l.tokensOf(now, workspace)
	tokens.usedAt = now
	tokens.ObserveRequest(now)
	if tokens.take(now) {
		return true, nil
	}
	if tokens.IsExhausted(now) || len(tokens.waiters) >= maxTokenWaiters || (l.ownerAddress(now, tokens) == l.config.SelfAddress && !l.isStarting(now)) {
		return false, nil
	}
	return false, tokens.addWaiter()
}

// takeOrWaitAgain is takeOrWait for a request that has been woken. It goes on waiting only for
// this instance's own bucket.
func (l *Limiter) takeOrWaitAgain(workspace string, woken *waiter) (bool, *waiter) {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens := l.tokensOf(now, workspace)
	if woken.hasToken || tokens.take(now) {
		return true, nil
	}
	if l.ownerAddress(now, tokens) != l.config.SelfAddress || !l.isStarting(now) {
		return false, nil
	}
	return false, tokens.addWaiter()
}

// takeAtLast takes a token for a request that waits no longer, and reports whether it got one.
func (l *Limiter) takeAtLast(workspace string, waiting *waiter) bool {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens := l.tokensOf(now, workspace)
	tokens.removeWaiter(waiting)
	return waiting.hasToken || tokens.take(now)
}

// isStarting reports whether the process or the whole fleet has just started, so that buckets
// may begin to fill at any moment. The caller must hold the lock.
func (l *Limiter) isStarting(now clock.Millis) bool {
	return now-max(l.createdAt, l.startedAt) < startTime
}

// tokensOf returns the tokens of a workspace, with the limit and the fraction of its bucket up
// to date. A bucket that was not used has filled with the leases of each time. The caller must
// hold the lock.
func (l *Limiter) tokensOf(now clock.Millis, workspace string) *workspaceTokens {
	l.syncLeases(now)
	limit, _ := l.config.Limit(workspace)
	tokens, ok := l.workspaces[workspace]
	if !ok {
		tokens = &workspaceTokens{key: quota.Key(workspace), usedAt: now, exchanging: make(map[string]clock.Millis)}
		tokens.bucket = l.history.bucket(tokens.key, limit)
		l.workspaces[workspace] = tokens
		return tokens
	}
	tokens.bucket.SetLimit(now, limit)
	return tokens
}

// route returns the process that owns a workspace's bucket, according to this instance's lease
// or, without one, its view of the fleet. A former owner that may still use the share is asked
// while it lives. The caller must hold the lock.
func (l *Limiter) route(tokens *workspaceTokens) Owner {
	_, lease := l.lessor.Statement()
	if len(lease.Owners) == 0 {
		return chooseOwner(l.config.Fleet.Owners(), tokens.key)
	}
	owner := lease.Owners.For(tokens.key)
	if former := lease.Former.For(tokens.key); former.Process != 0 && former.Process != owner.Process && l.lessor.IsWaiting(former.Process) && l.failuresOf(former.Process) == 0 {
		owner = former
	}
	return l.owners[owner.Process]
}

// chooseOwner returns the owner of the bucket of a workspace, given its key.
func chooseOwner(candidates []Owner, key uint64) Owner {
	chosen := quotaOwners(candidates).For(key)
	for _, owner := range candidates {
		if owner.Process == chosen.Process {
			return owner
		}
	}
	return Owner{}
}

// ownsBucket reports whether this instance owns a workspace's token bucket. The caller must
// hold the lock.
func (l *Limiter) ownsBucket(tokens *workspaceTokens) bool {
	return l.route(tokens).Process == l.config.Process
}

// ownerAddress returns the address of the peer that owns a workspace's bucket: the one that
// a former owner has named lately, or the one that this instance leases its share to. The
// caller must hold the lock.
func (l *Limiter) ownerAddress(now clock.Millis, tokens *workspaceTokens) string {
	if now < tokens.redirectUntil {
		return tokens.redirectedTo
	}
	if owner := l.route(tokens); owner.Process != 0 {
		return owner.Address
	}
	return l.config.SelfAddress
}
