package tokens

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
	// inform are the addresses of the peers that have to hear of a changed lease at once.
	inform []string
}

const (
	// exchangeInterval is the interval of the exchanges that fetch tokens ahead and return
	// surplus ones.
	exchangeInterval = 400 * time.Millisecond
	// noPartPause is the pause before a new owner that has no share of the limit yet is asked
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
	// firstAnswerTime is how long the first answer of a process may take before it is asked
	// again. It covers the handshake of a connection between regions.
	firstAnswerTime = 100 * clock.Millis(1)
	// takeBackTries is how often a stopping instance asks its owners to confirm that they do
	// not use its share any more.
	takeBackTries = 3
)

// Run fetches and returns tokens periodically, for the workspaces that have requests, until
// the context ends.
func (l *Limiter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for address, workspaces := range l.dueExchanges() {
			go l.exchange(address, workspaces)
		}
		clock.Sleep(ctx, exchangeInterval)
	}
}

// Sync brings the leases up to date, and tells the peers concerned at once if this instance's
// own has changed.
func (l *Limiter) Sync() {
	for _, address := range l.Refresh() {
		go l.exchange(address, nil)
	}
}

// TakeBack takes this instance's share back from all owners and reports whether none uses it
// any more. The Fleet's MayLease must have become false before.
func (l *Limiter) TakeBack() bool {
	l.Refresh()
	for range takeBackTries {
		addresses := l.waitingAddresses()
		if len(addresses) == 0 {
			break
		}
		var group sync.WaitGroup
		for _, address := range addresses {
			group.Go(func() { l.exchange(address, nil) })
		}
		group.Wait()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lessor.IsFree()
}

// waitingAddresses returns the addresses of the former owners that may still use this
// instance's share.
func (l *Limiter) waitingAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for _, process := range l.lessor.Waiting() {
		addresses = append(addresses, l.owners[process].Address)
	}
	return addresses
}

// dueExchanges returns, by the addresses of the peers, the workspaces for which tokens are due
// to be fetched or returned, and the former owners that have not confirmed a change yet.
func (l *Limiter) dueExchanges() map[string][]string {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncLeases(now)
	due := make(map[string][]string)
	for _, process := range l.lessor.Waiting() {
		due[l.owners[process].Address] = nil
	}
	for workspace, tokens := range l.workspaces {
		if !l.ownsBucket(tokens) && (tokens.TokensToFetch(now, len(tokens.waiters)) > 0 || tokens.Surplus(now) > 0) {
			address := l.ownerAddress(now, tokens)
			due[address] = append(due[address], workspace)
		}
	}
	return due
}

// exchange states this instance's lease to the peer at an address, unless it knows it, fetches
// the tokens that the workspaces need and returns surplus ones. Workspaces that have an
// exchange with that peer in progress are left out.
func (l *Limiter) exchange(address string, workspaces []string) {
	sentAt := l.config.Clock.Now()
	ask := l.buildAsk(address, workspaces)
	if ask == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	response, err := l.config.Network.Call(ctx, address, &wire.PeerRequest{Body: &wire.PeerRequest_TokenAsk{TokenAsk: ask}})
	if err != nil {
		l.config.Log.Debug("token exchange failed", "peer", address, "error", err.Error())
	}
	due := l.applyGrant(address, sentAt, ask, response.GetTokenGrant())
	for _, next := range due.inform {
		go l.exchange(next, nil)
	}
	time.Sleep(due.pause.Duration())
	for next, list := range due.byPeer {
		l.exchange(next, list)
	}
}

// buildAsk returns the message to the peer at an address about the workspaces, and marks
// these as having an exchange in progress. It returns nil if nothing is to be said.
func (l *Limiter) buildAsk(address string, workspaces []string) *wire.TokenAsk {
	if address == "" || address == l.config.SelfAddress {
		return nil
	}
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	ask := &wire.TokenAsk{Sender: l.config.Process, Instance: l.config.Self}
	for _, workspace := range workspaces {
		tokens := l.tokensOf(now, workspace)
		if l.ownerAddress(now, tokens) != address || l.isExchanging(now, tokens, address) {
			continue
		}
		want := tokens.buildWant(now, workspace)
		if want.GetTokens() > 0 || want.GetGiveBack() > 0 {
			tokens.exchanging[address] = now
			ask.Wants = append(ask.Wants, want)
		}
	}
	l.stateLease(now, address, ask)
	if len(ask.GetWants()) == 0 && ask.GetLease() == nil {
		return nil
	}
	return ask
}

