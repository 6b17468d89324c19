package caller

import (
	"encoding/binary"
	"net/netip"
	"sort"
	"sync/atomic"

	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// RegionTable finds the site of a client's IPv4 address. It holds the start
	// of every range of addresses in order, six bytes a range, so that 940,000
	// blocks fit in a few megabytes.
	RegionTable struct {
		starts  []uint32
		regions []uint16
	}

	// CIDRBlock is one block of client addresses and its site.
	CIDRBlock struct {
		Prefix netip.Prefix
		Region uint16
	}

	// regionTableCache keeps the table of the state in force.
	regionTableCache struct {
		current atomic.Pointer[regionSnapshot]
	}

	regionSnapshot struct {
		state   *wire.State
		table   *RegionTable
		regions []string
	}
)

// NoRegion marks addresses that no block covers.
const NoRegion uint16 = 0xffff

// NewRegionTable builds a table. Of overlapping blocks the longest prefix wins.
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

// closeBlocksBefore ends the open blocks that do not cover an address. The zero
// address ends them all.
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

// addRange starts a range. A range that starts where the last one did replaces it.
func (t *RegionTable) addRange(start uint32, site uint16) {
	last := len(t.starts) - 1
	if last >= 0 && t.starts[last] == start {
		t.regions[last] = site
		return
	}
	t.starts = append(t.starts, start)
	t.regions = append(t.regions, site)
}

// Lookup returns the site of an IPv4 address, or NoSite.
func (t *RegionTable) Lookup(address netip.Addr) uint16 {
	if !address.Is4() {
		return NoRegion
	}
	wanted := ipv4ToUint32(address)
	low, high := 0, len(t.starts)
	for high-low > 1 {
		middle := int(uint(low+high) >> 1)
		if t.starts[middle] <= wanted {
			low = middle
		} else {
			high = middle
		}
	}
	return t.regions[low]
}

// MemoryBytes returns the memory that the table takes.
func (t *RegionTable) MemoryBytes() int {
	return cap(t.starts)*4 + cap(t.regions)*2
}

func ipv4ToUint32(address netip.Addr) uint32 {
	raw := address.As4()
	return binary.BigEndian.Uint32(raw[:])
}

// region returns the region of a client under a state.
func (c *regionTableCache) region(state *wire.State, client netip.Addr, fallback string) string {
	current := c.current.Load()
	if current == nil || current.state != state {
		current = newRegionSnapshot(state)
		c.current.Store(current)
	}
	site := current.table.Lookup(client.Unmap())
	if site == NoRegion {
		return fallback
	}
	return current.regions[site]
}

func newRegionSnapshot(state *wire.State) *regionSnapshot {
	out := &regionSnapshot{state: state}
	sites := make(map[string]uint16)
	var blocks []CIDRBlock
	for _, rule := range state.GetRules().GetBlocks() {
		prefix, err := netip.ParsePrefix(rule.GetPrefix())
		if err != nil || !prefix.Addr().Is4() {
			continue
		}
		site, ok := sites[rule.GetRegion()]
		if !ok {
			site = uint16(len(out.regions))
			sites[rule.GetRegion()] = site
			out.regions = append(out.regions, rule.GetRegion())
		}
		blocks = append(blocks, CIDRBlock{Prefix: prefix, Region: site})
	}
	out.table = NewRegionTable(blocks)
	return out
}
