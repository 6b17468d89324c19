// Package values holds small generic value types.
package values

import (
	"maps"
	"slices"
	"sort"
)

// Set is an immutable set of strings or integers. The zero Set is empty.
type Set[T ~string | ~int | ~int32 | ~int64 | ~uint64] struct {
	members map[T]struct{}
}

// NewSet returns a set of the given members.
func NewSet[T ~string | ~int | ~int32 | ~int64 | ~uint64](members ...T) Set[T] {
	s := Set[T]{members: make(map[T]struct{}, len(members))}
	for _, m := range members {
		s.members[m] = struct{}{}
	}
	return s
}

// Has reports whether the set contains a member.
func (s Set[T]) Has(member T) bool {
	_, ok := s.members[member]
	return ok
}

// Len returns the number of members.
func (s Set[T]) Len() int {
	return len(s.members)
}

// Equal reports whether two sets have the same members.
func (s Set[T]) Equal(other Set[T]) bool {
	return maps.Equal(s.members, other.members)
}

// With returns a set that also contains the given members.
func (s Set[T]) With(members ...T) Set[T] {
	if !slices.ContainsFunc(members, func(member T) bool { return !s.Has(member) }) {
		return s
	}
	return NewSet(append(s.Sorted(), members...)...)
}

// Sorted returns the members in ascending order.
func (s Set[T]) Sorted() []T {
	out := make([]T, 0, len(s.members))
	for m := range s.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
