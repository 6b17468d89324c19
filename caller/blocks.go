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
		starts []uint32
		sites  []uint16
	}

	// CIDRBlock is one block of client addresses and its site.
	CIDRBlock struct {
		Prefix netip.Prefix
		Region uint16
	}

	// blockCache keeps the table of the state in force.
	blockCache struct {
		current atomic.Pointer[regionBlocks]
	}

	regionBlocks struct {
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
	t.add(0, NoRegion)
	var open []CIDRBlock
	for _, block := range sorted {
		open = t.closeBefore(open, block.Prefix.Addr())
		open = append(open, block)
		t.add(number(block.Prefix.Addr()), block.Region)
	}
	t.closeBefore(open, netip.Addr{})
	return t
}

// closeBefore ends the open blocks that do not cover an address. The zero
// address ends them all.
func (t *RegionTable) closeBefore(open []CIDRBlock, next netip.Addr) []CIDRBlock {
	for len(open) > 0 {
		last := open[len(open)-1]
		if next.IsValid() && last.Prefix.Contains(next) {
			return open
		}
		open = open[:len(open)-1]
		end := uint64(number(last.Prefix.Addr())) + 1<<(32-last.Prefix.Bits())
		outer := NoRegion
		if len(open) > 0 {
			outer = open[len(open)-1].Region
		}
		if end <= 1<<32-1 {
			t.add(uint32(end), outer)
		}
	}
	return open
}

// add starts a range. A range that starts where the last one did replaces it.
func (t *RegionTable) add(start uint32, site uint16) {
	last := len(t.starts) - 1
	if last >= 0 && t.starts[last] == start {
		t.sites[last] = site
		return
	}
	t.starts = append(t.starts, start)
	t.sites = append(t.sites, site)
}

// Lookup returns the site of an IPv4 address, or NoSite.
func (t *RegionTable) Lookup(address netip.Addr) uint16 {
	if !address.Is4() {
		return NoRegion
	}
	wanted := number(address)
	low, high := 0, len(t.starts)
	for high-low > 1 {
		middle := int(uint(low+high) >> 1)
		if t.starts[middle] <= wanted {
			low = middle
		} else {
			high = middle
		}
	}
	return t.sites[low]
}

// MemoryBytes returns the memory that the table takes.
func (t *RegionTable) MemoryBytes() int {
	return cap(t.starts)*4 + cap(t.sites)*2
}

func number(address netip.Addr) uint32 {
	raw := address.As4()
	return binary.BigEndian.Uint32(raw[:])
}

// region returns the region of a client under a state.
func (c *blockCache) region(state *wire.State, client netip.Addr, fallback string) string {
	current := c.current.Load()
	if current == nil || current.state != state {
		current = buildRegionBlocks(state)
		c.current.Store(current)
	}
	site := current.table.Lookup(client.Unmap())
	if site == NoRegion {
		return fallback
	}
	return current.regions[site]
}

func buildRegionBlocks(state *wire.State) *regionBlocks {
	out := &regionBlocks{state: state}
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
