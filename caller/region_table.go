package caller

import (
	"encoding/binary"
	"net/netip"
	"sort"
	"sync/atomic"

	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// RegionTable maps IPv4 addresses of clients to region indexes. It stores the
	// start of each address range in ascending order and takes six bytes per range,
	// so 940,000 CIDR blocks fit in a few megabytes.
	RegionTable struct {
		starts []uint32
		// regions holds the region index of each range in starts.
		regions []uint16
	}

	// CIDRBlock assigns a block of IPv4 addresses to a region.
	CIDRBlock struct {
		// Prefix must be an IPv4 prefix without host bits.
		Prefix netip.Prefix
		// Region is an index that the creator of the table assigns.
		Region uint16
	}

	// regionTableCache caches the region table of the current state.
	regionTableCache struct {
		current atomic.Pointer[regionSnapshot]
	}

	// regionSnapshot is the region table built from one state. The region indexes of
	// the table count from the start of regions.
	regionSnapshot struct {
		state   *wire.State
		table   *RegionTable
		regions []string
	}
)

// NoRegion is the region index of addresses outside all blocks.
const NoRegion uint16 = 0xffff

// NewRegionTable builds a table from CIDR blocks. Where blocks overlap, the longest
// prefix wins.
func NewRegionTable(blocks []CIDRBlock) *RegionTable {
	sorted := append([]CIDRBlock(nil), blocks...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Prefix.Addr() != sorted[j].Prefix.Addr() {
			return sorted[i].Prefix.Addr().Less(sorted[j].Prefix.Addr())
		}
		return sorted[i].Prefix.Bits() < sorted[j].Prefix.Bits()
	})
	t := &RegionTable{}
	t.addRange(0, NoRegion)
	var open []CIDRBlock
	for _, block := range sorted {
		open = t.closeBlocksBefore(open, block.Prefix.Addr())
		open = append(open, block)
		t.addRange(ipv4ToUint32(block.Prefix.Addr()), block.Region)
	}
	t.closeBlocksBefore(open, netip.Addr{})
	return t
}

// closeBlocksBefore ends the ranges of the open blocks that do not contain the address
// next, and returns the blocks that are still open. The zero address ends all of them.
func (t *RegionTable) closeBlocksBefore(open []CIDRBlock, next netip.Addr) []CIDRBlock {
	for len(open) > 0 {
		last := open[len(open)-1]
		if next.IsValid() && last.Prefix.Contains(next) {
			return open
		}
		open = open[:len(open)-1]
		end := uint64(ipv4ToUint32(last.Prefix.Addr())) + 1<<(32-last.Prefix.Bits())
		outer := NoRegion
		if len(open) > 0 {
			outer = open[len(open)-1].Region
		}
		if end <= 1<<32-1 {
			t.addRange(uint32(end), outer)
		}
	}
	return open
}

// addRange appends a range. If the last range has the same start, it is replaced.
func (t *RegionTable) addRange(start uint32, region uint16) {
	last := len(t.starts) - 1
	if last >= 0 && t.starts[last] == start {
		t.regions[last] = region
		return
	}
	t.starts = append(t.starts, start)
	t.regions = append(t.regions, region)
}

// Lookup returns the region index of an IPv4 address. It returns NoRegion for an
// address outside all blocks and for an IPv6 address.
func (t *RegionTable) Lookup(address netip.Addr) uint16 {
	if !address.Is4() {
		return NoRegion
	}
	target := ipv4ToUint32(address)
	low, high := 0, len(t.starts)
	for high-low > 1 {
		middle := int(uint(low+high) >> 1)
		if t.starts[middle] <= target {
			low = middle
		} else {
			high = middle
		}
	}
	return t.regions[low]
}

// MemoryBytes returns the size of the table in memory.
func (t *RegionTable) MemoryBytes() int {
	return cap(t.starts)*4 + cap(t.regions)*2
}

func ipv4ToUint32(address netip.Addr) uint32 {
	raw := address.As4()
	return binary.BigEndian.Uint32(raw[:])
}

// region returns the region that the rules of a state assign to a client's address, or
// fallback if no block contains it.
func (c *regionTableCache) region(state *wire.State, client netip.Addr, fallback string) string {
	current := c.current.Load()
	if current == nil || current.state != state {
		current = newRegionSnapshot(state)
		c.current.Store(current)
	}
	index := current.table.Lookup(client.Unmap())
	if index == NoRegion {
		return fallback
	}
	return current.regions[index]
}

func newRegionSnapshot(state *wire.State) *regionSnapshot {
	out := &regionSnapshot{state: state}
	indexes := make(map[string]uint16)
	var blocks []CIDRBlock
	for _, rule := range state.GetRules().GetBlocks() {
		prefix, err := netip.ParsePrefix(rule.GetPrefix())
		if err != nil || !prefix.Addr().Is4() {
			continue
		}
		index, ok := indexes[rule.GetRegion()]
		if !ok {
			index = uint16(len(out.regions))
			indexes[rule.GetRegion()] = index
			out.regions = append(out.regions, rule.GetRegion())
		}
		blocks = append(blocks, CIDRBlock{Prefix: prefix, Region: index})
	}
	out.table = NewRegionTable(blocks)
	return out
}
