package authority

import (
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/wire"
	"pgregory.net/rapid"
)

// TestBalanceIsEvenAndStable checks that all slots are distributed evenly over the
// live members, and that a balanced fleet is left unchanged.
func TestBalanceIsEvenAndStable(t *testing.T) {
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
		held := countSlots(next, sortedMembers(live))
		low, high, total := slots, 0, 0
		for _, n := range held {
			low, high, total = min(low, n), max(high, n), total+n
		}
		if len(next) != slots || total != slots || high-low > 1 {
			t.Fatalf("got %d slots, held as %v", len(next), held)
		}
		if _, moved := BalanceSlots(next, live, slots).Get(); moved {
			t.Fatal("slots of a balanced fleet were moved")
		}
	})
}
