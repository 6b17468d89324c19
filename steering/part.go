package steering

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/quota"
)

// joining tells how an instance has joined the fleet.
type joining struct {
	// replaced is set if the platform's list held an entry of an earlier process, whose share
	// may have been leased until shortly before it ended.
	replaced bool
	// registeredAt is when the instance's entry was stored; from then on it is listed.
	registeredAt clock.Millis
	// registered tells when it was read what the store knew of the instance before.
	registered fleet.StoreRead
	// restarted is set if all instances have restarted together, newFleet if this is one of
	// the first instances of a new fleet, which all count each other.
	restarted, newFleet bool
	// unlisted is set if the platform's list could not be read.
	unlisted bool
	// uncertain is set if instances may be running that are neither listed nor known here.
	uncertain bool
}

// sizeMargin covers that an earlier process may have known a larger fleet, whose leases hold for
// longer.
const sizeMargin = 500 * clock.Millis(1)

// allowPart lets the instance use its own share of the limits from some time on, and returns
// how long it waits and why. It may be called again when more is known of how the instance has
// joined, which only shortens the wait.
func (m *membership) allowPart(how joining) (wait clock.Millis, reason string) {
	now := m.bootClock.Now()
	from, reason := m.partStart(how, now)
	countedFrom := now
	m.mu.Lock()
	defer m.mu.Unlock()
	m.uncertain = how.uncertain && !how.restarted && !how.newFleet
	if how.unlisted || m.uncertain {
		countedFrom += m.members.SpreadTime()
	}
	if m.countedFrom == 0 || countedFrom < m.countedFrom {
		m.countedFrom = countedFrom
	}
	if m.partFrom == 0 || from < m.partFrom {
		m.partFrom = max(from, now)
	}
	return max(m.partFrom-now, 0), reason
}

// partStart returns from when the instance may use its own share of the limits, and why not
// earlier. The others count this instance under its name: a new one waits until they have heard of
// it. An earlier process may have leased the share until it ended. If entries of running
// instances may be missing in the platform's list, it waits until they would be back.
func (m *membership) partStart(how joining, now clock.Millis) (from clock.Millis, reason string) {
	switch {
	case how.restarted:
		return now, "all instances have restarted"
	case how.newFleet:
		return now, "no other instance uses a part yet"
	}
	from, reason = m.leaseWait(how, now)
	if !how.uncertain {
		return from, reason
	}
	returned := how.registeredAt + entryReturnTime(m.members.PartHolders(now), m.members.SpreadTime())
	return max(from, returned), "entries of other instances may be missing"
}

// leaseWait returns from when no earlier process can have leased the share, and the others count
// the instance.
func (m *membership) leaseWait(how joining, now clock.Millis) (from clock.Millis, reason string) {
	predecessor := m.members.OwnPredecessor()
	isCounted := predecessor != nil || (how.replaced && !m.members.OthersHoldParts())
	switch {
	case predecessor.GetPartFree() && !how.replaced:
		return now, "its earlier process has taken its part back"
	case !isCounted:
		return how.registeredAt + m.members.SpreadTime() + viewTimeout, "a new instance"
	}
	from = quota.LeaseEnd(m.startedAt, m.members.LeaseTerm()+sizeMargin)
	if how.replaced {
		from = max(from, quota.LeaseEnd(how.registeredAt, fleet.RestartTerm))
	}
	return from, "its earlier process may have lent its part"
}

// giveUpPart ends the use of the instance's share of the limits, before the process ends.
func (m *membership) giveUpPart() {
	m.mu.Lock()
	m.partGivenUp = true
	m.mu.Unlock()
	m.members.SetHoldsPart(false)
}
