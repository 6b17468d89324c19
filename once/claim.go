package once

import (
	"context"

	"github.com/bulrushferry/bulrushferry/tableservice"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
)

type (
	// ClaimerConfig configures a Claimer.
	ClaimerConfig struct {
		Table       tableservice.Table
		Incarnation string
	}

	// Claimer claims the names that callers chose themselves in the platform's
	// table service, before anything runs.
	Claimer struct {
		config ClaimerConfig
	}

	// Claim says which incarnation may run an action.
	Claim struct {
		Holder string
		// Created is set when this call made the claim.
		Created bool
	}
)

const claimPrefix = "claim/"

var (
	errorSpace = errorx.NewNamespace("once")

	// ErrNotClaimed means that the action was not claimed and was not run.
	ErrNotClaimed = errorSpace.NewType("not_claimed")
	// ErrUnresolved means that a claim may exist that nobody will act on.
	ErrUnresolved = errorSpace.NewType("unresolved")
)

// NewClaimer returns a claimer.
func NewClaimer(config ClaimerConfig) *Claimer {
	return &Claimer{config: config}
}

// Claim makes or reads the claim of an action. An answer that was lost after
// the write is resolved by reading the row back.
func (c *Claimer) Claim(ctx context.Context, request Request, attempt string) (Claim, error) {
	rowKey := claimPrefix + key(request)
	value := c.config.Incarnation + "/" + attempt
	tx := &wire.Transaction{
		Conditions: []*wire.Condition{{Key: rowKey}},
		Writes:     []*wire.Row{{Key: rowKey, Value: []byte(value)}},
	}
	committed, err := c.config.Table.Commit(ctx, tx)
	if err == nil && committed {
		return Claim{Holder: c.config.Incarnation, Created: true}, nil
	}
	if errorx.IsOfType(err, tableservice.ErrUnavailable) {
		return Claim{}, ErrNotClaimed.Wrap(err, "claiming action %s", request.Action)
	}
	row, readErr := tableservice.ReadRow(ctx, c.config.Table, rowKey)
	if readErr != nil {
		return Claim{}, ErrUnresolved.Wrap(readErr, "reading back the claim of action %s", request.Action)
	}
	if row.GetVersion() == 0 {
		return Claim{}, ErrUnresolved.New("claim of action %s is not in the table after a lost answer", request.Action)
	}
	return Claim{Holder: holderOf(row.GetValue()), Created: string(row.GetValue()) == value}, nil
}

func holderOf(value []byte) string {
	for i, b := range value {
		if b == '/' {
			return string(value[:i])
		}
	}
	return string(value)
}
