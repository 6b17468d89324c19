// Package once runs non-idempotent requests, called actions, at most once. The
// action name is the request's idempotency key. Callers look up an action prefix,
// which contains the incarnation that issued it. Only that incarnation runs actions
// under its prefix, and it remembers each one for as long as the prefix is valid. An
// action whose name was chosen by the caller is claimed in the table service instead.
package once

import (
	"bytes"
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// Decision tells how to proceed with an attempt to run an action.
	Decision int

	// Request is a request to run an action.
	Request struct {
		Action    string
		Workspace string
		// Fingerprint is a hash of the request's content. A request that is sent
		// again has the same one.
		Fingerprint []byte
	}

	// Result is the table's decision on an attempt to run an action.
	Result struct {
		Decision Decision
		// Done is closed once the running attempt has ended. It is set for Run, Wait
		// and Replay.
		Done <-chan struct{}
		// Finished is the remembered outcome and response of the action. It is set
		// for Replay.
		Finished *wire.FinishedAction
	}

	// TableConfig configures a Table.
	TableConfig struct {
		Incarnation string
		// MaxActions is the number of remembered actions at which no new one starts.
		// Actions from handovers are accepted beyond it.
		MaxActions int
		// MaxResponseBytes limits the size of a remembered response. A longer one is
		// dropped, and the outcome reported for further attempts is unknown.
		MaxResponseBytes int
	}

	// Table remembers the actions that one incarnation has run or is running, and
	// those handed over to it. It is safe for concurrent use.
	Table struct {
		config TableConfig

		mu      sync.Mutex
		actions map[string]*entry
		// handovers holds the handovers by the stopped incarnation that sent them.
		handovers map[string]handover
		// stopped is set once this incarnation starts no more actions.
		stopped bool
	}

	// handover is the time at which a stopped incarnation handed over its actions.
	// The two clocks are unrelated, and the epochs in action names count by that of
	// the sender.
	handover struct {
		// receivedAt is the time of receipt by this incarnation's clock.
		receivedAt clock.Millis
		// senderNow is the sender's time in its message, by its own clock.
		senderNow clock.Millis
	}

	// entry is a running or finished action.
	entry struct {
		request Request
		epoch   int64
		// done is closed once the running attempt has ended.
		done chan struct{}
		// finished is nil while an attempt runs.
		finished *wire.FinishedAction
		// fromHandover is set if the action belongs to a stopped incarnation. Such an
		// action never runs here.
		fromHandover bool
	}
)

const (
	// Run means that this attempt has the exclusive right to run the action.
	Run Decision = iota
	// Wait means that the action is already running.
	Wait
	// Replay means that the action has ended and that its outcome is returned.
	Replay
	// Conflict means that the name was used for a different request.
	Conflict
	// Expired means that the action may have run and been forgotten since, because
	// the epoch in its name is no longer retained. An epoch in the future is treated
	// alike.
	Expired
	// NotOwner means that another incarnation runs the action, or that its name has
	// no prefix and it must be claimed first.
	NotOwner
	// NeverRun means that the incarnation in the action's name stopped without
	// running it, as the list of actions that it handed over shows.
	NeverRun
	// TableFull means that the table remembers as many actions as it may.
	TableFull
	// HandedOver means that this incarnation has stopped starting actions and is
	// handing over the list of those it ran.
	HandedOver
)

// NewTable returns an empty table.
func NewTable(config TableConfig) *Table {
	return &Table{
		config:    config,
		actions:   make(map[string]*entry),
		handovers: make(map[string]handover),
	}
}

// Begin decides how to proceed with an attempt to run an action. After the decision
// Run, End must be called exactly once.
func (t *Table) Begin(now clock.Millis, request Request) Result {
	name, ok := ParseActionName(request.Action).Get()
	if !ok {
		return Result{Decision: NotOwner}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.actions[actionKey(request)]; ok {
		return known.result(request, t.stopped)
	}
	if from, ok := t.handovers[name.Incarnation]; ok {
		return from.result(now, name)
	}
	if name.Incarnation != t.config.Incarnation {
		return Result{Decision: NotOwner}
	}
	return t.start(now, request, name.Epoch)
}

// BeginClaimed is like Begin for an action whose name was chosen by its caller. This
// incarnation must have claimed the action in the table service.
func (t *Table) BeginClaimed(now clock.Millis, request Request) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.actions[actionKey(request)]; ok {
		return known.result(request, t.stopped)
	}
	return t.start(now, request, EpochAt(now))
}

// Lookup returns the decision on an action that may have run or is running, or
// nothing if it has not run as far as this table knows. It never starts the action.
func (t *Table) Lookup(request Request) values.Option[Result] {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.actions[actionKey(request)]
	if !ok || known.finished.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
		return values.None[Result]()
	}
	return values.Some(known.result(request, t.stopped))
}

// End records the response of an action and wakes the attempts that wait for it. An
// action that ended with the outcome not run may be started again.
func (t *Table) End(request Request, response *wire.FinishedAction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running, ok := t.actions[actionKey(request)]
	if !ok {
		return
	}
	running.finished = t.limitResponse(response)
	close(running.done)
}

