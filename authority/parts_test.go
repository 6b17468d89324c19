package authority

import (
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/wire"
	"pgregory.net/rapid"
)

// TestUnitsAddUp shares units of a server among random seats. The parts of all
// incarnations add up to exactly the units.
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
			t.Fatalf("the parts add up to %d of %d", sum, units)
		}
	})
}

// TestBalanceIsEvenAndCalm checks that slots are spread evenly over the live
// members, that a balanced fleet is left alone, and that only as many slots
// move as have to.
func TestBalanceIsEvenAndCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 60).Draw(t, "slots")
		var seats []*wire.Seat
		for i := range rapid.IntRange(0, slots).Draw(t, "seated") {
			seats = append(seats, &wire.Seat{Slot: int32(i), Incarnation: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "holder"))})
		}
		var live []*wire.Seat
		for i := range rapid.IntRange(1, 8).Draw(t, "live") {
			live = append(live, &wire.Seat{Incarnation: fmt.Sprint(i)})
		}
		next := BalanceSlots(seats, live, slots).OrElse(seats)
		held := countHeld(next, sortedMembers(live))
		low, high, total := slots, 0, 0
		for _, n := range held {
			low, high, total = min(low, n), max(high, n), total+n
		}
		if len(next) != slots || total != slots || high-low > 1 {
			t.Fatalf("%d slots are held as %v", len(next), held)
		}
		if _, moved := BalanceSlots(next, live, slots).Get(); moved {
			t.Fatal("a balanced fleet was changed")
		}
	})
}
