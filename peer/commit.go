package peer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/authority"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/tableservice"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
)

type (
	// commitRequest describes one change of the fleet's state.
	commitRequest struct {
		// id stays the same when the change is sent again.
		id     string
		kind   string
		author string
		// apply modifies a copy of the state whose revision is already set.
		apply func(state *wire.State) error
		// recordHistory adds the change to the history of the rules.
		recordHistory bool
	}
)

const (
	stateKey      = "state"
	revisionKey   = "revision"
	historyPrefix = "history/"
	// maxRecentChanges is the number of changes that a state lists. A change that
	// is sent again is recognized by them.
	maxRecentChanges = 64
	changeIDBytes    = 12
	commitAttempts   = 8
	confirmTimeout   = 3 * clock.Second
	// confirmCheckInterval is the time between checks of a pending confirmation.
	confirmCheckInterval = 5 * clock.Millis(1)
	historyKeyPattern    = historyPrefix + "%012d"
)

var (
	errSuperseded = errorSpace.NewType("superseded")
	errBadChange  = errorSpace.NewType("bad_change")
)

// commit applies a change in three steps. First, the holders of a majority of the
// prior slots confirm the current revision. Second, the change is written to the
// table service on the condition that this revision is still the latest. Third,
// the new revision is pushed to the peers until the holders of a majority of the
// slots in the revision before it have it; only then is the change accepted. If
// the response to the write is lost, the state is read again to find out whether
// the change was stored.
func (f *Fleet) commit(ctx context.Context, request commitRequest) *wire.ChangeResult {
	for range commitAttempts {
		state, err := f.readStore(ctx)
		if err != nil {
			return &wire.ChangeResult{Error: "the table service cannot be read, nothing was changed: " + err.Error()}
		}
		if revision, ok := findChangeRevision(state, request.id).Get(); ok {
			return f.confirmChange(ctx, revision)
		}
		if !f.awaitConfirmation(ctx, state.GetRevision()) {
			return f.withUnconfirmed(&wire.ChangeResult{Error: "the present revision is not confirmed by more than half of the fleet's slots, nothing was changed"})
		}
		next, err := nextState(state, request)
		if err != nil {
			return &wire.ChangeResult{Error: err.Error(), Revision: state.GetRevision()}
		}
		committed, err := f.config.Table.Commit(ctx, newTransaction(state, next, request))
		if err == nil && committed {
			f.adoptIfNewer(next)
			return f.confirmChange(ctx, next.GetRevision())
		}
		if errorx.IsOfType(err, tableservice.ErrUnavailable) {
			return &wire.ChangeResult{Error: "the table service cannot be reached, nothing was changed"}
		}
	}
	return &wire.ChangeResult{Error: "the change could not be stored: too many changes at once, or answers of the table service were lost"}
}

// readStore returns the latest state and adopts it if it is newer. It reads the
// small revision row of the table service first, and the state row only if the
// revision is higher than the current one.
func (f *Fleet) readStore(ctx context.Context) (*wire.State, error) {
	sentAt := f.config.Clock.Now()
	head, err := tableservice.ReadRow(ctx, f.config.Table, revisionKey)
	if err != nil {
		return nil, err
	}
	state := f.State()
	if head.GetVersion() > state.GetRevision() {
		state, err = f.readState(ctx)
		if err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	adopted := f.view.OnStoreRead(sentAt, f.config.Clock.Now(), state)
	f.recordState(adopted)
	f.mu.Unlock()
	f.notifyListeners(adopted)
	return state, nil
}

func (f *Fleet) readState(ctx context.Context) (*wire.State, error) {
	row, err := tableservice.ReadRow(ctx, f.config.Table, stateKey)
	if err != nil {
		return nil, err
	}
	state := &wire.State{}
	if err := proto.Unmarshal(row.GetValue(), state); err != nil {
		return nil, errBadChange.Wrap(err, "decoding the stored state")
	}
	return state, nil
}

// confirmChange waits until a stored revision is confirmed and returns the result
// of its change.
func (f *Fleet) confirmChange(ctx context.Context, revision int64) *wire.ChangeResult {
	result := &wire.ChangeResult{Stored: true, Revision: revision}
	if f.awaitConfirmation(ctx, revision) {
		result.Accepted = true
		return result
	}
	result.Error = "the change is stored, but more than half of the fleet's slots have not confirmed it yet"
	return f.withUnconfirmed(result)
}

// withUnconfirmed adds the instances that have not confirmed the current revision.
func (f *Fleet) withUnconfirmed(result *wire.ChangeResult) *wire.ChangeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	result.Unreached = f.view.UnconfirmedInstances()
	return result
}

