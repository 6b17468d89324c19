package once

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/tableservice"
	"github.com/bulrushferry/bulrushferry/wire"
	"pgregory.net/rapid"
)

func newTestTable(incarnation string) *Table {
	return NewTable(TableConfig{Incarnation: incarnation, MaxActions: 50, MaxResponseBytes: 100})
}

func finished(request Request, outcome wire.Outcome) *wire.FinishedAction {
	return &wire.FinishedAction{
		Action: request.Action, Workspace: request.Workspace, Fingerprint: request.Fingerprint,
		Outcome: outcome, Response: []byte("answer"),
	}
}

// twoTables models two incarnations, a-1 and b-2. Attempts at the actions of either
// one may be sent to both.
type twoTables struct {
	tables map[string]*Table
	// ran tells which actions may have run.
	ran     map[string]bool
	running map[string]*Table
	// stopped is set once a-1 has handed over to b-2.
	stopped bool
	// now is the time by the clock of a-1.
	now clock.Millis
	// aheadEpochs is how many epochs the clock of b-2 is ahead of that of a-1.
	aheadEpochs int64
}

// localTime returns the time by the clock of an incarnation.
func (m *twoTables) localTime(incarnation string) clock.Millis {
	if incarnation == "b-2" {
		return m.now + clock.Millis(m.aheadEpochs)*EpochLength
	}
	return m.now
}

// TestActionsNeverRunTwice guards against an action that starts again once it may
// have run, or that is reported as never run although it ran. Attempts reach two
// incarnations in any order and end in any way, while time passes and one table is
// handed over.
func TestActionsNeverRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &twoTables{
			tables:      map[string]*Table{"a-1": newTestTable("a-1"), "b-2": newTestTable("b-2")},
			ran:         make(map[string]bool),
			running:     make(map[string]*Table),
			now:         100 * EpochLength,
			aheadEpochs: rapid.Int64Range(-80, 80).Draw(t, "ahead"),
		}
		t.Repeat(map[string]func(*rapid.T){
			"send":      m.send,
			"send more": m.send,
			"end":       m.end,
			"pass time": m.passTime,
			"hand over": m.handOver,
		})
	})
}

func (m *twoTables) drawRequest(t *rapid.T) Request {
	owner := rapid.SampledFrom([]string{"a-1", "b-2"}).Draw(t, "owner")
	epoch := EpochAt(m.localTime(owner)-m.now) + 99 + rapid.Int64Range(0, 2).Draw(t, "epoch")
	action := ActionPrefix(owner, epoch) + fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "n"))
	return Request{Action: action, Workspace: "w", Fingerprint: []byte{1}}
}

func (m *twoTables) send(t *rapid.T) {
	request := m.drawRequest(t)
	at := rapid.SampledFrom([]string{"a-1", "b-2"}).Draw(t, "at")
	result := m.tables[at].Begin(m.localTime(at), request)
	if result.Decision == NeverRun && m.ran[request.Action] {
		t.Fatalf("%s ran, but is reported as never run", request.Action)
	}
	if result.Decision != Run {
		return
	}
	if m.ran[request.Action] || m.running[request.Action] != nil {
		t.Fatalf("%s started again at %s", request.Action, at)
	}
	m.running[request.Action] = m.tables[at]
}

func (m *twoTables) end(t *rapid.T) {
	request := m.drawRequest(t)
	table := m.running[request.Action]
	if table == nil {
		return
	}
	outcomes := []wire.Outcome{wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_UNKNOWN, wire.Outcome_OUTCOME_NOT_RUN}
	outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
	table.End(request, finished(request, outcome))
	m.ran[request.Action] = outcome != wire.Outcome_OUTCOME_NOT_RUN
	delete(m.running, request.Action)
}

func (m *twoTables) passTime(t *rapid.T) {
	m.now += clock.Millis(rapid.Int64Range(0, 3*int64(EpochLength)).Draw(t, "span"))
	for incarnation, table := range m.tables {
		table.Prune(m.localTime(incarnation))
	}
}

func (m *twoTables) handOver(*rapid.T) {
	if m.stopped || len(m.running) > 0 {
		return
	}
	m.stopped = true
	m.tables["b-2"].AcceptHandover(m.localTime("b-2"), "a-1", m.localTime("a-1"), m.tables["a-1"].HandOver())
}

