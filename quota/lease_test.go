package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"pgregory.net/rapid"
)

// owners returns owners with the given processes, each of an instance of its own.
func owners(processes ...uint64) Owners {
	var out Owners
	for _, process := range processes {
		out = append(out, Owner{Process: process, Key: Key(fmt.Sprint(process / 10))})
	}
	return out
}

// TestOwnersFollowInstances checks that workspaces are divided evenly, that another owner takes
// only its part of them, and that the next process of an instance gets the same ones.
func TestOwnersFollowInstances(t *testing.T) {
	const workspaces = 6000
	before, more, restarted := owners(10, 20, 30), owners(10, 20, 30, 40), owners(10, 21, 30)
	counts := make(map[uint64]int)
	moved := 0
	for n := range workspaces {
		key := Key(fmt.Sprint("w", n))
		owner := before.For(key).Process
		counts[owner]++
		if more.For(key).Process != owner {
			moved++
		}
		if next := restarted.For(key).Process; next != owner && (owner != 20 || next != 21) {
			t.Fatalf("workspace %d passed from process %d to %d", n, owner, next)
		}
	}
	for process, count := range counts {
		if count < workspaces/4 || count > workspaces*5/12 {
			t.Errorf("process %d owns %d of %d buckets, want about a third", process, count, workspaces)
		}
	}
	if moved < workspaces/6 || moved > workspaces/3 {
		t.Errorf("%d of %d buckets passed to a fourth owner, want about a quarter", moved, workspaces)
	}
}

// TestLessor checks when a share passes to another owner.
func TestLessor(t *testing.T) {
	const term = 1000 * clock.Millis(1)
	cases := map[string]struct {
		from, to Owners
		// then is called once the change was published at 5,000 ms, and says what is known
		// of the former owners.
		then func(l *Lessor, number int64)
		// settled is when the new owners may use the whole share, or -1 for never.
		settled clock.Millis
	}{
		"the first owners":               {nil, owners(10, 20), nil, 5000},
		"all confirm":                    {owners(10, 20), owners(10, 20, 30), func(l *Lessor, n int64) { l.Release(10, n); l.Release(20, n) }, 5000},
		"one confirms":                   {owners(10, 20), owners(10, 20, 30), func(l *Lessor, n int64) { l.Release(10, n) }, 6020},
		"an earlier lease is confirmed":  {owners(10, 20), owners(10), func(l *Lessor, n int64) { l.Release(20, n-1) }, 6020},
		"the one that is gone confirms":  {owners(10, 20), owners(10), func(l *Lessor, n int64) { l.Release(20, n) }, 5000},
		"the one that is gone has ended": {owners(10, 20), owners(10), func(l *Lessor, _ int64) { l.End(20) }, 5000},
		"another process of an instance": {owners(10, 20), owners(10, 21), func(l *Lessor, _ int64) { l.End(20) }, 5000},
		"nobody any more":                {owners(10, 20), nil, func(l *Lessor, n int64) { l.Release(10, n); l.Release(20, n) }, 5000},
		"this process itself":            {owners(1), owners(10), nil, 5000},
		"held for longer":                {owners(10), owners(20), func(l *Lessor, _ int64) {}, 6020},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := NewLessor(1)
			l.Propose(c.from, term)
			l.Published(0)
			if !l.Propose(c.to, term) {
				t.Fatal("the lease did not change")
			}
			if l.Settle(1 << 50); len(c.from) > 0 && len(l.lease.Former) > 0 && len(l.Waiting()) == 0 {
				t.Error("nobody is waited for")
			}
			l = NewLessor(1)
			l.Propose(c.from, term)
			l.Published(0)
			l.Propose(c.to, term)
			l.Published(5000)
			if c.then != nil {
				c.then(l, l.number)
			}
			settled := clock.Millis(-1)
			for now := clock.Millis(5000); now < 9000 && settled < 0; now += 10 {
				l.Settle(now)
				if len(l.lease.Former) == 0 {
					settled = now
				}
			}
			if settled != c.settled {
				t.Errorf("settled at %d ms, want %d", settled, c.settled)
			}
		})
	}
}