// awaitConfirmation pushes the current state until the holders of a majority of
// the prior slots are known to have the given revision, or confirmTimeout passes.
// A higher revision confirms it too, because a state is written only after the one
// before it was confirmed.
func (f *Fleet) awaitConfirmation(ctx context.Context, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
	defer cancel()
	for {
		if f.isConfirmed(revision) {
			return true
		}
		f.pushAll(ctx)
		select {
		case <-ctx.Done():
			return f.isConfirmed(revision)
		case <-time.After(confirmCheckInterval.Duration()):
		}
	}
}

func (f *Fleet) isConfirmed(revision int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.State().GetRevision() > revision {
		return true
	}
	_, ok := f.view.ConfirmedAt()
	return ok && f.view.State().GetRevision() == revision
}

// pushAll sends the current state to every peer. It returns when the state is
// confirmed, when all pushes have ended, or when the context ends.
func (f *Fleet) pushAll(ctx context.Context) {
	f.mu.Lock()
	addresses := f.knownAddresses()
	state := f.view.State()
	f.mu.Unlock()
	var group sync.WaitGroup
	for _, address := range addresses {
		if address != f.config.Self.GetPeerAddress() {
			group.Go(func() { f.push(address, state) })
		}
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	for !f.isConfirmed(state.GetRevision()) {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-time.After(confirmCheckInterval.Duration()):
		}
	}
}

// push sends a state to one peer. It does not use the context of the change, so
// that the push to a slow peer continues after the change is confirmed.
func (f *Fleet) push(address string, state *wire.State) {
	ctx, cancel := context.WithTimeout(context.Background(), f.config.Timing.AuthorityTerm.Duration())
	defer cancel()
	sentAt := f.config.Clock.Now()
	response, err := f.config.Network.Call(ctx, address, &wire.PeerRequest{
		Body: &wire.PeerRequest_Push{Push: state},
	})
	if err != nil {
		f.config.Log.Debug("failed to push the state", "address", address, "error", err)
		return
	}
	f.recordPushResponse(sentAt, address, response.GetPush())
}

// recordPushResponse records which revision a peer has.
func (f *Fleet) recordPushResponse(sentAt clock.Millis, address string, response *wire.PushAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.OnPeerResponse(sentAt, f.config.Clock.Now(), authority.PeerResponse{
		Incarnation: response.GetIncarnation(),
		PeerAddress: address,
		Revision:    response.GetRevision(),
	})
}

// handlePush adopts a peer's state if it is newer, and responds with the revision
// that is current afterwards.
func (f *Fleet) handlePush(state *wire.State) *wire.PushAnswer {
	f.adoptIfNewer(state)
	return &wire.PushAnswer{
		Incarnation: f.config.Self.GetIncarnation(),
		Revision:    f.State().GetRevision(),
	}
}

// nextState returns the state after a change.
func nextState(state *wire.State, request commitRequest) (*wire.State, error) {
	next := proto.CloneOf(state)
	next.Revision = state.GetRevision() + 1
	if err := request.apply(next); err != nil {
		return nil, err
	}
	authority.RecordSeatChange(next, state)
	next.Changes = append(next.Changes, &wire.Change{
		Id:       request.id,
		Revision: next.GetRevision(),
		Kind:     request.kind,
		Who:      request.author,
	})
	if extra := len(next.GetChanges()) - maxRecentChanges; extra > 0 {
		next.Changes = next.GetChanges()[extra:]
	}
	return next, nil
}

// newTransaction returns the write of a state on the condition that the state
// before it is still the latest. Every revision writes the state row and the
// revision row exactly once, so the version of each row equals the revision.
func newTransaction(state, next *wire.State, request commitRequest) *wire.Transaction {
	value, _ := proto.Marshal(next)
	tx := &wire.Transaction{
		Conditions: []*wire.Condition{{Key: stateKey, Version: state.GetRevision()}},
		Writes:     []*wire.Row{{Key: stateKey, Value: value}, {Key: revisionKey}},
	}
	if request.recordHistory {
		entry, _ := proto.Marshal(&wire.HistoryEntry{
			Change:    next.GetChanges()[len(next.GetChanges())-1],
			RulesText: next.GetRulesText(),
		})
		key := fmt.Sprintf(historyKeyPattern, next.GetRevision())
		tx.Writes = append(tx.Writes, &wire.Row{Key: key, Value: entry})
	}
	return tx
}

// findChangeRevision returns the revision in which a change was stored, if the
// state still lists it.
func findChangeRevision(state *wire.State, id string) values.Option[int64] {
	for _, change := range state.GetChanges() {
		if change.GetId() == id {
			return values.Some(change.GetRevision())
		}
	}
	return values.None[int64]()
}

func newChangeID() string {
	raw := make([]byte, changeIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
