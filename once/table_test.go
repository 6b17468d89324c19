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

// twoTables is two incarnations whose actions are sent to either of them.
type twoTables struct {
	tables  map[string]*Table
	ran     map[string]bool
	running map[string]*Table
	stopped bool
	now     clock.Millis
	// ahead is how many epochs the clock of b-2 is ahead of that of a-1.
	ahead int64
}

// at returns the time by the clock of an incarnation.
func (m *twoTables) at(incarnation string) clock.Millis {
	if incarnation == "b-2" {
		return m.now + clock.Millis(m.ahead)*EpochLength
	}
	return m.now
}

// TestActionsNeverRunTwice sends actions to two incarnations in any order,
// ends them in any way, lets time pass and hands one table over. No action
// starts again once it may have run.
func TestActionsNeverRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &twoTables{
			tables:  map[string]*Table{"a-1": newTestTable("a-1"), "b-2": newTestTable("b-2")},
			ran:     make(map[string]bool),
			running: make(map[string]*Table),
			now:     100 * EpochLength,
			ahead:   rapid.Int64Range(-80, 80).Draw(t, "ahead"),
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
	epoch := EpochAt(m.at(owner)-m.now) + 99 + rapid.Int64Range(0, 2).Draw(t, "epoch")
	action := ActionPrefix(owner, epoch) + fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "n"))
	return Request{Action: action, Workspace: "w", Fingerprint: []byte{1}}
}

func (m *twoTables) send(t *rapid.T) {
	request := m.drawRequest(t)
	at := rapid.SampledFrom([]string{"a-1", "b-2"}).Draw(t, "at")
	ticket := m.tables[at].Begin(m.at(at), request)
	if ticket.Decision == NeverRun && m.ran[request.Action] {
		t.Fatalf("%s ran, but is said never to have run", request.Action)
	}
	if ticket.Decision != Run {
		return
	}
	if m.ran[request.Action] || m.running[request.Action] != nil {
		t.Fatalf("%s starts again at %s", request.Action, at)
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
		table.Prune(m.at(incarnation))
	}
}

func (m *twoTables) handOver(*rapid.T) {
	if m.stopped || len(m.running) > 0 {
		return
	}
	m.stopped = true
	m.tables["b-2"].AcceptHandover(m.at("b-2"), "a-1", m.at("a-1"), m.tables["a-1"].HandOver())
}

// TestForgottenActionsAreNotSaidToBeNew asks the heir of a stopped incarnation
// for an action that ran, before and after the time for which it is remembered.
func TestForgottenActionsAreNotSaidToBeNew(t *testing.T) {
	const epoch = 100
	began := clock.Millis(epoch) * EpochLength
	cases := map[string]struct {
		// handedOver and asked are how long after the run these happen.
		handedOver, asked clock.Millis
		want              Decision
	}{
		"soon after":                          {handedOver: 0, asked: clock.Second, want: Replay},
		"forgotten by the heir":               {handedOver: 0, asked: 3 * EpochLength, want: Expired},
		"forgotten before the hand-over":      {handedOver: 3 * EpochLength, asked: 3 * EpochLength, want: Expired},
		"forgotten, and the heir runs behind": {handedOver: 3 * EpochLength, asked: 2 * EpochLength, want: Expired},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request := Request{Action: ActionPrefix("a-1", epoch) + "1", Workspace: "w", Fingerprint: []byte{1}}
			first, heir := newTestTable("a-1"), newTestTable("b-2")
			first.Begin(began, request)
			first.End(request, finished(request, wire.Outcome_OUTCOME_DONE))
			first.Prune(began + c.handedOver)
			heir.AcceptHandover(began+min(c.handedOver, c.asked), "a-1", began+c.handedOver, first.HandOver())
			heir.Prune(began + c.asked)
			if got := heir.Begin(began+c.asked, request).Decision; got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
		})
	}
}

func TestParseName(t *testing.T) {
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

// faultyTable loses answers or refuses calls.
type faultyTable struct {
	tableservice.Table
	loseCommit bool
	downCommit bool
	downRead   bool
}

func (f *faultyTable) Commit(ctx context.Context, tx *wire.Transaction) (bool, error) {
	if f.downCommit {
		return false, tableservice.ErrUnavailable.New("down")
	}
	committed, err := f.Table.Commit(ctx, tx)
	if f.loseCommit {
		return false, tableservice.ErrUnknown.New("lost")
	}
	return committed, err
}

func (f *faultyTable) Read(ctx context.Context, prefix string) ([]*wire.Row, error) {
	if f.downRead {
		return nil, tableservice.ErrUnavailable.New("down")
	}
	return f.Table.Read(ctx, prefix)
}

func TestClaim(t *testing.T) {
	request := Request{Action: "chosen", Workspace: "w"}
	cases := map[string]struct {
		table    faultyTable
		wantNew  bool
		wantType error
	}{
		"made":                       {faultyTable{}, true, nil},
		"answer lost, read back":     {faultyTable{loseCommit: true}, true, nil},
		"answer lost, no read":       {faultyTable{loseCommit: true, downRead: true}, false, ErrUnresolved.New("")},
		"the table is not reachable": {faultyTable{downCommit: true}, false, ErrNotClaimed.New("")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.table.Table = tableservice.NewMemory()
			claim, err := NewClaimer(ClaimerConfig{Table: &c.table, Incarnation: "a-1"}).Claim(t.Context(), request, "1")
			if claim.Created != c.wantNew || (err == nil) != (c.wantType == nil) {
				t.Errorf("got %+v, %v", claim, err)
			}
			c.table.downRead, c.table.loseCommit, c.table.downCommit = false, false, false
			again, err := NewClaimer(ClaimerConfig{Table: &c.table, Incarnation: "b-2"}).Claim(t.Context(), request, "2")
			if errors.Is(err, nil) && c.wantNew && (again.Created || again.Holder != "a-1") {
				t.Errorf("a second claim got %+v", again)
			}
		})
	}
}
