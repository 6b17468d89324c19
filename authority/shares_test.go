package authority

import (
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/wire"
	"pgregory.net/rapid"
)

// TestUnitsAddUp distributes the units of a server among random seat holders. The
// shares of all incarnations must add up to exactly the units: with more, the
// server would be overloaded, with fewer, capacity would stay unused.
func TestUnitsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := &wire.State{}
		for i := range rapid.IntRange(1, 20).Draw(t, "slots") {
			holder := rapid.IntRange(0, 6).Draw(t, "holder")
			state.Seats = append(state.Seats, &wire.Seat{
				Slot: int32(i), Incarnation: fmt.Sprint(holder), Region: fmt.Sprint("r", holder%3),
			})
		}
		units := rapid.IntRange(0, 400).Draw(t, "units")
		server := &wire.BackendServer{Name: rapid.String().Draw(t, "name"), Region: "r1"}
		sum := 0
		for holder := range 7 {
			sum += UnitShare(state, server, units, fmt.Sprint(holder))
		}
		if sum != units {
			t.Fatalf("the shares add up to %d, want %d", sum, units)
		}
	})
}
