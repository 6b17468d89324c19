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
	// Resolver answers lookups: it decides which instances a caller should use.
	Resolver struct {
		clock clock.Clock
		fleet *peer.Fleet
		// load returns the load of this instance.
		load    func() []*wire.ServiceLoad
		regions regionTableCache
	}

	// LookupRequest is a lookup of the instances for a service.
	LookupRequest struct {
		Service string
		// Workspace is empty for a lookup without a key.
		Workspace string
		// Client is the IP address of the caller.
		Client netip.Addr
	}
)

// lookupMaxAge is how long callers may cache the response to a lookup. A stopping
// instance keeps serving requests for longer than this.
const lookupMaxAge = 2 * clock.Second

// NewResolver returns a resolver. load returns the load of this instance.
func NewResolver(c clock.Clock, fleet *peer.Fleet, load func() []*wire.ServiceLoad) *Resolver {
	return &Resolver{clock: c, fleet: fleet, load: load}
}

// Lookup returns the instances for a caller, in order of preference. Those in the region
// of the client's address come first. Within each group the order is by rendezvous
// hashing of the workspace, so that its callers use few instances and its rate limit is
// split among few.
func (r *Resolver) Lookup(request LookupRequest) *wire.EntryList {
	state := r.fleet.State()
	region := r.regions.region(state, request.Client, r.fleet.Region())
	candidates := r.candidates(state, request.Service)
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if (a.GetRegion() == region) != (b.GetRegion() == region) {
			return a.GetRegion() == region
		}
		return rendezvousScore(request.Workspace, a) > rendezvousScore(request.Workspace, b)
	})
	return &wire.EntryList{
		Entries:      candidates,
		MaxAgeMs:     int64(lookupMaxAge),
		Revision:     state.GetRevision(),
		ActionPrefix: r.actionPrefix(),
		Region:       region,
	}
}

// actionPrefix returns the action prefix that this instance issues now. It is empty while
// the instance is stopping, because it will not run further actions.
func (r *Resolver) actionPrefix() string {
	if r.fleet.Stopping() {
		return ""
	}
	return once.ActionPrefix(r.fleet.Incarnation(), once.EpochAt(r.clock.Now()))
}

// candidates returns the instances that are neither stopping nor drained by a rule: this
// one, and the peers that hold fleet slots. Their weights are the numbers of their free
// slots for the service, at least 1.
func (r *Resolver) candidates(state *wire.State, service string) []*wire.EntryChoice {
	var out []*wire.EntryChoice
	drained := drainedInstances(state)
	if !r.fleet.Stopping() && !drained[r.fleet.Self().GetInstance()] {
		out = append(out, newEntryChoice(r.fleet.Self(), freeSlots(r.load(), service)))
	}
	for _, member := range r.fleet.Members() {
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

// drainedInstances returns the names of the instances that a rule drains.
func drainedInstances(state *wire.State) map[string]bool {
	drained := make(map[string]bool)
	for _, drain := range state.GetRules().GetDrains() {
		if drain.GetInstance() != "" {
			drained[drain.GetInstance()] = true
		}
	}
	return drained
}

// rendezvousScore returns an instance's score for a workspace in rendezvous hashing
// (Thaler and Ravishankar, 1998). The highest score is preferred.
func rendezvousScore(workspace string, c *wire.EntryChoice) uint64 {
	return xxhash.Sum64String(workspace + "\x00" + c.GetInstance())
}
