package once

import (
	"bytes"
	"sync"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// Decision says what to do with a request that may run once.
	Decision int

	// Request identifies an attempt to run an action.
	Request struct {
		Action    string
		Workspace string
		// Fingerprint is a hash of the request's route and body.
		Fingerprint []byte
	}

	// Result is the table's answer to an attempt.
	Result struct {
		Decision Decision
		// Done is closed when the running attempt has ended.
		Done <-chan struct{}
		// Finished is the remembered answer of a finished action.
		Finished *wire.FinishedAction
	}

	// TableConfig configures a Table.
	TableConfig struct {
		Incarnation string
		// MaxActions bounds the actions that are remembered.
		MaxActions int
		// MaxResponseBytes bounds a remembered answer. A longer one is
		// forgotten, and a resend is told that the outcome is unknown.
		MaxResponseBytes int
	}

	// Table remembers the actions of one incarnation. It is safe for
	// concurrent use.
	Table struct {
		config TableConfig

		mu        sync.Mutex
		actions   map[string]*entry
		inherited map[string]handover
		// handedOver is set once this incarnation runs no more actions.
		handedOver bool
	}

	// handover is when a stopped incarnation handed over its actions, by the
	// clock of this incarnation and by that of the stopped one.
	handover struct {
		at     clock.Millis
		itsNow clock.Millis
	}

	entry struct {
		request  Request
		epoch    int64
		done     chan struct{}
		finished *wire.FinishedAction
		// inherited entries belong to a stopped incarnation and never run here.
		inherited bool
	}
)

const (
	// Run means that the caller holds the only right to run the action.
	Run Decision = iota
	// Wait means that the action is running already.
	Wait
	// Replay means that the action has ended and its answer is at hand.
	Replay
	// Conflict means that the name was used for another request.
	Conflict
	// Expired means that the action may have run and been forgotten since, for
	// the name's epoch is over.
	Expired
	// NotOwner means that another incarnation runs the action.
	NotOwner
	// NeverRun means that the issuing incarnation stopped without running the
	// action and handed over the list of those it ran.
	NeverRun
	// TableFull means that the table has no room for another action.
	TableFull
	// HandedOver means that this incarnation runs no more actions and its list
	// is on the way to the others.
	HandedOver
)

// NewTable returns an empty table.
func NewTable(config TableConfig) *Table {
	return &Table{
		config:    config,
		actions:   make(map[string]*entry),
		inherited: make(map[string]handover),
	}
}

// Begin decides on an attempt. After Run the caller must call End exactly once.
func (t *Table) Begin(now clock.Millis, request Request) Result {
	name, ok := ParseActionName(request.Action).Get()
	if !ok {
		return Result{Decision: NotOwner}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.actions[key(request)]; ok {
		return known.ticket(request, t.handedOver)
	}
	if from, ok := t.inherited[name.Incarnation]; ok {
		return from.ticket(now, name)
	}
	if name.Incarnation != t.config.Incarnation {
		return Result{Decision: NotOwner}
	}
	return t.begin(now, request, name.Epoch)
}

// BeginClaimed starts an action whose caller chose its name, after this
// incarnation has claimed the name in the table service.
func (t *Table) BeginClaimed(now clock.Millis, request Request) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.actions[key(request)]; ok {
		return known.ticket(request, t.handedOver)
	}
	return t.begin(now, request, EpochAt(now))
}

// Lookup reports whether an attempt of the action may have run, and returns its
// ticket if so. It never starts the action.
func (t *Table) Lookup(request Request) values.Option[Result] {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.actions[key(request)]
	if !ok || known.finished.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
		return values.None[Result]()
	}
	return values.Some(known.ticket(request, t.handedOver))
}

// End records an action's answer and wakes those who wait for it. An action
// that ended as not run may be begun again.
func (t *Table) End(request Request, answer *wire.FinishedAction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running, ok := t.actions[key(request)]
	if !ok {
		return
	}
	running.finished = t.trim(answer)
	close(running.done)
}

// StopAccepting ends the beginning of actions, so that a list made afterwards is
// complete. Those that run go on.
func (t *Table) StopAccepting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handedOver = true
}