// TestForgottenActionsAreNotReportedAsNeverRun guards against an action that runs
// again because its successor reports it as never run. That would happen if the
// successor, after either table has forgotten the action, took its absence as proof
// that it did not run.
func TestForgottenActionsAreNotReportedAsNeverRun(t *testing.T) {
	const epoch = 100
	began := clock.Millis(epoch) * EpochLength
	cases := map[string]struct {
		// handedOver and resent are the times since the run of the handover and of
		// the second attempt, which is sent to the successor.
		handedOver, resent clock.Millis
		want               Decision
	}{
		"soon after":                                     {handedOver: 0, resent: clock.Second, want: Replay},
		"forgotten by the successor":                     {handedOver: 0, resent: 3 * EpochLength, want: Expired},
		"forgotten before the handover":                  {handedOver: 3 * EpochLength, resent: 3 * EpochLength, want: Expired},
		"forgotten, and the successor's clock is behind": {handedOver: 3 * EpochLength, resent: 2 * EpochLength, want: Expired},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request := Request{Action: ActionPrefix("a-1", epoch) + "1", Workspace: "w", Fingerprint: []byte{1}}
			issuer, successor := newTestTable("a-1"), newTestTable("b-2")
			issuer.Begin(began, request)
			issuer.End(request, finished(request, wire.Outcome_OUTCOME_DONE))
			issuer.Prune(began + c.handedOver)
			successor.AcceptHandover(began+min(c.handedOver, c.resent), "a-1", began+c.handedOver, issuer.HandOver())
			successor.Prune(began + c.resent)
			if got := successor.Begin(began+c.resent, request).Decision; got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
		})
	}
}

// TestHandoverKeepsRunningAction has two incarnations hand over to each other while one
// of them runs an action. The list that comes back must not replace the running action:
// its end would panic, and its response would be lost.
func TestHandoverKeepsRunningAction(t *testing.T) {
	const now = clock.Millis(1)
	config := TableConfig{Incarnation: "a-1", MaxActions: 10, MaxResponseBytes: 100}
	runner := NewTable(config)
	config.Incarnation = "b-1"
	heir := NewTable(config)
	request := Request{Action: ActionPrefix("a-1", EpochAt(now)) + "x", Workspace: "w", Fingerprint: []byte("f")}
	began := runner.Begin(now, request)
	if began.Decision != Run {
		t.Fatalf("decision %d, want Run", began.Decision)
	}
	heir.AcceptHandover(now, "a-1", now, runner.HandOver())
	runner.AcceptHandover(now, "b-1", now, heir.HandOver())
	runner.End(request, &wire.FinishedAction{Action: request.Action, Workspace: "w", Fingerprint: []byte("f"), Outcome: wire.Outcome_OUTCOME_DONE})
	again := runner.Begin(now, request)
	if again.Decision != Replay || again.Finished.GetOutcome() != wire.Outcome_OUTCOME_DONE {
		t.Errorf("got decision %d and outcome %v, want a replay of the finished action", again.Decision, again.Finished.GetOutcome())
	}
	select {
	case <-began.Done:
	default:
		t.Error("attempts that wait for the action were not woken")
	}
}

func TestParseActionName(t *testing.T) {
	cases := map[string]bool{
		ActionPrefix("sierra-1-abc", 12) + "x": true,
		ActionPrefix("sierra-1-abc", 12):       false,
		"chosen":                               false,
		"act..12.x":                            false,
		"act.a.twelve.x":                       false,
	}
	for action, want := range cases {
		if _, ok := ParseActionName(action).Get(); ok != want {
			t.Errorf("%q: got %t, want %t", action, ok, want)
		}
	}
}

// faultyTable is a table service that loses responses or is unavailable.
type faultyTable struct {
	tableservice.Table
	loseCommitResponse bool
	commitDown         bool
	readDown           bool
}

func (f *faultyTable) Commit(ctx context.Context, tx *wire.Transaction) (bool, error) {
	if f.commitDown {
		return false, tableservice.ErrUnavailable.New("down")
	}
	committed, err := f.Table.Commit(ctx, tx)
	if f.loseCommitResponse {
		return false, tableservice.ErrUnknownResult.New("lost")
	}
	return committed, err
}

func (f *faultyTable) Read(ctx context.Context, prefix string) ([]*wire.Row, error) {
	if f.readDown {
		return nil, tableservice.ErrUnavailable.New("down")
	}
	return f.Table.Read(ctx, prefix)
}

// TestClaim guards against a claim that is made twice after the response to its write
// was lost, or that is reported as made although the table service failed.
func TestClaim(t *testing.T) {
	request := Request{Action: "chosen", Workspace: "w"}
	cases := map[string]struct {
		table    faultyTable
		wantNew  bool
		wantType error
	}{
		"made":                             {faultyTable{}, true, nil},
		"response lost, read back":         {faultyTable{loseCommitResponse: true}, true, nil},
		"response lost, read fails":        {faultyTable{loseCommitResponse: true, readDown: true}, false, ErrUnresolved.New("")},
		"the table service is unavailable": {faultyTable{commitDown: true}, false, ErrNotClaimed.New("")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.table.Table = tableservice.NewMemoryTable()
			claim, err := NewClaimer(ClaimerConfig{Table: &c.table, Incarnation: "a-1"}).Claim(t.Context(), request, "1")
			if claim.Created != c.wantNew || (err == nil) != (c.wantType == nil) {
				t.Errorf("got %+v, %v", claim, err)
			}
			c.table.readDown, c.table.loseCommitResponse, c.table.commitDown = false, false, false
			again, err := NewClaimer(ClaimerConfig{Table: &c.table, Incarnation: "b-2"}).Claim(t.Context(), request, "2")
			if errors.Is(err, nil) && c.wantNew && (again.Created || again.Holder != "a-1") {
				t.Errorf("second claim: got %+v, want holder a-1", again)
			}
		})
	}
}
