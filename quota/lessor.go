package quota

import (
	"math"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
)

// Lessor decides what an instance states about its share of all limits. It addresses owners
// of token buckets that come and go: a share passes to another owner only once the former one
// has confirmed that it does not use it any more, has ended, or can only know of leases whose
// terms are over. It is not safe for concurrent use.
type Lessor struct {
	// process is the lessor's own process, which acts on its statements at once.
	process uint64
	number  int64
	lease   Lease
	// longest is the longest term that was stated.
	longest clock.Millis
	// waiting holds the former owners that may still use the share of a workspace that has
	// another owner now.
	waiting map[uint64]struct{}
	// until is when all leases to former owners have ended. It is unknown until the present
	// lease is published.
	until clock.Millis
	// heldUntil is a time before which a former owner may use the share without a statement.
	heldUntil clock.Millis
}

const (
	unknownTime = clock.Millis(math.MaxInt64)
	// clockMargin is the fraction of a term that covers clocks of different speeds.
	clockMargin = 50
)

// NewLessor returns the Lessor of a process. It leases the share to nobody.
func NewLessor(process uint64) *Lessor {
	return &Lessor{process: process, waiting: make(map[uint64]struct{})}
}

// LeaseEnd returns when a lease that was last stated at the given time has ended by all clocks.
func LeaseEnd(statedAt, term clock.Millis) clock.Millis {
	return statedAt + term + term/clockMargin
}

// Statement returns the lease that is stated now and its number, which rises with each change.
func (l *Lessor) Statement() (int64, Lease) {
	return l.number, l.lease
}

// IsWaiting reports whether a former owner may still use the share.
func (l *Lessor) IsWaiting(process uint64) bool {
	_, waiting := l.waiting[process]
	return waiting
}

// Waiting returns the former owners that may still use the share.
func (l *Lessor) Waiting() []uint64 {
	out := make([]uint64, 0, len(l.waiting))
	for process := range l.waiting {
		out = append(out, process)
	}
	slices.Sort(out)
	return out
}

// IsFree reports whether nobody uses the share.
func (l *Lessor) IsFree() bool {
	return len(l.lease.Owners) == 0 && len(l.lease.Former) == 0
}

// Propose leases the share to other owners, or to nobody. While former owners may still use
// it, only a return to them has an effect. It reports whether the lease has changed, which has
// to be published.
func (l *Lessor) Propose(owners Owners, term clock.Millis) bool {
	if slices.Equal(owners, l.lease.Owners) {
		return false
	}
	former := l.lease.Owners
	if len(l.lease.Former) > 0 {
		if !slices.Equal(owners, l.lease.Former) {
			return false
		}
		// Nobody else has got the share meanwhile.
		former = nil
	}
	l.number++
	l.longest = max(l.longest, term)
	l.lease = Lease{Owners: owners, Former: former, Term: term}
	l.until = unknownTime
	clear(l.waiting)
	for _, owner := range former {
		if owner.Process != l.process && losesWorkspaces(owner, former, owners) {
			l.waiting[owner.Process] = struct{}{}
		}
	}
	return true
}

// losesWorkspaces reports whether a former owner loses workspaces to the new owners: it is not
// among them, or there is one of another instance that was not among the former ones.
func losesWorkspaces(owner Owner, former, owners Owners) bool {
	if !slices.Contains(owners, owner) {
		return true
	}
	return slices.ContainsFunc(owners, func(o Owner) bool {
		return !slices.ContainsFunc(former, func(f Owner) bool { return f.Key == o.Key })
	})
}

// HoldUntil records that owners may use the share until a time without a statement.
func (l *Lessor) HoldUntil(until clock.Millis) {
	l.heldUntil = until
}

// Published records that from now on only the present lease is stated.
func (l *Lessor) Published(now clock.Millis) {
	if l.until == unknownTime {
		l.until = max(LeaseEnd(now, l.longest), l.heldUntil)
	}
}

// Release records that a process knows the lease of a number, and thus uses no share by an
// earlier one.
func (l *Lessor) Release(process uint64, number int64) {
	if number >= l.number {
		delete(l.waiting, process)
	}
}

// End records that a process has ended.
func (l *Lessor) End(process uint64) {
	delete(l.waiting, process)
}

// Settle leases the whole share to the new owners if no former one uses it any more. It
// reports whether the lease has changed, which has to be published.
func (l *Lessor) Settle(now clock.Millis) bool {
	if len(l.lease.Former) == 0 || (len(l.waiting) > 0 && now < l.until) {
		return false
	}
	l.number++
	l.lease.Former = nil
	clear(l.waiting)
	return true
}