// TestLessorReturns checks that a change of owners can be taken back while it is under way, and
// that no third list is stated meanwhile.
func TestLessorReturns(t *testing.T) {
	l := NewLessor(1)
	l.Propose(owners(10, 20), 1000)
	l.Published(0)
	l.Propose(owners(10), 1000)
	if l.Propose(owners(30), 1000) {
		t.Error("a third list was stated")
	}
	if !l.Propose(owners(10, 20), 1000) || len(l.lease.Former) > 0 || l.number != 3 {
		t.Errorf("got lease %d with the former owners %v", l.number, l.lease.Former)
	}
}

// lessorModel runs a Lessor and the ledgers of some owners, with statements that are lost, late
// and out of order at each owner, and confirmations that are lost.
type lessorModel struct {
	random  *rand.Rand
	now     clock.Millis
	lessor  *Lessor
	ledgers map[uint64]*Ledger
	events  map[clock.Millis][]func()
}

// at calls a function within 600 ms.
func (m *lessorModel) at(call func()) {
	at := m.now + 1 + clock.Millis(m.random.IntN(600))
	m.events[at] = append(m.events[at], call)
}

// state has the lessor state its lease to all owners.
func (m *lessorModel) state() {
	number, lease := m.lessor.Statement()
	for process, ledger := range m.ledgers {
		statedAt := m.now
		if process == m.lessor.process {
			ledger.Record(m.now, m.lessor.process, number, &lease, lease.Hash(), unknownTime)
			continue
		}
		if m.random.IntN(4) == 0 {
			continue
		}
		m.at(func() {
			until := statedAt + lease.Term
			if !ledger.Renew(m.lessor.process, number, until) {
				ledger.Record(m.now, m.lessor.process, number, &lease, lease.Hash(), max(until, m.now))
			}
			known := ledger.Number(m.lessor.process)
			if m.random.IntN(3) > 0 {
				m.at(func() { m.lessor.Release(process, known) })
			}
		})
	}
}

// step moves the model on by a millisecond. The lessor now and then sees other owners.
func (m *lessorModel) step() {
	for _, event := range m.events[m.now] {
		event()
	}
	delete(m.events, m.now)
	changed := false
	if m.random.IntN(100) == 0 {
		var picked Owners
		for _, process := range []uint64{1, 10, 20, 30, 40} {
			if m.random.IntN(2) == 0 {
				picked = append(picked, owners(process)...)
			}
		}
		changed = m.lessor.Propose(picked, 400)
	}
	if changed = m.lessor.Settle(m.now) || changed; changed {
		m.lessor.Published(m.now)
	}
	if changed || m.now%100 == 0 {
		m.state()
	}
	m.now++
}

// shares returns how many owners count the lessor's share of a workspace.
func (m *lessorModel) shares(workspace uint64) int {
	shares := 0
	for _, ledger := range m.ledgers {
		if m.now >= ledger.NextEnd() {
			ledger.Expire(m.now)
		}
		shares += ledger.Shares(workspace)
	}
	return shares
}

// TestLedgerNeverSharesTwice guards against two owners that count the share of one workspace at
// the same time while the lessor changes its owners.
func TestLedgerNeverSharesTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &lessorModel{
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)), now: 1000, lessor: NewLessor(1),
			ledgers: make(map[uint64]*Ledger), events: make(map[clock.Millis][]func()),
		}
		for _, owner := range owners(1, 10, 20, 30, 40) {
			m.ledgers[owner.Process] = NewLedger(owner.Process)
		}
		counted := 0
		keys := []uint64{Key("a"), Key("b"), Key("c"), Key("d")}
		for m.now < 6000 {
			m.step()
			for workspace, key := range keys {
				shares := m.shares(key)
				if counted += shares; shares > 1 {
					rt.Fatalf("%d owners count the share of workspace %d at %d ms", shares, workspace, m.now)
				}
			}
		}
		if counted < 2500 {
			rt.Errorf("the share was counted in %d of 20,000 cases only", counted)
		}
	})
}
