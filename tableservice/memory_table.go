package tableservice

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

// MemoryTable is an in-memory Table for tests and for the emulated platform of the
// standin program. It is safe for concurrent use.
type MemoryTable struct {
	mu   sync.Mutex
	rows map[string]*wire.Row
}

// NewMemoryTable returns an empty table.
func NewMemoryTable() *MemoryTable {
	return &MemoryTable{rows: make(map[string]*wire.Row)}
}

// Read implements Table.
func (t *MemoryTable) Read(_ context.Context, prefix string) ([]*wire.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*wire.Row, 0, 1)
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, proto.CloneOf(row))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetKey() < out[j].GetKey() })
	return out, nil
}

// Commit implements Table.
func (t *MemoryTable) Commit(_ context.Context, tx *wire.Transaction) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, condition := range tx.GetConditions() {
		if t.rows[condition.GetKey()].GetVersion() != condition.GetVersion() {
			return false, nil
		}
	}
	for _, write := range tx.GetWrites() {
		row := proto.CloneOf(write)
		row.Version = t.rows[write.GetKey()].GetVersion() + 1
		t.rows[write.GetKey()] = row
	}
	return true, nil
}
