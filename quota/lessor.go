package quota

import (
	"maps"
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
	// changedBy is the number of the lease that began the present change of owners.
	changedBy int64
	// waiting holds the former owners that may still use the share of a workspace that has
	// another owner now, and until when. That is unknown until the lease is published.
	waiting map[uint64]clock.Millis
	// pausedAt is since when the lease is not renewed for an owner.
	pausedAt map[uint64]clock.Millis
	// heldUntil is a time before which a former owner may use the share without a statement.
	heldUntil clock.Millis
}

const (
	unknownTime = clock.Millis(math.MaxInt64)
	// clockMargin is the part of a term that is added to it to cover clocks of different
	// speeds, as a divisor: 50 means 2 %.
	clockMargin = 50
)

// NewLessor returns the Lessor of a process. It leases the share to nobody.
func NewLessor(process uint64) *Lessor {
	return &Lessor{process: process, waiting: make(map[uint64]clock.Millis), pausedAt: make(map[uint64]clock.Millis)}
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
		// No other owner has received the share in the meantime.
		former = nil
	}
	l.number++
	l.changedBy = l.number
	l.longest = max(l.longest, term)
	l.lease = Lease{Owners: owners, Former: former, Term: term}
	clear(l.waiting)
	for _, owner := range former {
		if owner.Process == l.process || !losesWorkspaces(owner, former, owners) {
			continue
		}
		l.waiting[owner.Process] = unknownTime
		if pausedAt, ok := l.pausedAt[owner.Process]; ok && pausedAt != unknownTime {
			l.waiting[owner.Process] = l.end(pausedAt)
		}
	}
	clear(l.pausedAt)
	return true
}

// Pause ceases to renew the lease for the owners among some processes, and renews it again for
// the others. It reports whether the lease has changed, which has to be published.
func (l *Lessor) Pause(processes []uint64) bool {
	var paused []uint64
	for _, owner := range l.lease.Owners {
		if owner.Process != l.process && slices.Contains(processes, owner.Process) {
			paused = append(paused, owner.Process)
		}
	}
	if slices.Equal(paused, l.lease.Paused) {
		return false
	}
	l.number++
	l.lease.Paused = paused
	maps.DeleteFunc(l.pausedAt, func(process uint64, _ clock.Millis) bool { return !slices.Contains(paused, process) })
	for _, process := range paused {
		if _, ok := l.pausedAt[process]; !ok {
			l.pausedAt[process] = unknownTime
		}
	}
	return true
}

// end returns when a lease that was last stated at a time is used no more.
func (l *Lessor) end(statedAt clock.Millis) clock.Millis {
	return max(LeaseEnd(statedAt, l.longest), l.heldUntil)
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
	for process, until := range l.waiting {
		if until == unknownTime {
			l.waiting[process] = l.end(now)
		}
	}
	for process, pausedAt := range l.pausedAt {
		if pausedAt == unknownTime {
			l.pausedAt[process] = now
		}
	}
}

// Release records that a process knows the lease of a number, and thus uses no share by an
// earlier one.
func (l *Lessor) Release(process uint64, number int64) {
	if number >= l.changedBy {
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
	maps.DeleteFunc(l.waiting, func(_ uint64, until clock.Millis) bool { return now >= until })
	if len(l.lease.Former) == 0 || len(l.waiting) > 0 {
		return false
	}
	l.number++
	l.lease.Former = nil
	return true
}
