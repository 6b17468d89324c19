package tableservice

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

// MemoryTable is a table held in this process. It stands in for the platform's
// table service in tests and in the stand-in program.
type MemoryTable struct {
	mu   sync.Mutex
	rows map[string]*wire.Row
}

// NewMemoryTable returns an empty table.
func NewMemoryTable() *MemoryTable {
	return &MemoryTable{rows: make(map[string]*wire.Row)}
}

// Read implements Table.
func (m *MemoryTable) Read(_ context.Context, prefix string) ([]*wire.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*wire.Row, 0, 1)
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, proto.CloneOf(row))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetKey() < out[j].GetKey() })
	return out, nil
}

// Commit implements Table.
func (m *MemoryTable) Commit(_ context.Context, tx *wire.Transaction) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, condition := range tx.GetConditions() {
		if m.rows[condition.GetKey()].GetVersion() != condition.GetVersion() {
			return false, nil
		}
	}
	for _, write := range tx.GetWrites() {
		row := proto.CloneOf(write)
		row.Version = m.rows[write.GetKey()].GetVersion() + 1
		m.rows[write.GetKey()] = row
	}
	return true, nil
}
