package fleet

import (
	"cmp"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/cespare/xxhash/v2"
)

// StoreRead tells when the platform's list of instances was read: between two times by this
// instance's clock, and at a time by the store's, which is zero if it is not known.
type StoreRead struct {
	SentAt, ReceivedAt clock.Millis
	Now                clock.Millis
}

// Earliest returns the earliest time by this instance's clock that a time by the store's clock
// may be.
func (r StoreRead) Earliest(at clock.Millis) clock.Millis {
	return r.SentAt + at - r.Now
}

// Latest returns the latest time by this instance's clock that a time by the store's clock may be.
func (r StoreRead) Latest(at clock.Millis) clock.Millis {
	return r.ReceivedAt + at - r.Now
}

// Agrees reports whether the clocks have advanced alike between two reads.
func (r StoreRead) Agrees(earlier StoreRead) bool {
	least, most := r.SentAt-earlier.ReceivedAt, r.ReceivedAt-earlier.SentAt
	elapsed := r.Now - earlier.Now
	return earlier.Now > 0 && elapsed >= least-least/clockTolerance-1 && elapsed <= most+most/clockTolerance+1
}

// Restart is the proof that all instances have restarted within RestartWindow, by the
// platform's list of instances. Each earlier process has ended before its successor started,
// so nobody has granted tokens since the last start.
type Restart struct {
	// Instances are the entries of all instances.
	Instances []*wire.FleetInstance
	// First and Last are when the first and the last process started, by the store's clock.
	First, Last clock.Millis
}

const (
	// RestartWindow is the time within which all instances must have started. It covers the
	// time from the first to the last start of a process, and their registration.
	RestartWindow = 1500 * clock.Millis(1)
	// RestartTerm is how long after the first start the owners of token buckets use the
	// shares of all listed instances. An instance that may be listed in a proof uses its
	// share in another way only after it.
	RestartTerm = 2500 * clock.Millis(1)
	// NewFleetWait is how long the first instances of a new fleet wait before they use their
	// shares. Those that register within this time are counted by all others.
	NewFleetWait = clock.Second
	// RosterLag is how long after its start a new instance may not be counted by the roster.
	RosterLag = 10 * clock.Second
	// urgentRanks is the number of instances that may own token buckets, with some in reserve
	// for instances that are new in the list.
	urgentRanks = 8
	// urgentLookPause, laterLookPause and lookPause are the pauses between two reads of the
	// list. Most fleets have started within urgentTime. The first two pauses grow by one
	// millisecond for each listedPerMilli instances, since a list of 1,000 has about 400 KB.
	urgentLookPause = 20 * clock.Millis(1)
	laterLookPause  = 60 * clock.Millis(1)
	lookPause       = 500 * clock.Millis(1)
	urgentTime      = 500 * clock.Millis(1)
	listedPerMilli  = 10
	// clockTolerance is the largest relative difference between two clocks' measurements of
	// the same time, as a divisor: 20 means 5 %.
	clockTolerance = 20
)

// ClassifyStart says what a process finds at its start, given the entry of the instance in the
// platform's list, or nil, at a time by the store's clock.
func ClassifyStart(earlier *wire.FleetInstance, now clock.Millis) wire.Start {
	startedAt := clock.Millis(earlier.GetStartedMs())
	switch {
	case earlier == nil:
		return wire.Start_START_NEW
	case now <= 0 || startedAt <= 0 || startedAt > now || now-startedAt <= RestartWindow:
		return wire.Start_START_UNKNOWN
	default:
		return wire.Start_START_REPLACED
	}
}

