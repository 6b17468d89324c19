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
	held := 0
	for unit := range units {
		if holders[(start+unit)%len(holders)] == incarnation {
			held++
		}
	}
	return held
}

// holdersNear lists the seat holders of a region, each once, in seat order.
func holdersNear(state *wire.State, region string) []string {
	var near, all []string
	seen := make(map[string]struct{}, len(state.GetSeats()))
	for _, seat := range state.GetSeats() {
		if _, ok := seen[seat.GetIncarnation()]; ok || seat.GetIncarnation() == "" {
			continue
		}
		seen[seat.GetIncarnation()] = struct{}{}
		all = append(all, seat.GetIncarnation())
		if seat.GetRegion() == region {
			near = append(near, seat.GetIncarnation())
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}
