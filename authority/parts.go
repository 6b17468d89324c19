package authority

import (
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/cespare/xxhash/v2"
)

// SlotShare returns the share of the fleet's slots that an incarnation holds,
// from 0 to 1.
func SlotShare(state *wire.State, incarnation string) float64 {
	seats := state.GetSeats()
	if len(seats) == 0 {
		return 0
	}
	return float64(SlotsHeld(state, incarnation)) / float64(len(seats))
}

// SlotsHeld counts the fleet slots that an incarnation holds.
func SlotsHeld(state *wire.State, incarnation string) int {
	return count(state.GetSeats(), func(holder string) bool { return holder == incarnation })
}

// RegionShare returns the share of a region's own limits that an incarnation
// holds: an equal part for each seat holder of the region.
func RegionShare(state *wire.State, region, incarnation string) float64 {
	holders := 0
	held := false
	for _, holder := range holdersOf(state, region) {
		holders++
		held = held || holder == incarnation
	}
	if !held {
		return 0
	}
	return 1 / float64(holders)
}

// UnitShare returns how many of a backend server's units (concurrent requests
// or connections) an incarnation holds. Units go round the seats of the
// server's own region, or of the whole fleet where that region has none. The
// result depends only on the server and the state, so instances whose lists
// of servers differ still never hold the same unit.
func UnitShare(state *wire.State, server *wire.BackendServer, units int, incarnation string) int {
	holders := holdersNear(state, server.GetRegion())
	if len(holders) == 0 {
		return 0
	}
	start := int(xxhash.Sum64String(server.GetName()) % uint64(len(holders)))
	for i, holder := range holders {
		if holder == incarnation {
			turn := (i - start + len(holders)) % len(holders)
			return (units + len(holders) - 1 - turn) / len(holders)
		}
	}
	return 0
}

// holdersNear lists the seat holders of a region, or all where it has none.
func holdersNear(state *wire.State, region string) []string {
	if near := holdersOf(state, region); len(near) > 0 {
		return near
	}
	return holdersOf(state, "")
}

// holdersOf lists the seat holders of a region, each once, in seat order. An
// empty region means all regions.
func holdersOf(state *wire.State, region string) []string {
	var holders []string
	seen := make(map[string]struct{}, len(state.GetSeats()))
	for _, seat := range state.GetSeats() {
		if _, ok := seen[seat.GetIncarnation()]; ok || seat.GetIncarnation() == "" {
			continue
		}
		seen[seat.GetIncarnation()] = struct{}{}
		if region == "" || seat.GetRegion() == region {
			holders = append(holders, seat.GetIncarnation())
		}
	}
	return holders
}
