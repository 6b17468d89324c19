package authority

import (
	"sort"

	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

// BalanceSlots distributes the fleet's slots evenly over the live members, moving
// as few slots as possible. Members are identified by incarnation; their slot
// numbers are ignored. It returns nothing if no member is live, or if no slot has to
// be moved or added.
func BalanceSlots(seats []*wire.Seat, live []*wire.Seat, slots int) values.Option[[]*wire.Seat] {
	if len(live) == 0 {
		return values.None[[]*wire.Seat]()
	}
	members := sortedMembers(live)
	next := padSeats(seats, slots)
	held := countSlots(next, members)
	moved := len(next) != len(seats)
	for _, seat := range next {
		if _, ok := held[seat.GetIncarnation()]; ok {
			continue
		}
		assignSeat(seat, fewestSlots(members, held), held)
		moved = true
	}
	if evenOut(next, members, held) {
		moved = true
	}
	if !moved {
		return values.None[[]*wire.Seat]()
	}
	return values.Some(next)
}

// evenOut moves slots from the member with the most to the member with the fewest
// until the difference is at most one. It reports whether any slot was moved.
func evenOut(seats, members []*wire.Seat, held map[string]int) bool {
	moved := false
	for {
		receiver := fewestSlots(members, held)
		donor := mostSlots(members, held)
		if held[donor.GetIncarnation()]-held[receiver.GetIncarnation()] <= 1 {
			return moved
		}
		for _, seat := range seats {
			if seat.GetIncarnation() == donor.GetIncarnation() {
				held[donor.GetIncarnation()]--
				assignSeat(seat, receiver, held)
				moved = true
				break
			}
		}
	}
}

// assignSeat makes a member the holder of a seat and keeps the seat's slot number.
func assignSeat(seat, member *wire.Seat, held map[string]int) {
	slot := seat.GetSlot()
	proto.Reset(seat)
	proto.Merge(seat, member)
	seat.Slot = slot
	held[member.GetIncarnation()]++
}

// padSeats returns a copy of the seats, extended with unheld ones to the number of
// slots.
func padSeats(seats []*wire.Seat, slots int) []*wire.Seat {
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

// countSlots returns the number of slots each member holds.
func countSlots(seats, members []*wire.Seat) map[string]int {
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

func fewestSlots(members []*wire.Seat, held map[string]int) *wire.Seat {
	return selectMember(members, func(a, b *wire.Seat) bool {
		return held[a.GetIncarnation()] < held[b.GetIncarnation()]
	})
}

func mostSlots(members []*wire.Seat, held map[string]int) *wire.Seat {
	return selectMember(members, func(a, b *wire.Seat) bool {
		return held[a.GetIncarnation()] > held[b.GetIncarnation()]
	})
}

// selectMember returns the first member that no other one is preferred to.
func selectMember(members []*wire.Seat, preferred func(a, b *wire.Seat) bool) *wire.Seat {
	best := members[0]
	for _, member := range members[1:] {
		if preferred(member, best) {
			best = member
		}
	}
	return best
}
