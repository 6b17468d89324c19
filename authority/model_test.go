package authority

import (
	"fmt"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

// The model explores every interleaving of a small fleet: three instances, two
// operators' changes, one lost answer of the table service and one poll answer
// that arrives late. Any instance, link or path to the table service may fail
// to make a step for any time, so frozen instances, cut links and cut stores
// are interleavings like any other. The instances run the package's own View
// and History.

type (
	// breakage removes one part of the protocol, to show that the model sees it.
	breakage struct {
		commitUnconfirmed bool
		acceptUnconfirmed bool
		gainAtOnce        bool
		countPlainHalf    bool
	}

	modelNode struct {
		view    *View
		history StateHistory
		settled int64
	}

	// modelChange is one operator's change and how far it has come.
	modelChange struct {
		at         int
		revision   int64
		acceptedAt clock.Millis
		accepted   bool
	}

	lateAnswer struct {
		to     int
		sentAt clock.Millis
		answer PeerResponse
	}

	world struct {
		now     clock.Millis
		store   *wire.State
		nodes   []modelNode
		changes []modelChange
		late    values.Option[lateAnswer]
		spent   budget
		// trace lists the steps that led here.
		trace *step
	}

	step struct {
		name   string
		before *step
	}

	action struct {
		name  string
		apply func(*world)
	}

	// budget counts the faults used so far.
	budget struct {
		lost, late, ticks int
	}

	explorer struct {
		breakage breakage
		seats    [][]string
		limits   budget
		seen     map[string]struct{}
		maximum  int
		broken   string
	}
)

const (
	modelTerm = clock.Millis(1)
	nodeCount = 3
)

// String lists the steps in order.
func (s *step) String() string {
	if s == nil {
		return "start"
	}
	return s.before.String() + ", " + s.name
}

func nodeName(i int) string { return string(rune('a' + i)) }

func seatsOf(holders []string) []*wire.Seat {
	out := make([]*wire.Seat, len(holders))
	for i, holder := range holders {
		out[i] = &wire.Seat{Slot: int32(i), Incarnation: holder, Instance: holder, PeerAddress: holder}
	}
	return out
}

func (e *explorer) start() *world {
	first := &wire.State{Revision: 1, Seats: seatsOf(e.seats[0])}
	w := &world{store: first, now: 10}
	for i := range nodeCount {
		n := modelNode{view: NewView(Config{Incarnation: nodeName(i), PeerAddress: nodeName(i), AuthorityTerm: modelTerm})}
		n.view.AdoptIfNewer(0, first)
		n.history.Add(first)
		n.settled = 1
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) clone() *world {
	out := *w
	out.nodes = make([]modelNode, len(w.nodes))
	for i, n := range w.nodes {
		v := *n.view
		v.heard = make(map[string]heardPeer, len(n.view.heard))
		for k, h := range n.view.heard {
			v.heard[k] = h
		}
		v.gone = make(map[string]struct{}, len(n.view.gone))
		for k := range n.view.gone {
			v.gone[k] = struct{}{}
		}
		out.nodes[i] = modelNode{view: &v, settled: n.settled}
		out.nodes[i].history.past = slices.Clone(n.history.past)
	}
	out.changes = slices.Clone(w.changes)
	return &out
}

// key identifies a state, with ages in place of times.
func (w *world) key() string {
	b := make([]byte, 0, 96)
	fresh := func(at clock.Millis) byte { return bit(w.now-at < modelTerm) }
	b = append(b, byte(w.now), byte(w.store.GetRevision()), byte(w.spent.lost), byte(w.spent.late))
	for _, n := range w.nodes {
		read, ok := n.view.storeReadAt.Get()
		_, known := n.view.confirmedAt.Get()
		b = append(b, byte(n.view.state.GetRevision()), bit(ok)*fresh(read), bit(known), bit(n.view.learnedAt == w.now))
		for i := range nodeCount {
			h, ok := n.view.heard[nodeName(i)]
			b = append(b, bit(ok)*fresh(h.sentAt), byte(h.revision))
		}
		b = append(b, byte(len(n.view.gone)))
		for _, p := range n.history.past {
			at, set := p.expiresAt.Get()
			b = append(b, byte(p.state.GetRevision()), bit(set), byte(at))
		}
	}
	for _, c := range w.changes {
		b = append(b, byte(c.at), byte(c.revision), bit(c.accepted), byte(c.acceptedAt))
	}
	if l, ok := w.late.Get(); ok {
		b = append(b, byte(l.to), byte(l.sentAt), l.answer.Incarnation[0], byte(l.answer.Revision))
	}
	return string(b)
}

func bit(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// explore visits every state that can be reached, once.
func (e *explorer) explore(w *world) {
	stack := []*world{w}
	for len(stack) > 0 && e.broken == "" {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for i := range w.nodes {
			e.settle(w, i)
		}
		k := w.key()
		if _, ok := e.seen[k]; ok {
			continue
		}
		e.seen[k] = struct{}{}
		e.check(w)
		if e.broken != "" {
			e.broken += ": " + w.trace.String()
		}
		if len(e.seen) > e.maximum {
			e.broken = "the state space is larger than its bound"
		}
		for _, a := range e.next(w) {
			n := w.clone()
			n.trace = &step{name: a.name, before: w.trace}
			a.apply(n)
			stack = append(stack, n)
		}
	}
}

// settle does what an instance does by itself when it looks at its state.
func (e *explorer) settle(w *world, i int) {
	n := &w.nodes[i]
	last := n.history.past[len(n.history.past)-1].state
	if last.GetRevision() < n.view.state.GetRevision() {
		n.history.Add(n.view.state)
	}
	if at, ok := n.view.ConfirmedAt(); ok && n.settled < n.view.state.GetRevision() {
		n.settled = n.view.state.GetRevision()
		wait := modelTerm
		if e.breakage.gainAtOnce {
			wait = 0
		}
		n.history.ExpireBefore(n.settled, at+wait)
	}
	n.history.Prune(w.now)
}

// check asserts the promises in one state.
func (e *explorer) check(w *world) {
	held := 0.0
	for i, n := range w.nodes {
		if !e.hasAuthority(n.view, w.now) {
			continue
		}
		held += MinShare(&n.history, func(s *wire.State) float64 { return SlotShare(s, nodeName(i)) })
		for _, c := range w.changes {
			if c.accepted && w.now >= c.acceptedAt+modelTerm && n.view.state.GetRevision() < c.revision {
				e.broken = fmt.Sprintf("instance %d acts on revision %d at %d, revision %d was accepted at %d",
					i, n.view.state.GetRevision(), w.now, c.revision, c.acceptedAt)
			}
		}
	}
	if held > 1.0001 {
		e.broken = fmt.Sprintf("instances hold %.2f of the fleet's slots at %d", held, w.now)
	}
}

func (e *explorer) hasAuthority(v *View, now clock.Millis) bool {
	if e.breakage.countPlainHalf && 2*v.SlotsHeard(now) >= len(v.state.GetSeats())-1 {
		return true
	}
	return v.HasAuthority(now)
}

// next lists the steps that can be made from a state.
func (e *explorer) next(w *world) []action {
	var out []action
	add := func(name string, change func(n *world)) {
		out = append(out, action{name, change})
	}
	if w.spent.ticks < e.limits.ticks {
		add("tick", func(n *world) { n.now++; n.spent.ticks++ })
	}
	for i := range w.nodes {
		add(fmt.Sprint(i, " reads"), func(n *world) { n.nodes[i].view.OnStoreRead(n.now, n.now, n.store) })
		for j := range w.nodes {
			if i != j {
				add(fmt.Sprint(i, " polls ", j), func(n *world) { n.exchange(i, j) })
				add(fmt.Sprint(i, " pushes to ", j), func(n *world) { n.push(i, j) })
			}
		}
	}
	for i := range w.nodes {
		e.lateAnswers(w, i, add)
	}
	e.operators(w, add)
	return out
}

// exchange is a poll from i to j.
func (w *world) exchange(i, j int) {
	w.nodes[i].view.OnPeerResponse(w.now, w.now, w.answerOf(i, j))
}

func (w *world) answerOf(i, j int) PeerResponse {
	from, to := w.nodes[j].view, w.nodes[i].view
	answer := PeerResponse{Incarnation: nodeName(j), PeerAddress: nodeName(j), Revision: from.state.GetRevision()}
	if from.state.GetRevision() > to.state.GetRevision() {
		answer.State = from.state
	}
	return answer
}

// push sends i's state to j and takes in the acknowledgement.
func (w *world) push(i, j int) {
	w.nodes[j].view.AdoptIfNewer(w.now, w.nodes[i].view.state)
	w.nodes[i].view.OnPeerResponse(w.now, w.now, PeerResponse{
		Incarnation: nodeName(j), PeerAddress: nodeName(j), Revision: w.nodes[j].view.state.GetRevision(),
	})
}

// lateAnswers sends a poll whose answer is taken in at some later step.
func (e *explorer) lateAnswers(w *world, i int, add func(string, func(*world))) {
	if l, ok := w.late.Get(); ok {
		if l.to == i {
			add(fmt.Sprint(i, " takes the late answer"), func(n *world) {
				n.nodes[i].view.OnPeerResponse(l.sentAt, n.now, l.answer)
				n.late = values.None[lateAnswer]()
			})
		}
		return
	}
	for j := 0; j < nodeCount && w.spent.late < e.limits.late; j++ {
		if i != j {
			add(fmt.Sprint(i, " polls ", j, ", answer late"), func(n *world) {
				n.late = values.Some(lateAnswer{to: i, sentAt: n.now, answer: n.answerOf(i, j)})
				n.spent.late++
			})
		}
	}
}

// operators starts changes and carries them on.
func (e *explorer) operators(w *world, add func(string, func(*world))) {
	if len(w.changes) < len(e.seats)-1 {
		for i := range w.nodes {
			add(fmt.Sprint(i, " commits"), func(n *world) { e.commit(n, i, false) })
			if w.spent.lost < e.limits.lost {
				add(fmt.Sprint(i, " commits, answer lost"), func(n *world) { n.spent.lost++; e.commit(n, i, true) })
			}
		}
	}
	for k, c := range w.changes {
		if !c.accepted && e.confirmed(w.nodes[c.at].view, c.revision) {
			add(fmt.Sprint("change ", k, " is accepted"), func(n *world) {
				n.changes[k].accepted = true
				n.changes[k].acceptedAt = n.now
			})
		}
	}
}

// commit reads the store and writes the next state on a confirmed one.
func (e *explorer) commit(w *world, i int, lost bool) {
	v := w.nodes[i].view
	v.OnStoreRead(w.now, w.now, w.store)
	if _, ok := v.ConfirmedAt(); !ok && !e.breakage.commitUnconfirmed {
		return
	}
	next := &wire.State{
		Revision: w.store.GetRevision() + 1,
		Seats:    seatsOf(e.seats[len(w.changes)+1]),
	}
	RecordSeatChange(next, w.store)
	w.store = next
	w.changes = append(w.changes, modelChange{at: i, revision: next.GetRevision()})
	if !lost {
		v.AdoptIfNewer(w.now, next)
	}
}

// confirmed is the rule by which Fleet accepts a change.
func (e *explorer) confirmed(v *View, revision int64) bool {
	if v.state.GetRevision() != revision {
		return v.state.GetRevision() > revision
	}
	_, ok := v.ConfirmedAt()
	return ok || e.breakage.acceptUnconfirmed
}
