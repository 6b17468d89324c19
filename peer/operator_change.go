package peer

import (
	"context"

	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/tableservice"
	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

const (
	changeKindRules        = "rules"
	changeKindKeyIssued    = "key_issued"
	changeKindKeyWithdrawn = "key_withdrawn"
)

// Change applies an operator's change to the fleet's state. A change that is sent
// again with the same id has no further effect while the state still lists it.
func (f *Fleet) Change(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResult {
	if request.GetId() == "" {
		return &wire.ChangeResult{Error: "the change has no id"}
	}
	f.declareDead(request.GetDeadInstances())
	switch change := request.GetChange().(type) {
	case *wire.ChangeRequest_RulesText:
		return f.applyRules(ctx, request, change.RulesText)
	case *wire.ChangeRequest_IssueKey:
		return f.issueKey(ctx, request, change.IssueKey)
	case *wire.ChangeRequest_WithdrawKeyId:
		return f.withdrawKey(ctx, request, change.WithdrawKeyId)
	default:
		return &wire.ChangeResult{Error: "the change is of no known kind"}
	}
}

// declareDead marks instances as dead on an operator's statement, so that changes
// do not wait for their confirmation.
func (f *Fleet) declareDead(instances []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, instance := range instances {
		f.config.Log.Warn("operator declared an instance dead", "dead", instance)
		f.view.DeclareDead(f.config.Clock.Now(), instance)
	}
}

func (f *Fleet) applyRules(ctx context.Context, request *wire.ChangeRequest, text string) *wire.ChangeResult {
	parsed, faults := rules.Parse([]byte(text))
	if len(faults) > 0 {
		return &wire.ChangeResult{Faults: faults, Error: "the rules file has faults, nothing was changed"}
	}
	return f.commit(ctx, commitRequest{
		id:            request.GetId(),
		kind:          changeKindRules,
		author:        request.GetWho(),
		recordHistory: true,
		apply: func(state *wire.State) error {
			if state.GetRulesRevision() != request.GetExpectedRulesRevision() {
				return errSuperseded.New("the rules are at revision %d, the change was made on revision %d: nothing was changed",
					state.GetRulesRevision(), request.GetExpectedRulesRevision())
			}
			state.RulesRevision = state.GetRevision()
			state.RulesText = text
			state.Rules = parsed
			return nil
		},
	})
}

func (f *Fleet) issueKey(ctx context.Context, request *wire.ChangeRequest, key *wire.Key) *wire.ChangeResult {
	return f.commit(ctx, commitRequest{
		id:     request.GetId(),
		kind:   changeKindKeyIssued,
		author: request.GetWho(),
		apply: func(state *wire.State) error {
			if rules.Workspace(state.GetRules(), key.GetWorkspace()) == nil {
				return errBadChange.New("there is no workspace %q", key.GetWorkspace())
			}
			if findKey(state, key.GetId()) != nil {
				return errBadChange.New("there is a key %q already", key.GetId())
			}
			state.Keys = append(state.Keys, proto.CloneOf(key))
			return nil
		},
	})
}

func (f *Fleet) withdrawKey(ctx context.Context, request *wire.ChangeRequest, id string) *wire.ChangeResult {
	return f.commit(ctx, commitRequest{
		id:     request.GetId(),
		kind:   changeKindKeyWithdrawn,
		author: request.GetWho(),
		apply: func(state *wire.State) error {
			key := findKey(state, id)
			if key == nil {
				return errBadChange.New("there is no key %q", id)
			}
			key.Withdrawn = true
			return nil
		},
	})
}

func findKey(state *wire.State, id string) *wire.Key {
	for _, key := range state.GetKeys() {
		if key.GetId() == id {
			return key
		}
	}
	return nil
}

// History returns the stored rules files, oldest first.
func (f *Fleet) History(ctx context.Context) ([]*wire.HistoryEntry, error) {
	rows, err := f.config.Table.Read(ctx, historyPrefix)
	if err != nil {
		return nil, tableservice.ErrUnavailable.Wrap(err, "reading the rules' history")
	}
	var entries []*wire.HistoryEntry
	for _, row := range rows {
		entry := &wire.HistoryEntry{}
		if err := proto.Unmarshal(row.GetValue(), entry); err != nil {
			return nil, errBadChange.Wrap(err, "decoding %s", row.GetKey())
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