// FindRestart looks for the proof that all instances have restarted in the platform's list at
// a time by the store's clock. Instances that are known here and not listed void it, and so do
// processes that are alive and started long ago, and a list that lacks instances by the fleet's
// roster. Final is set if a later list cannot hold the proof either.
func FindRestart(self *wire.FleetInstance, known, alive, list []*wire.FleetInstance, roster *wire.Roster, now clock.Millis) (found *Restart, final bool) {
	if !coversRoster(len(list), roster) {
		return nil, true
	}
	listed := make(map[string]*wire.FleetInstance, len(list))
	restart := &Restart{Instances: list}
	stale := false
	for _, info := range list {
		if info.GetInstance() == "" || listed[info.GetInstance()] != nil {
			return nil, true
		}
		listed[info.GetInstance()] = info
		if isLongRunning(info, now) {
			stale = true
			continue
		}
		if clock.Millis(info.GetStartedMs()) > now || info.GetStart() != wire.Start_START_REPLACED {
			return nil, true
		}
		restart.include(clock.Millis(info.GetStartedMs()))
	}
	isUnlisted := func(info *wire.FleetInstance) bool { return listed[info.GetInstance()] == nil }
	// What is heard of a process that is starting may be of before it registered.
	isRegistered := func(info *wire.FleetInstance) bool {
		return listed[info.GetInstance()].GetIncarnation() == info.GetIncarnation()
	}
	isOld := func(info *wire.FleetInstance) bool {
		return isRegistered(info) && isLongRunning(listed[info.GetInstance()], now)
	}
	if !isRegistered(self) || isOld(self) || slices.ContainsFunc(known, isUnlisted) || slices.ContainsFunc(alive, isOld) {
		return nil, true
	}
	if stale {
		return nil, false
	}
	return restart, true
}

// include adds the start of a process.
func (r *Restart) include(startedAt clock.Millis) {
	if r.First == 0 || startedAt < r.First {
		r.First = startedAt
	}
	r.Last = max(r.Last, startedAt)
}

// isLongRunning reports whether a process did not start within RestartWindow, or its start is
// not known.
func isLongRunning(info *wire.FleetInstance, now clock.Millis) bool {
	return info.GetStartedMs() <= 0 || now-clock.Millis(info.GetStartedMs()) > RestartWindow
}

// LookPause returns how long a process waits before it reads the platform's list again, in
// search of the proof, given the time since its start. The first in rank, which are to own the
// token buckets, need it before the first requests give up waiting. The others need it before
// RestartTerm is over, and only to state their leases without a gap.
func LookPause(self *wire.FleetInstance, list []*wire.FleetInstance, sinceStart clock.Millis) clock.Millis {
	before := 0
	for _, info := range list {
		if CompareRank(info, self) < 0 {
			before++
		}
	}
	switch {
	case before >= urgentRanks:
		return lookPause
	case sinceStart < urgentTime:
		return urgentLookPause + clock.Millis(len(list)/listedPerMilli)
	default:
		return laterLookPause + clock.Millis(len(list)/listedPerMilli)
	}
}

// coversRoster reports whether so many entries can be those of all instances of a fleet. Without
// a roster that is not known.
func coversRoster(entries int, roster *wire.Roster) bool {
	return roster.GetInstances() > 0 && entries >= int(roster.GetInstances())
}

// IsNewFleet reports whether the fleet was founded, and all listed and known instances registered,
// so shortly before this one that they count it: each of them reads the list again NewFleetWait
// after it has registered. registeredBy is when this instance had registered at the latest, by the
// store's clock.
func IsNewFleet(self *wire.FleetInstance, known, list []*wire.FleetInstance, roster *wire.Roster, registeredBy clock.Millis) bool {
	isEarlier := func(startedMs int64) bool {
		return startedMs <= 0 || clock.Millis(startedMs)+NewFleetWait <= registeredBy
	}
	if isEarlier(roster.GetFoundedMs()) {
		return false
	}
	isListed := false
	for _, info := range list {
		isListed = isListed || info.GetIncarnation() == self.GetIncarnation()
		if info.GetStart() != wire.Start_START_NEW || isEarlier(info.GetStartedMs()) {
			return false
		}
	}
	for _, info := range known {
		if info.GetHoldsPart() && isEarlier(info.GetStartedMs()) {
			return false
		}
	}
	return isListed
}

// IsComplete reports whether the platform's list holds the entries of all instances of a fleet but
// those that have come lately, by the fleet's roster. New instances do not count, since the roster
// may not count them yet.
func IsComplete(list []*wire.FleetInstance, roster *wire.Roster, now clock.Millis) bool {
	settled := 0
	for _, info := range list {
		if info.GetStart() != wire.Start_START_NEW || now-clock.Millis(info.GetStartedMs()) > RosterLag {
			settled++
		}
	}
	return coversRoster(settled, roster)
}

// CompareRank orders instances for the roles of bucket owner and relay: those with the
// fastest network links first, then by the hashes of their names.
func CompareRank(a, b *wire.FleetInstance) int {
	if order := cmp.Compare(b.GetLinkMbitPerS(), a.GetLinkMbitPerS()); order != 0 {
		return order
	}
	return cmp.Compare(xxhash.Sum64String(a.GetInstance()), xxhash.Sum64String(b.GetInstance()))
}
