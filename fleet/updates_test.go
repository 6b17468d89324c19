package fleet

import (
	"encoding/binary"
	"testing"

	"github.com/bulrushferry/bulrushferry/wire"
)

// TestDecodeUpdatesBoundsMemory checks that a few bytes that claim to be gigabytes are
// refused before any memory is taken for them.
func TestDecodeUpdatesBoundsMemory(t *testing.T) {
	claim := binary.AppendUvarint(nil, 3<<30)
	if _, err := decodeUpdates(append(claim, 0, 0, 0)); err == nil {
		t.Error("updates of 3 GiB were accepted")
	}
}

// FuzzDecodeUpdates decodes any updates and applies what is accepted to a replica.
func FuzzDecodeUpdates(f *testing.F) {
	f.Add(encodeUpdates(&wire.GossipNews{Tables: []*wire.TableDelta{{Table: "t", Version: 3, Full: true, Rows: []*wire.TableRow{row("a", 2)}}}}))
	f.Add(encodeUpdates(&wire.GossipNews{Tables: []*wire.TableDelta{{Table: "t", Since: -1, Version: 1 << 62, AgeMs: -1 << 62, Rows: []*wire.TableRow{{}, {Version: -5}}}}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		updates, err := decodeUpdates(data)
		if err != nil {
			return
		}
		r := NewReplica("t", func([]string) {})
		for _, delta := range updates.GetTables() {
			before := r.Version()
			r.Apply(delta, 0)
			if r.Version() < before {
				t.Fatalf("the version fell from %d to %d", before, r.Version())
			}
		}
	})
}
