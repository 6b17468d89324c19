package caller

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"
)

const (
	largeTableBlocks  = 940_000
	largeTableRegions = 1_600
	maxTableBytes     = 16 << 20
)

// newLargeTable returns a table of the largest size that must be supported.
func newLargeTable() *RegionTable {
	blocks := make([]CIDRBlock, largeTableBlocks)
	for i := range blocks {
		blocks[i] = CIDRBlock{Prefix: netip.PrefixFrom(address(uint32(i)<<12), 20), Region: uint16(i % largeTableRegions)}
	}
	return NewRegionTable(blocks)
}

func address(n uint32) netip.Addr {
	var raw [4]byte
	binary.BigEndian.PutUint32(raw[:], n)
	return netip.AddrFrom4(raw)
}

func TestRegionTableLookup(t *testing.T) {
	table := NewRegionTable([]CIDRBlock{
		{netip.MustParsePrefix("10.0.0.0/8"), 1},
		{netip.MustParsePrefix("10.1.0.0/16"), 2},
		{netip.MustParsePrefix("10.1.2.0/24"), 3},
		{netip.MustParsePrefix("10.2.0.0/16"), 4},
		{netip.MustParsePrefix("255.0.0.0/8"), 5},
	})
	cases := map[string]uint16{
		"9.255.255.255": NoRegion, "10.0.0.0": 1, "10.1.0.0": 2, "10.1.2.3": 3, "10.1.3.0": 2,
		"10.2.0.1": 4, "10.3.0.0": 1, "11.0.0.0": NoRegion, "255.255.255.255": 5, "::1": NoRegion,
	}
	for text, want := range cases {
		if got := table.Lookup(netip.MustParseAddr(text)); got != want {
			t.Errorf("%s: got region %d, want %d", text, got, want)
		}
	}
}

func TestRegionTableSize(t *testing.T) {
	table := newLargeTable()
	if table.MemoryBytes() > maxTableBytes {
		t.Errorf("the table takes %d bytes of memory", table.MemoryBytes())
	}
	if n := testing.AllocsPerRun(100, func() { table.Lookup(address(77 << 20)) }); n > 0 {
		t.Errorf("a lookup makes %f allocations", n)
	}
	t.Logf("%d bytes", table.MemoryBytes())
}

func BenchmarkRegionTableLookup(b *testing.B) {
	table := newLargeTable()
	addresses := make([]netip.Addr, 4096)
	for i := range addresses {
		addresses[i] = address(rand.Uint32())
	}
	i := 0
	for b.Loop() {
		table.Lookup(addresses[i&4095])
		i++
	}
	b.ReportMetric(float64(table.MemoryBytes())/largeTableBlocks, "bytes/block")
}
