package authority

import (
	"sort"

	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

// BalanceSlots spreads the fleet's slots evenly over the live members and moves as
// few of them as it can. Members are identified by incarnation; a member's
// slot number is ignored. It returns nothing when no slot has to move.
func BalanceSlots(seats []*wire.Seat, live []*wire.Seat, slots int) values.Option[[]*wire.Seat] {
	if len(live) == 0 {
		return values.None[[]*wire.Seat]()
	}
	members := sortedMembers(live)
	next := completeSeats(seats, slots)
	held := countHeld(next, members)
	moved := len(next) != len(seats)
	for _, seat := range next {
		if _, ok := held[seat.GetIncarnation()]; ok {
			continue
		}
		give(seat, poorest(members, held), held)
		moved = true
	}
	if levelOut(next, members, held) {
		moved = true
	}
	if !moved {
		return values.None[[]*wire.Seat]()
	}
	return values.Some(next)
}

// levelOut moves slots from the richest member to the poorest until they
// differ by no more than one.
func levelOut(seats, members []*wire.Seat, held map[string]int) bool {
	moved := false
	for {
		poor := poorest(members, held)
		rich := richest(members, held)
		if held[rich.GetIncarnation()]-held[poor.GetIncarnation()] <= 1 {
			return moved
		}
		for _, seat := range seats {
			if seat.GetIncarnation() == rich.GetIncarnation() {
				held[rich.GetIncarnation()]--
				give(seat, poor, held)
				moved = true
				break
			}
		}
	}
}

func give(seat, member *wire.Seat, held map[string]int) {
	slot := seat.GetSlot()
	proto.Reset(seat)
	proto.Merge(seat, member)
	seat.Slot = slot
	held[member.GetIncarnation()]++
}

func completeSeats(seats []*wire.Seat, slots int) []*wire.Seat {
	next := make([]*wire.Seat, 0, slots)
	for _, seat := range seats {
		next = append(next, proto.CloneOf(seat))
	}
	for len(next) < slots {
		next = append(next, &wire.Seat{Slot: int32(len(next))})
	}
	return next
}

func sortedMembers(live []*wire.Seat) []*wire.Seat {
	members := append([]*wire.Seat(nil), live...)
	sort.Slice(members, func(i, j int) bool {
		return members[i].GetIncarnation() < members[j].GetIncarnation()
	})
	return members
}

func countHeld(seats, members []*wire.Seat) map[string]int {
	held := make(map[string]int, len(members))
	for _, member := range members {
		held[member.GetIncarnation()] = 0
	}
	for _, seat := range seats {
		if _, ok := held[seat.GetIncarnation()]; ok {
			held[seat.GetIncarnation()]++
		}
	}
	return held
}

func poorest(members []*wire.Seat, held map[string]int) *wire.Seat {
	return pick(members, func(a, b *wire.Seat) bool {
		return held[a.GetIncarnation()] < held[b.GetIncarnation()]
	})
}

func richest(members []*wire.Seat, held map[string]int) *wire.Seat {
	return pick(members, func(a, b *wire.Seat) bool {
		return held[a.GetIncarnation()] > held[b.GetIncarnation()]
	})
}

func pick(members []*wire.Seat, better func(a, b *wire.Seat) bool) *wire.Seat {
	best := members[0]
	for _, member := range members[1:] {
		if better(member, best) {
			best = member
		}
	}
	return best
}
