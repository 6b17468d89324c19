// Package tableservice is a client of the platform's table service and of its list of
// instances, for the entry command. The steer command uses package platform instead. The
// interfaces are narrow so that other implementations can replace the client.
package tableservice

import (
	"context"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
)

type (
	// Table is a table of versioned rows with conditional writes.
	Table interface {
		// Read returns the rows whose keys start with a prefix, in key order.
		Read(ctx context.Context, prefix string) ([]*wire.Row, error)
		// Commit applies a transaction if its conditions hold, and reports whether
		// they did. After ErrUnknownResult the transaction may or may not have been
		// applied; after ErrUnavailable it has not.
		Commit(ctx context.Context, tx *wire.Transaction) (bool, error)
	}

	// InstanceLister reads the platform's list of running and leaving instances.
	InstanceLister interface {
		// ListInstances returns the list, which may be out of date.
		ListInstances(ctx context.Context) (*wire.InstanceList, error)
	}
)

var (
	errorSpace = errorx.NewNamespace("platform")

	// ErrUnavailable means that a read failed or that a write was not sent.
	ErrUnavailable = errorSpace.NewType("unavailable", errorx.Temporary())
	// ErrUnknownResult means that a write may have been applied.
	ErrUnknownResult = errorSpace.NewType("unknown_result", errorx.Timeout())
	// ErrRejected means that the request could not be encoded. It is only returned as
	// the cause of another error.
	ErrRejected = errorSpace.NewType("rejected")
)

// ReadRow returns the row with the given key. If there is none, it returns one with
// version 0.
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