// isExchanging reports whether an exchange with a peer about a workspace is in progress. One
// with a peer that has never answered may have been sent before that process listened, and is
// repeated. The caller must hold the lock.
func (l *Limiter) isExchanging(now clock.Millis, tokens *workspaceTokens, address string) bool {
	since, ok := tokens.exchanging[address]
	return ok && (l.peerAt(address).process != 0 || now-since < firstAnswerTime)
}

// buildWant returns what is to be fetched from the owner, or to be returned to it, and has the
// requests that wait do so for the response.
func (t *workspaceTokens) buildWant(now clock.Millis, workspace string) *wire.TokenWant {
	t.pendingWaiters, t.waiters = append(t.pendingWaiters, t.waiters...), nil
	want := &wire.TokenWant{Workspace: workspace, Waiting: int32(len(t.pendingWaiters))}
	want.Tokens = t.TokensToFetch(now, len(t.pendingWaiters))
	if want.GetTokens() == 0 {
		want.GiveBack = t.TakeSurplus(now)
	}
	return want
}

// stateLease adds this instance's lease to a message, if it concerns the peer and the peer does
// not know it, and the time as of which it is renewed. The caller must hold the lock.
func (l *Limiter) stateLease(now clock.Millis, address string, ask *wire.TokenAsk) {
	number, lease := l.lessor.Statement()
	process := l.ownerAt(address)
	if number == 0 || process == 0 {
		return
	}
	ask.LeaseNumber = number
	state := l.peerAt(address)
	ask.EchoProcess, ask.EchoMs = state.process, int64(state.echo)
	if state.stating || l.knowsLease(address, number) {
		return
	}
	state.stating = true
	ask.Lease = leaseToWire(&lease)
	if len(lease.Former) > 0 || now >= l.movedUntil {
		return
	}
	for workspace, amount := range l.moved {
		if lease.Borrower(quota.Key(workspace)) == process {
			ask.Moved = append(ask.Moved, &wire.MovedTokens{Workspace: workspace, Tokens: amount})
		}
	}
}

// ownerAt returns the process at an address that the present lease names, or zero. The caller
// must hold the lock.
func (l *Limiter) ownerAt(address string) uint64 {
	_, lease := l.lessor.Statement()
	for _, owner := range l.owners {
		if owner.Address == address && names(&lease, owner.Process) {
			return owner.Process
		}
	}
	return 0
}

// peerAt returns what is known of the peer at an address. The caller must hold the lock.
func (l *Limiter) peerAt(address string) *peerState {
	state, ok := l.peers[address]
	if !ok {
		state = &peerState{}
		l.peers[address] = state
	}
	return state
}

// knowsLease reports whether the peer at an address knows this instance's lease of a number.
// The caller must hold the lock.
func (l *Limiter) knowsLease(address string, number int64) bool {
	state, ok := l.peers[address]
	return ok && state.leaseNumber >= number && state.process == l.ownerAt(address)
}

// failuresOf returns how many exchanges with an owner have failed in a row. The caller must
// hold the lock.
func (l *Limiter) failuresOf(process uint64) int {
	if state, ok := l.peers[l.owners[process].Address]; ok {
		return state.failures
	}
	return 0
}

