package caller

import (
	"net/netip"
	"sort"

	"github.com/bulrushferry/bulrushferry/authority"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/once"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/cespare/xxhash/v2"
)

type (
	// Resolver decides which instances a caller should use.
	Resolver struct {
		clock   clock.Clock
		fleet   *peer.Fleet
		load    func() []*wire.ServiceLoad
		regions regionTableCache
	}

	// LookupRequest is one look-up.
	LookupRequest struct {
		Service   string
		Workspace string
		Client    netip.Addr
	}
)

// lookupMaxAge is how long callers may use an answer. A stopping instance goes
// on serving for longer than this.
const lookupMaxAge = 2 * clock.Second

// NewResolver returns the decision of look-ups.
func NewResolver(c clock.Clock, fleet *peer.Fleet, load func() []*wire.ServiceLoad) *Resolver {
	return &Resolver{clock: c, fleet: fleet, load: load}
}

// Lookup lists the instances for a caller, best first: those of the client's
// region before others, and among these the one at which the workspace's
// callers gather, so that its rate is held in few places.
func (s *Resolver) Lookup(q LookupRequest) *wire.EntryList {
	state := s.fleet.State()
	region := s.regions.region(state, q.Client, s.fleet.Region())
	choices := s.candidates(state, q.Service)
	sort.SliceStable(choices, func(i, j int) bool {
		a, b := choices[i], choices[j]
		if (a.GetRegion() == region) != (b.GetRegion() == region) {
			return a.GetRegion() == region
		}
		return rendezvousScore(q.Workspace, a) > rendezvousScore(q.Workspace, b)
	})
	return &wire.EntryList{
		Entries:      choices,
		MaxAgeMs:     int64(lookupMaxAge),
		Revision:     state.GetRevision(),
		ActionPrefix: s.actionPrefix(),
		Region:       region,
	}
}

// actionPrefix is empty while this instance stops, for it will run no more
// actions.
func (s *Resolver) actionPrefix() string {
	if s.fleet.Stopping() {
		return ""
	}
	return once.ActionPrefix(s.fleet.Incarnation(), once.EpochAt(s.clock.Now()))
}

// candidates lists the instances that hold fleet slots and do not stop. The
// weight is the number of slots of the service that an instance has free.
func (s *Resolver) candidates(state *wire.State, service string) []*wire.EntryChoice {
	var out []*wire.EntryChoice
	drained := drainedInstances(state)
	if !s.fleet.Stopping() && !drained[s.fleet.Self().GetInstance()] {
		out = append(out, newEntryChoice(s.fleet.Self(), freeSlots(s.load(), service)))
	}
	for _, member := range s.fleet.Members() {
		held := authority.SlotsHeld(state, member.Seat.GetIncarnation())
		if member.Stopping || held == 0 || drained[member.Seat.GetInstance()] {
			continue
		}
		out = append(out, newEntryChoice(member.Seat, freeSlots(member.Load, service)))
	}
	return out
}

func newEntryChoice(seat *wire.Seat, free int) *wire.EntryChoice {
	return &wire.EntryChoice{
		Instance: seat.GetInstance(),
		Address:  seat.GetCallerAddress(),
		Region:   seat.GetRegion(),
		Weight:   int32(max(free, 1)),
	}
}

func drainedInstances(state *wire.State) map[string]bool {
	drained := make(map[string]bool)
	for _, drain := range state.GetRules().GetDrains() {
		if drain.GetInstance() != "" {
			drained[drain.GetInstance()] = true
		}
	}
	return drained
}

// rendezvousScore orders instances for a workspace by rendezvous hashing (Thaler
// and Ravishankar, 1998).
func rendezvousScore(workspace string, c *wire.EntryChoice) uint64 {
	return xxhash.Sum64String(workspace + "\x00" + c.GetInstance())
}
