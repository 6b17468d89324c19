package authority

import (
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/cespare/xxhash/v2"
)

// SlotShare returns the fraction of the fleet's slots that an incarnation holds,
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
	return countSeats(state.GetSeats(), func(holder string) bool { return holder == incarnation })
}

// RegionShare returns the fraction of a region's own limits that an incarnation
// holds. The seat holders of the region share them equally.
func RegionShare(state *wire.State, region, incarnation string) float64 {
	holders := 0
	held := false
	for _, holder := range holdersInRegion(state, region) {
		holders++
		held = held || holder == incarnation
	}
	if !held {
		return 0
	}
	return 1 / float64(holders)
}

// UnitShare returns how many of a backend server's units (concurrent requests or
// connections) an incarnation holds. Units are assigned round-robin to the seat
// holders of the server's region, or of the whole fleet if that region has none.
// The result depends only on the server and the state, so two instances with
// different server lists never hold the same unit.
func UnitShare(state *wire.State, server *wire.BackendServer, units int, incarnation string) int {
	holders := holdersForRegion(state, server.GetRegion())
	if len(holders) == 0 {
		return 0
	}
	start := int(xxhash.Sum64String(server.GetName()) % uint64(len(holders)))
	for i, holder := range holders {
		if holder == incarnation {
			position := (i - start + len(holders)) % len(holders)
			return (units + len(holders) - 1 - position) / len(holders)
		}
	}
	return 0
}

// holdersForRegion lists the seat holders of a region, or all seat holders if the
// region has none.
func holdersForRegion(state *wire.State, region string) []string {
	if regional := holdersInRegion(state, region); len(regional) > 0 {
		return regional
	}
	return holdersInRegion(state, "")
}

// holdersInRegion lists the distinct seat holders of a region in seat order. An
// empty region means all regions.
func holdersInRegion(state *wire.State, region string) []string {
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
