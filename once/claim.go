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

	// Claimer claims actions whose names were chosen by their callers. A claim is a
	// row in the platform's table service that is written before the action runs.
	Claimer struct {
		config ClaimerConfig
	}

	// Claim tells which incarnation may run an action.
	Claim struct {
		// Holder is the incarnation that made the claim.
		Holder string
		// Created is set if the claim was made by this call.
		Created bool
	}
)

const claimPrefix = "claim/"

var (
	errorSpace = errorx.NewNamespace("once")

	// ErrNotClaimed means that the action was not claimed and was not run.
	ErrNotClaimed = errorSpace.NewType("not_claimed")
	// ErrUnresolved means that the claim could not be read back. The claim may exist
	// although no instance runs the action.
	ErrUnresolved = errorSpace.NewType("unresolved")
)

// NewClaimer returns a Claimer.
func NewClaimer(config ClaimerConfig) *Claimer {
	return &Claimer{config: config}
}

// Claim claims an action, or returns the existing claim. If the response to the
// write is lost, it reads the row back to learn whether the write took effect.
func (c *Claimer) Claim(ctx context.Context, request Request, attempt string) (Claim, error) {
	rowKey := claimPrefix + actionKey(request)
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
	return Claim{Holder: claimHolder(row.GetValue()), Created: string(row.GetValue()) == value}, nil
}

// claimHolder returns the incarnation from a claim's value, INCARNATION/ATTEMPT.
func claimHolder(value []byte) string {
	for i, b := range value {
		if b == '/' {
			return string(value[:i])
		}
	}
	return string(value)
}