// HandOver stops the table and lists the remembered actions for the others.
func (t *Table) HandOver() []*wire.FinishedAction {
	t.StopAccepting()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*wire.FinishedAction, 0, len(t.actions))
	for _, known := range t.actions {
		out = append(out, known.record())
	}
	return out
}

// AcceptHandover takes in the complete list of the actions that a stopped incarnation
// ran, with the time of its clock. An action under its prefix that is not listed
// was never run.
func (t *Table) AcceptHandover(now clock.Millis, incarnation string, itsNow clock.Millis, actions []*wire.FinishedAction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inherited[incarnation] = handover{at: now, itsNow: itsNow}
	for _, action := range actions {
		request := Request{
			Action:      action.GetAction(),
			Workspace:   action.GetWorkspace(),
			Fingerprint: action.GetFingerprint(),
		}
		done := make(chan struct{})
		close(done)
		t.actions[key(request)] = &entry{
			request:   request,
			epoch:     EpochAt(now),
			done:      done,
			finished:  action,
			inherited: true,
		}
	}
}

// Prune forgets the actions whose epochs are over, and an epoch later the stopped
// incarnations that handed them over.
func (t *Table) Prune(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, known := range t.actions {
		if known.finished != nil && isOver(known.epoch, now) {
			delete(t.actions, k)
		}
	}
	for incarnation, from := range t.inherited {
		if isOver(EpochAt(from.at), now-EpochLength) {
			delete(t.inherited, incarnation)
		}
	}
}

// Len returns the number of remembered actions.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.actions)
}

func (t *Table) begin(now clock.Millis, request Request, epoch int64) Result {
	if epoch > EpochAt(now) || isOver(epoch, now) {
		return Result{Decision: Expired}
	}
	if t.handedOver {
		return Result{Decision: HandedOver}
	}
	if len(t.actions) >= t.config.MaxActions {
		return Result{Decision: TableFull}
	}
	started := &entry{request: request, epoch: epoch, done: make(chan struct{})}
	t.actions[key(request)] = started
	return Result{Decision: Run, Done: started.done}
}

// ticket decides on an action of a stopped incarnation that is not in its list.
// Names count by the stopped incarnation's clock. Its list has been on its way
// for an unknown time, so the last epoch is not vouched for.
func (i handover) ticket(now clock.Millis, name ActionName) Result {
	itsNow := i.itsNow + now - i.at
	if isOver(name.Epoch, itsNow+EpochLength) {
		return Result{Decision: Expired}
	}
	return Result{Decision: NeverRun}
}

// isOver reports whether the actions of an epoch need not be remembered.
func isOver(epoch int64, now clock.Millis) bool {
	return epoch+epochsKept <= EpochAt(now)
}

func (t *Table) trim(answer *wire.FinishedAction) *wire.FinishedAction {
	if len(answer.GetResponse()) <= t.config.MaxResponseBytes {
		return answer
	}
	return &wire.FinishedAction{
		Action:      answer.GetAction(),
		Workspace:   answer.GetWorkspace(),
		Fingerprint: answer.GetFingerprint(),
		Outcome:     wire.Outcome_OUTCOME_UNKNOWN,
	}
}

// ticket answers another attempt of an action that is in the table. One that
// ended as not run is begun again unless the table has stopped.
func (e *entry) ticket(request Request, stopped bool) Result {
	if !bytes.Equal(e.request.Fingerprint, request.Fingerprint) {
		return Result{Decision: Conflict}
	}
	if e.finished == nil {
		return Result{Decision: Wait, Done: e.done}
	}
	if e.finished.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN && !e.inherited {
		if stopped {
			return Result{Decision: HandedOver}
		}
		e.finished = nil
		e.done = make(chan struct{})
		return Result{Decision: Run, Done: e.done}
	}
	return Result{Decision: Replay, Done: e.done, Finished: e.finished}
}

// record describes an entry for a hand-over; one still running is unknown.
func (e *entry) record() *wire.FinishedAction {
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

func key(request Request) string {
	return request.Workspace + "\x00" + request.Action
}
