package quota

import (
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Ledger holds the leases of all processes, as far as they are known to one owner of
	// token buckets, and counts the shares that are leased to it. The zero value is not
	// usable. It is not safe for concurrent use.
	Ledger struct {
		// process is the owner.
		process uint64
		lessors map[uint64]*ledgerEntry
		// groups holds the leases that hold now by their hashes: most lessors state the
		// same one.
		groups map[uint64]*ledgerGroup
		// nextEnd is a time before which no lease ends.
		nextEnd clock.Millis
	}

	// ledgerEntry is the latest lease of one lessor.
	ledgerEntry struct {
		number int64
		lease  *Lease
		hash   uint64
		// until is when it ends, by the owner's clock.
		until clock.Millis
		// holds is set until the lease has ended.
		holds bool
	}

	ledgerGroup struct {
		lease   *Lease
		lessors int
	}

	// Holdings are the leases that a process held at some time. They are immutable.
	Holdings struct {
		process uint64
		groups  []ledgerGroup
	}
)

// ledgerRetention is how long the number of a lease that has ended is kept. Earlier leases of
// the same lessor that are still under way have ended by then.
const ledgerRetention = 60 * clock.Second

// NewLedger returns the empty Ledger of a process.
func NewLedger(process uint64) *Ledger {
	return &Ledger{process: process, lessors: make(map[uint64]*ledgerEntry), groups: make(map[uint64]*ledgerGroup), nextEnd: unknownTime}
}

// Renew extends a lease that holds, unless the lessor has paused it. It reports false if the
// lessor's latest lease is another one or has ended.
func (l *Ledger) Renew(lessor uint64, number int64, until clock.Millis) bool {
	entry, ok := l.lessors[lessor]
	if !ok || !entry.holds || entry.number != number {
		return false
	}
	if entry.lease.renews(l.process) {
		entry.until = max(entry.until, until)
	}
	return true
}

// Record records a lease, given its hash, until a time by the owner's clock. Earlier leases
// than the latest one have no effect. It reports whether the counts of shares may have changed.
func (l *Ledger) Record(now clock.Millis, lessor uint64, number int64, lease *Lease, hash uint64, until clock.Millis) bool {
	entry, ok := l.lessors[lessor]
	if !ok {
		entry = &ledgerEntry{}
		l.lessors[lessor] = entry
		if !lease.renews(l.process) {
			until = now
		}
	}
	if ok && number < entry.number {
		return false
	}
	if !ok || lease.renews(l.process) {
		entry.until = max(entry.until, until)
	}
	holds := entry.until > now
	if ok && number == entry.number && holds == entry.holds {
		return false
	}
	l.leave(entry)
	entry.number, entry.lease, entry.hash = number, lease, hash
	if holds {
		l.join(entry)
	}
	return true
}

// join adds a lease that holds to its group.
func (l *Ledger) join(entry *ledgerEntry) {
	entry.holds = true
	l.nextEnd = min(l.nextEnd, entry.until)
	if group, ok := l.groups[entry.hash]; ok {
		group.lessors++
		return
	}
	l.groups[entry.hash] = &ledgerGroup{lease: entry.lease, lessors: 1}
}

// leave removes a lease from its group, if it holds.
func (l *Ledger) leave(entry *ledgerEntry) {
	if !entry.holds {
		return
	}
	entry.holds = false
	group := l.groups[entry.hash]
	group.lessors--
	if group.lessors == 0 {
		delete(l.groups, entry.hash)
	}
}

// Number returns the number of a lessor's latest lease, or zero.
func (l *Ledger) Number(lessor uint64) int64 {
	if entry, ok := l.lessors[lessor]; ok {
		return entry.number
	}
	return 0
}

// Lease returns a lessor's latest lease, or nil if it does not hold.
func (l *Ledger) Lease(lessor uint64) *Lease {
	if entry, ok := l.lessors[lessor]; ok && entry.holds {
		return entry.lease
	}
	return nil
}

// NextEnd returns a time before which no lease ends.
func (l *Ledger) NextEnd() clock.Millis {
	return l.nextEnd
}

// Expire ends the leases whose terms are over. It reports whether there were any.
func (l *Ledger) Expire(now clock.Millis) bool {
	expired := false
	l.nextEnd = unknownTime
	for lessor, entry := range l.lessors {
		switch {
		case entry.holds && entry.until <= now:
			l.leave(entry)
			expired = true
		case entry.holds:
			l.nextEnd = min(l.nextEnd, entry.until)
		case now-entry.until > ledgerRetention:
			delete(l.lessors, lessor)
		}
	}
	return expired
}

// FirstEnd returns the end of the lease that ends first.
func (l *Ledger) FirstEnd() clock.Millis {
	first := unknownTime
	for _, entry := range l.lessors {
		if entry.holds {
			first = min(first, entry.until)
		}
	}
	l.nextEnd = first
	return first
}

// Shares returns how many shares of a workspace's limit are leased to the owner.
func (l *Ledger) Shares(workspace uint64) int {
	return l.Holdings().Shares(workspace)
}

// Holdings returns the leases that hold now.
func (l *Ledger) Holdings() Holdings {
	holdings := Holdings{process: l.process, groups: make([]ledgerGroup, 0, len(l.groups))}
	for _, group := range l.groups {
		holdings.groups = append(holdings.groups, *group)
	}
	return holdings
}

// WithoutLessorOf returns the leases without one of the lessors of a lease, which may be nil.
func (h Holdings) WithoutLessorOf(lease *Lease) Holdings {
	if lease == nil {
		return h
	}
	hash := lease.Hash()
	groups := slices.Clone(h.groups)
	for i, group := range groups {
		if group.lease.Hash() == hash {
			groups[i].lessors--
		}
	}
	return Holdings{process: h.process, groups: groups}
}

// Leases returns how many different leases these are.
func (h Holdings) Leases() int {
	return len(h.groups)
}

// Shares returns how many shares of a workspace's limit the leases give the process.
func (h Holdings) Shares(workspace uint64) int {
	shares := 0
	for _, group := range h.groups {
		if group.lessors > 0 && group.lease.Borrower(workspace) == h.process {
			shares += group.lessors
		}
	}
	return shares
}
