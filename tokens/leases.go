package tokens

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/rcrowley/go-metrics"
)

const (
	// rejectLogInterval bounds the log lines about leases that cannot be used.
	rejectLogInterval = 10 * clock.Second
	// maxDecoded bounds the leases that are kept in decoded form.
	maxDecoded = 256
	// restartNumber is the number of leases that follow from the proof that all instances
	// have restarted. Those that are stated have higher numbers.
	restartNumber = 0
	// movedTime is how long the tokens that former owners have returned are offered to the new
	// ones.
	movedTime = 2 * clock.Second
	// forever is the end of this process's lease to itself.
	forever = clock.Millis(1) << 60
)

// Refresh brings the leases up to date: those of the others as far as they are known here, and
// this instance's own, which follows its view of the owners. It removes workspaces that are
// idle, and returns the peers that have to hear of a changed lease.
func (l *Limiter) Refresh() []string {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncLeases(now)
	l.pullReports(now)
	l.removeIdle(now)
	return l.updateLease(now)
}

// syncLeases ends the leases whose terms are over, each at its time, and follows the size of a
// share. The caller must hold the lock.
func (l *Limiter) syncLeases(now clock.Millis) {
	for now >= l.ledger.NextEnd() {
		l.renewReported()
		end := l.ledger.FirstEnd()
		if end > now {
			break
		}
		l.ledger.Expire(end)
		l.setFractions(end)
	}
	if share, mayLease := l.config.Fleet.Share(), l.config.Fleet.MayLease(); share != l.share || mayLease != l.mayLease {
		l.share, l.mayLease = share, mayLease
		l.setFractions(now)
	}
}

// setFractions has all buckets filled with the leases of before up to now, and with the
// present ones from then on. The caller must hold the lock.
func (l *Limiter) setFractions(now clock.Millis) {
	l.history.add(now, l.holding())
	for _, tokens := range l.workspaces {
		tokens.bucket.SetFraction(now, l.fraction(tokens.key))
	}
}

// fraction returns the fraction of a workspace's limit that is leased to this instance. The
// caller must hold the lock.
func (l *Limiter) fraction(key uint64) float64 {
	return l.history.current().fraction(key)
}

// holding returns what is leased to this instance now. Its own share counts only while it may be
// used. The caller must hold the lock.
func (l *Limiter) holding() holding {
	leases := l.ledger.Holdings()
	if !l.mayLease {
		leases = leases.WithoutLessorOf(l.ledger.Lease(l.config.Process))
	}
	return holding{leases: leases, share: l.share}
}

// renewReported extends the leases that have been stated again. The caller must hold the lock.
func (l *Limiter) renewReported() {
	for _, report := range l.config.Fleet.LeaseReports() {
		if lease := l.decode(report); lease != nil {
			l.ledger.Renew(report.Process, report.Number, report.StatedAt+lease.Term)
		}
	}
}

// pullReports takes over the leases of the others that are known here. The caller must hold
// the lock.
func (l *Limiter) pullReports(now clock.Millis) {
	changed := false
	for _, report := range l.config.Fleet.LeaseReports() {
		lease := l.decode(report)
		if lease == nil || report.Process == l.config.Process {
			continue
		}
		until := report.StatedAt + lease.Term
		if l.ledger.Renew(report.Process, report.Number, until) || until <= now {
			continue
		}
		changed = l.ledger.Record(now, report.Process, report.Number, lease.Lease, lease.hash, until) || changed
	}
	if changed {
		l.setFractions(now)
	}
}

// decode returns the content of a reported lease, or nil if it cannot be used. The caller must
// hold the lock.
func (l *Limiter) decode(report fleet.LeaseReport) *decodedLease {
	if lease, ok := l.decoded[report.Hash]; ok {
		return lease
	}
	if len(l.decoded) >= maxDecoded {
		clear(l.decoded)
	}
	lease := l.checkLease("gossip", report.Lease)
	l.decoded[report.Hash] = lease
	return lease
}

// checkLease converts a lease that a peer has stated, or logs why it cannot be used and returns
// nil. The caller must hold the lock.
func (l *Limiter) checkLease(source string, message *wire.Lease) *decodedLease {
	lease := leaseFromWire(message)
	err := lease.Check()
	if err == nil {
		return &decodedLease{Lease: lease, hash: lease.Hash()}
	}
	metrics.GetOrRegisterCounter("quota.leases_rejected", l.config.Metrics).Inc(1)
	if now := l.config.Clock.Now(); l.rejectedAt == 0 || now-l.rejectedAt > rejectLogInterval {
		l.rejectedAt = now
		l.config.Log.Warn("lease of a peer cannot be used", "source", source, "error", err.Error())
	}
	return nil
}

// updateLease has this instance's lease follow its view of the owners, and publishes it. It
// returns the addresses of the peers that have to hear of it. The caller must hold the lock.
func (l *Limiter) updateLease(now clock.Millis) []string {
	var candidates []Owner
	if l.config.Fleet.MayLease() {
		candidates = l.config.Fleet.Owners()
	}
	changed := l.propose(now, candidates)
	for _, owner := range candidates {
		if _, named := l.owners[owner.Process]; named {
			l.owners[owner.Process] = owner
		}
	}
	paused := l.lessor.Pause(l.silentOwners())
	for _, process := range l.lessor.Waiting() {
		if l.config.Fleet.HasEnded(l.owners[process]) {
			l.lessor.End(process)
		}
	}
	if l.lessor.Settle(now) {
		changed = true
		// The view may have changed again meanwhile.
		if l.propose(now, candidates) {
			l.lessor.Settle(now)
		}
	}
	if changed || paused {
		l.publish(now, changed)
	}
	if !changed {
		return nil
	}
	return l.uninformed()
}

