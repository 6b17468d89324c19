// Package tableservice speaks to the product's own table service and instance list: its table service and its instance
// list. The interfaces are narrow so that other adapters can stand behind them.
package tableservice

import (
	"context"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
)

type (
	// Table is the platform's transactional table service.
	Table interface {
		// Read returns the rows whose keys start with a prefix, in key order.
		Read(ctx context.Context, prefix string) ([]*wire.Row, error)
		// Commit applies a transaction and reports whether its conditions held.
		// After ErrUnknown the transaction may or may not have been applied.
		Commit(ctx context.Context, tx *wire.Transaction) (bool, error)
	}

	// InstanceLister is the platform's lagging list of live and leaving instances.
	InstanceLister interface {
		List(ctx context.Context) (*wire.InstanceList, error)
	}
)

var (
	errorSpace = errorx.NewNamespace("platform")

	// ErrUnavailable means that the platform did not carry out the call.
	ErrUnavailable = errorSpace.NewType("unavailable", errorx.Temporary())
	// ErrUnknownResult means that a write may have been carried out.
	ErrUnknownResult = errorSpace.NewType("unknown_result", errorx.Timeout())
	// ErrRejected means that the platform found the call itself faulty.
	ErrRejected = errorSpace.NewType("rejected")
)

// ReadRow returns one row by its exact key; an absent row has version 0.
func ReadRow(ctx context.Context, table Table, key string) (*wire.Row, error) {
	rows, err := table.Read(ctx, key)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if row.GetKey() == key {
			return row, nil
		}
	}
	return &wire.Row{Key: key}, nil
}