// applyGrant applies the response to a message that was sent to the peer at an address, and
// wakes the requests that wait for it. It returns the exchanges that are due: more requests
// have started to wait, the peer has named another owner or has no share of the limit yet, or
// this instance's lease has changed. A peer that does not own a bucket grants nothing, which
// has the same effect as no response.
func (l *Limiter) applyGrant(address string, sentAt clock.Millis, ask *wire.TokenAsk, grant *wire.TokenGrant) followUp {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	due := followUp{byPeer: make(map[string][]string)}
	due.inform = l.applyConfirmation(now, address, sentAt, ask, grant)
	parts := make(map[string]*wire.TokenPart, len(grant.GetParts()))
	for _, part := range grant.GetParts() {
		parts[part.GetWorkspace()] = part
	}
	for _, want := range ask.GetWants() {
		workspace := want.GetWorkspace()
		tokens, part := l.tokensOf(now, workspace), parts[workspace]
		if part == nil && tokens.exchanging[address] > sentAt+firstAnswerTime/2 {
			// A later exchange is in progress, which the requests wait for.
			continue
		}
		delete(tokens.exchanging, address)
		if want.GetTokens() > 0 && part != nil {
			tokens.Add(now, finite(part.GetTokens()), clock.Millis(part.GetEmptyMs()))
		}
		if part == nil && tokens.redirectedTo == address {
			tokens.redirectUntil = 0
		}
		if l.peerAt(part.GetOwnerAddress()).failures == 0 && tokens.redirect(now, part.GetOwnerAddress(), l.config.SelfAddress) {
			l.config.Log.Info("token bucket has another owner", "workspace", workspace, "former", address, "owner", tokens.redirectedTo)
			due.byPeer[tokens.redirectedTo] = append(due.byPeer[tokens.redirectedTo], workspace)
			continue
		}
		if tokens.awaitsPart(now, part.GetNoPart()) {
			tokens.wakeFirst(int(tokens.Tokens()))
			tokens.keepPending()
			due.pause = noPartPause
		}
		tokens.wakePending()
		tokens.ownerFailed = part == nil
		if len(tokens.waiters) > 0 {
			owner := l.ownerAddress(now, tokens)
			due.byPeer[owner] = append(due.byPeer[owner], workspace)
			if part == nil {
				due.pause = noPartPause
			}
		}
	}
	return due
}

// applyConfirmation applies what a response says of this instance's lease. It returns the peers
// that have to hear of the lease if it has changed by that. The caller must hold the lock.
func (l *Limiter) applyConfirmation(now clock.Millis, address string, sentAt clock.Millis, ask *wire.TokenAsk, grant *wire.TokenGrant) []string {
	state := l.peerAt(address)
	if ask.GetLease() != nil {
		state.stating = false
	}
	if grant == nil {
		state.failures++
		return nil
	}
	state.failures = 0
	sender := grant.GetSender()
	if sender != state.process && sentAt >= state.heardAt {
		// The process that has answered before has ended: it answered before this message
		// was sent, and only one process runs at an address.
		l.lessor.End(state.process)
		*state = peerState{process: sender, stating: state.stating}
	}
	if sender == state.process {
		state.heardAt = now
		state.echo = max(state.echo, clock.Millis(grant.GetAtMs()))
		state.leaseNumber = max(state.leaseNumber, grant.GetLeaseNumber())
	}
	l.lessor.Release(sender, grant.GetLeaseNumber())
	number, lease := l.lessor.Statement()
	if len(lease.Former) == 0 || ask.GetLeaseNumber() != number {
		return nil
	}
	for _, moved := range grant.GetReturned() {
		if limit, limited := l.config.Limit(moved.GetWorkspace()); limited {
			l.moved[moved.GetWorkspace()] = min(l.moved[moved.GetWorkspace()]+finite(moved.GetTokens()), l.share*limit.Burst)
		}
	}
	metrics.GetOrRegisterCounter("quota.parts_returned", l.config.Metrics).Inc(int64(len(grant.GetReturned())))
	return l.updateLease(now)
}

// redirect directs requests for tokens to the owner that a former owner has named, unless it
// is this instance or another redirection was followed less than redirectInterval ago. Requests
// that wait continue to wait. It reports whether the named owner is to be asked.
func (t *workspaceTokens) redirect(now clock.Millis, owner, self string) bool {
	if owner == "" || owner == self || now < t.redirectUntil-redirectTime+redirectInterval {
		return false
	}
	t.redirectedTo, t.redirectUntil = owner, now+redirectTime
	t.keepPending()
	return true
}

// awaitsPart reports whether requests wait for an owner that has no share of the limit yet, and
// can go on waiting.
func (t *workspaceTokens) awaitsPart(now clock.Millis, noPart bool) bool {
	if !noPart || t.noPartSince == 0 {
		t.noPartSince = 0
		if noPart {
			t.noPartSince = now
		}
	}
	return noPart && len(t.pendingWaiters) > 0 && now-t.noPartSince < startTime
}