// StopAccepting makes the table start no more actions, so that a list made afterwards
// is complete. Running actions continue.
func (t *Table) StopAccepting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}

// HandOver makes the table start no more actions and returns the remembered ones, to
// be sent to the other instances.
func (t *Table) HandOver() []*wire.FinishedAction {
	t.StopAccepting()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*wire.FinishedAction, 0, len(t.actions))
	for _, known := range t.actions {
		out = append(out, known.handoverRecord())
	}
	return out
}

// AcceptHandover records the complete list of the actions that a stopped incarnation
// ran, and the time by its clock. An action under its prefix that is not listed was
// never run. A listed action that this incarnation runs or ran itself came from an
// earlier handover and keeps its entry here.
func (t *Table) AcceptHandover(now clock.Millis, incarnation string, senderNow clock.Millis, actions []*wire.FinishedAction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handovers[incarnation] = handover{receivedAt: now, senderNow: senderNow}
	for _, action := range actions {
		request := Request{
			Action:      action.GetAction(),
			Workspace:   action.GetWorkspace(),
			Fingerprint: action.GetFingerprint(),
		}
		if known, ok := t.actions[actionKey(request)]; ok && !known.fromHandover {
			continue
		}
		done := make(chan struct{})
		close(done)
		t.actions[actionKey(request)] = &entry{
			request:      request,
			epoch:        EpochAt(now),
			done:         done,
			finished:     action,
			fromHandover: true,
		}
	}
}

// Prune removes the finished actions whose epochs are no longer retained. Handovers
// are removed an epoch later than the actions that came with them.
func (t *Table) Prune(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, known := range t.actions {
		if known.finished != nil && retentionEnded(known.epoch, now) {
			delete(t.actions, k)
		}
	}
	for incarnation, from := range t.handovers {
		if retentionEnded(EpochAt(from.receivedAt), now-EpochLength) {
			delete(t.handovers, incarnation)
		}
	}
}

// Len returns the number of remembered actions.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.actions)
}

// start starts a new action, unless its epoch is in the future or no longer retained,
// or the table is full or accepts no more actions. The caller must hold the lock.
func (t *Table) start(now clock.Millis, request Request, epoch int64) Result {
	if epoch > EpochAt(now) || retentionEnded(epoch, now) {
		return Result{Decision: Expired}
	}
	if t.stopped {
		return Result{Decision: HandedOver}
	}
	if len(t.actions) >= t.config.MaxActions {
		return Result{Decision: TableFull}
	}
	started := &entry{request: request, epoch: epoch, done: make(chan struct{})}
	t.actions[actionKey(request)] = started
	return Result{Decision: Run, Done: started.done}
}

// result decides on an action of a stopped incarnation that is not in its list. The
// epoch in the name counts by the sender's clock. Because the list was in transit for
// an unknown time, actions count as expired one epoch early.
func (h handover) result(now clock.Millis, name ActionName) Result {
	senderNow := h.senderNow + now - h.receivedAt
	if retentionEnded(name.Epoch, senderNow+EpochLength) {
		return Result{Decision: Expired}
	}
	return Result{Decision: NeverRun}
}

// retentionEnded reports whether the actions of an epoch need no longer be
// remembered.
func retentionEnded(epoch int64, now clock.Millis) bool {
	return epoch+epochsRetained <= EpochAt(now)
}

// limitResponse returns a finished action without its response, and with an unknown
// outcome, if the response exceeds MaxResponseBytes.
func (t *Table) limitResponse(action *wire.FinishedAction) *wire.FinishedAction {
	if len(action.GetResponse()) <= t.config.MaxResponseBytes {
		return action
	}
	return &wire.FinishedAction{
		Action:      action.GetAction(),
		Workspace:   action.GetWorkspace(),
		Fingerprint: action.GetFingerprint(),
		Outcome:     wire.Outcome_OUTCOME_UNKNOWN,
	}
}

// result decides on another attempt at an action that is in the table. An action that
// ended with the outcome not run is started again, unless the table has stopped or
// the action came with a handover.
func (e *entry) result(request Request, stopped bool) Result {
	if !bytes.Equal(e.request.Fingerprint, request.Fingerprint) {
		return Result{Decision: Conflict}
	}
	if e.finished == nil {
		return Result{Decision: Wait, Done: e.done}
	}
	if e.finished.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN && !e.fromHandover {
		if stopped {
			return Result{Decision: HandedOver}
		}
		e.finished = nil
		e.done = make(chan struct{})
		return Result{Decision: Run, Done: e.done}
	}
	return Result{Decision: Replay, Done: e.done, Finished: e.finished}
}

// handoverRecord returns an entry for the list of a handover. The outcome of an
// action that is still running is unknown.
func (e *entry) handoverRecord() *wire.FinishedAction {
	if e.finished != nil {
		return e.finished
	}
	return &wire.FinishedAction{
		Action:      e.request.Action,
		Workspace:   e.request.Workspace,
		Fingerprint: e.request.Fingerprint,
		Outcome:     wire.Outcome_OUTCOME_UNKNOWN,
	}
}

// actionKey returns the map key of an action. Names are unique per workspace.
func actionKey(request Request) string {
	return request.Workspace + "\x00" + request.Action
}