// silentOwners returns the owners that have not been heard from lately. The caller must hold
// the lock.
func (l *Limiter) silentOwners() []uint64 {
	var silent []uint64
	for process, owner := range l.owners {
		if l.config.Fleet.IsSilent(owner) {
			silent = append(silent, process)
		}
	}
	return silent
}

// propose starts the change to other owners of this instance's share. The tokens that belong
// to it are moved from its own bucket at once. The caller must hold the lock.
func (l *Limiter) propose(now clock.Millis, candidates []Owner) bool {
	_, before := l.lessor.Statement()
	if !l.lessor.Propose(quotaOwners(candidates), l.config.Fleet.LeaseTerm()) {
		return false
	}
	clear(l.moved)
	_, lease := l.lessor.Statement()
	for _, owner := range candidates {
		l.owners[owner.Process] = owner
	}
	for process := range l.owners {
		if !names(&lease, process) {
			delete(l.owners, process)
		}
	}
	if l.ledger.Lease(l.config.Process) == nil {
		return true
	}
	for workspace, tokens := range l.workspaces {
		if before.Borrower(tokens.key) == l.config.Process && lease.Owners.For(tokens.key).Process != l.config.Process {
			l.moved[workspace] = tokens.bucket.TakeShare(now, l.share)
		}
	}
	return true
}

// publish states this instance's present lease to the others and to its own buckets. A
// lease of which only the paused owners have changed is logged at debug level. The caller must
// hold the lock.
func (l *Limiter) publish(now clock.Millis, ownersChanged bool) {
	number, lease := l.lessor.Statement()
	l.config.Fleet.SetLease(number, leaseToWire(&lease))
	l.lessor.Published(l.config.Clock.Now())
	l.ledger.Record(now, l.config.Process, number, &lease, lease.Hash(), forever)
	l.setFractions(now)
	log := l.config.Log.Debug
	if ownersChanged {
		log = l.config.Log.Info
	}
	log("lease of the limits on workspaces", "number", number, "owners", len(lease.Owners), "former", len(lease.Former), "waiting", len(l.lessor.Waiting()), "paused", len(lease.Paused))
	if len(lease.Former) > 0 || len(l.moved) == 0 {
		return
	}
	if !ownersChanged {
		// The new owners may have received them with the lease before.
		clear(l.moved)
		return
	}
	l.movedUntil = now + movedTime
	for workspace, amount := range l.moved {
		if tokens, ok := l.workspaces[workspace]; ok && lease.Borrower(tokens.key) == l.config.Process {
			tokens.bucket.Return(now, amount)
			delete(l.moved, workspace)
		}
	}
}

// uninformed returns the addresses of the peers that have to hear of this instance's lease:
// the former owners that may still use the share, or all new ones. The caller must hold the
// lock.
func (l *Limiter) uninformed() []string {
	number, lease := l.lessor.Statement()
	var addresses []string
	for _, owner := range l.owners {
		isWaitedFor := len(lease.Former) == 0 || l.lessor.IsWaiting(owner.Process)
		if owner.Process != l.config.Process && isWaitedFor && !l.knowsLease(owner.Address, number) {
			addresses = append(addresses, owner.Address)
		}
	}
	return addresses
}

// StartTogether takes over the proof that all instances have restarted, from a list that was
// read at some time. Since the last start no tokens have been granted, so that buckets have
// filled since then. Each of the processes leases its share to the same owners for
// fleet.RestartTerm, unless it states another lease.
func (l *Limiter) StartTogether(restart *fleet.Restart, read fleet.StoreRead) {
	now := l.config.Clock.Now()
	owners := PickOwners(restart.Instances)
	lease := &quota.Lease{Owners: quotaOwners(owners), Term: l.config.Fleet.LeaseTerm()}
	until := read.Earliest(restart.First + fleet.RestartTerm)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = l.config.Fleet.Share()
	l.mayLease = l.config.Fleet.MayLease()
	l.ledger = quota.NewLedger(l.config.Process)
	for _, info := range restart.Instances {
		l.ledger.Record(now, fleet.ProcessID(info.GetIncarnation()), restartNumber, lease, lease.Hash(), until)
	}
	l.lessor.HoldUntil(read.Latest(restart.First + fleet.RestartTerm))
	l.propose(now, owners)
	l.publish(now, true)
	l.history, l.startedAt = newHistory(min(read.Latest(restart.Last), now), l.holding()), now
	for workspace, tokens := range l.workspaces {
		limit, _ := l.config.Limit(workspace)
		tokens.bucket = l.history.bucket(tokens.key, limit)
	}
}

// removeIdle removes the workspaces that are not used and whose entries hold nothing that a
// new one would not, and those that have no limit any more. The caller must hold the lock.
func (l *Limiter) removeIdle(now clock.Millis) {
	for workspace, tokens := range l.workspaces {
		_, limited := l.config.Limit(workspace)
		if len(tokens.exchanging) > 0 || len(tokens.waiters) > 0 || len(tokens.pendingWaiters) > 0 {
			continue
		}
		if !limited || (now-tokens.usedAt > idleTime && tokens.Tokens() < 1 && tokens.bucket.IsFull(now)) {
			delete(l.workspaces, workspace)
		}
	}
}
