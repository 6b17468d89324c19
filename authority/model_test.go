package authority

import (
	"fmt"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

// The model covers the interleavings of a small fleet: three instances, a few
// operators' changes, lost responses of the table service and poll responses that
// arrive late. Any instance, link or path to the table service may be idle for any
// time, so suspended instances, network partitions and an unreachable table
// service are interleavings like any other. The instances run the package's own
// View and StateHistory.

type (
	// mutation disables parts of the protocol, to show that the model detects it.
	mutation struct {
		commitUnconfirmed bool
		acceptUnconfirmed bool
		gainImmediately   bool
		minorityAuthority bool
	}

	modelInstance struct {
		view    *View
		history StateHistory
		// confirmed is the highest revision whose confirmation history reflects.
		confirmed int64
	}

	// modelChange is one operator's change and its progress.
	modelChange struct {
		instance   int
		revision   int64
		acceptedAt clock.Millis
		accepted   bool
	}

	// lateResponse is a poll response that is processed at some later step.
	lateResponse struct {
		to       int
		sentAt   clock.Millis
		response PeerResponse
	}

	modelState struct {
		now       clock.Millis
		store     *wire.State
		instances []modelInstance
		changes   []modelChange
		// late is the poll response in transit, if any.
		late values.Option[lateResponse]
		used budget
		// trace is the last of the steps that led to this state.
		trace *step
	}

	step struct {
		name     string
		previous *step
	}

	action struct {
		name  string
		apply func(*modelState)
	}

	// budget counts faults and clock ticks, those used or those allowed.
	budget struct {
		lost, late, ticks int
	}

	explorer struct {
		mutation mutation
		// seats holds the holders of the slots under each revision.
		seats     [][]string
		limits    budget
		visited   map[string]struct{}
		maxStates int
		// violation describes the first invariant that was found violated.
		violation string
	}
)

const (
	modelTerm     = clock.Millis(1)
	instanceCount = 3
)

// String lists the steps in order.
func (s *step) String() string {
	if s == nil {
		return "start"
	}
	return s.previous.String() + ", " + s.name
}

func instanceName(i int) string { return string(rune('a' + i)) }

func seatsOf(holders []string) []*wire.Seat {
	out := make([]*wire.Seat, len(holders))
	for i, holder := range holders {
		out[i] = &wire.Seat{Slot: int32(i), Incarnation: holder, Instance: holder, PeerAddress: holder}
	}
	return out
}

func (e *explorer) initialState() *modelState {
	first := &wire.State{Revision: 1, Seats: seatsOf(e.seats[0])}
	m := &modelState{store: first, now: 10}
	for i := range instanceCount {
		n := modelInstance{view: NewView(Config{Incarnation: instanceName(i), PeerAddress: instanceName(i), AuthorityTerm: modelTerm})}
		n.view.AdoptIfNewer(0, first)
		n.history.Add(first)
		n.confirmed = 1
		m.instances = append(m.instances, n)
	}
	return m
}

func (m *modelState) clone() *modelState {
	out := *m
	out.instances = make([]modelInstance, len(m.instances))
	for i, n := range m.instances {
		v := *n.view
		v.contacts = make(map[string]peerContact, len(n.view.contacts))
		for k, h := range n.view.contacts {
			v.contacts[k] = h
		}
		v.dead = make(map[string]struct{}, len(n.view.dead))
		for k := range n.view.dead {
			v.dead[k] = struct{}{}
		}
		out.instances[i] = modelInstance{view: &v, confirmed: n.confirmed}
		out.instances[i].history.entries = slices.Clone(n.history.entries)
	}
	out.changes = slices.Clone(m.changes)
	return &out
}

// key identifies a state. A store read or a poll response counts only as recent or
// not, so that states that differ only in its age are visited once.
func (m *modelState) key() string {
	b := make([]byte, 0, 96)
	fresh := func(at clock.Millis) byte { return bit(m.now-at < modelTerm) }
	b = append(b, byte(m.now), byte(m.store.GetRevision()), byte(m.used.lost), byte(m.used.late))
	for _, n := range m.instances {
		read, ok := n.view.storeReadAt.Get()
		_, known := n.view.confirmedAt.Get()
		b = append(b, byte(n.view.state.GetRevision()), bit(ok)*fresh(read), bit(known), bit(n.view.adoptedAt == m.now))
		for i := range instanceCount {
			h, ok := n.view.contacts[instanceName(i)]
			b = append(b, bit(ok)*fresh(h.sentAt), byte(h.revision))
		}
		b = append(b, byte(len(n.view.dead)))
		for _, p := range n.history.entries {
			at, set := p.expiresAt.Get()
			b = append(b, byte(p.state.GetRevision()), bit(set), byte(at))
		}
	}
	for _, c := range m.changes {
		b = append(b, byte(c.instance), byte(c.revision), bit(c.accepted), byte(c.acceptedAt))
	}
	if l, ok := m.late.Get(); ok {
		b = append(b, byte(l.to), byte(l.sentAt), l.response.Incarnation[0], byte(l.response.Revision))
	}
	return string(b)
}

func bit(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// explore visits every reachable state once.
func (e *explorer) explore(m *modelState) {
	stack := []*modelState{m}
	for len(stack) > 0 && e.violation == "" {
		m := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for i := range m.instances {
			e.runLocalSteps(m, i)
		}
		k := m.key()
		if _, ok := e.visited[k]; ok {
			continue
		}
		e.visited[k] = struct{}{}
		e.checkInvariants(m)
		if e.violation != "" {
			e.violation += ": " + m.trace.String()
		}
		if len(e.visited) > e.maxStates {
			e.violation = "the state space exceeds the maximum number of states"
		}
		for _, a := range e.enabledActions(m) {
			n := m.clone()
			n.trace = &step{name: a.name, previous: m.trace}
			a.apply(n)
			stack = append(stack, n)
		}
	}
}

// runLocalSteps updates an instance's history from its view, as peer.Fleet does
// without any message.
func (e *explorer) runLocalSteps(m *modelState, i int) {
	n := &m.instances[i]
	last := n.history.entries[len(n.history.entries)-1].state
	if last.GetRevision() < n.view.state.GetRevision() {
		n.history.Add(n.view.state)
	}
	if at, ok := n.view.ConfirmedAt(); ok && n.confirmed < n.view.state.GetRevision() {
		n.confirmed = n.view.state.GetRevision()
		wait := modelTerm
		if e.mutation.gainImmediately {
			wait = 0
		}
		n.history.ExpireBefore(n.confirmed, at+wait)
	}
	n.history.Prune(m.now)
}

// checkInvariants checks in one state that the instances with authority hold no
// more than all slots, and that none of them acts on a revision below a change that
// was accepted at least an authority term ago.
func (e *explorer) checkInvariants(m *modelState) {
	held := 0.0
	for i, n := range m.instances {
		if !e.hasAuthority(n.view, m.now) {
			continue
		}
		held += MinShare(&n.history, func(s *wire.State) float64 { return SlotShare(s, instanceName(i)) })
		for _, c := range m.changes {
			if c.accepted && m.now >= c.acceptedAt+modelTerm && n.view.state.GetRevision() < c.revision {
				e.violation = fmt.Sprintf("instance %d has authority on revision %d at time %d, but revision %d was accepted at %d",
					i, n.view.state.GetRevision(), m.now, c.revision, c.acceptedAt)
			}
		}
	}
	if held > 1.0001 {
		e.violation = fmt.Sprintf("instances hold %.2f of the fleet's slots at time %d", held, m.now)
	}
}

func (e *explorer) hasAuthority(v *View, now clock.Millis) bool {
	if e.mutation.minorityAuthority && 2*v.SlotsHeard(now) >= len(v.state.GetSeats())-1 {
		return true
	}
	return v.HasAuthority(now)
}

// enabledActions lists the actions that are possible in a state.
func (e *explorer) enabledActions(m *modelState) []action {
	var out []action
	add := func(name string, apply func(n *modelState)) {
		out = append(out, action{name, apply})
	}
	if m.used.ticks < e.limits.ticks {
		add("tick", func(n *modelState) { n.now++; n.used.ticks++ })
	}
	for i := range m.instances {
		add(fmt.Sprint(i, " reads"), func(n *modelState) { n.instances[i].view.OnStoreRead(n.now, n.now, n.store) })
		for j := range m.instances {
			if i != j {
				add(fmt.Sprint(i, " polls ", j), func(n *modelState) { n.poll(i, j) })
				add(fmt.Sprint(i, " pushes to ", j), func(n *modelState) { n.push(i, j) })
			}
		}
	}
	for i := range m.instances {
		e.addLateResponses(m, i, add)
	}
	e.addChanges(m, add)
	return out
}

// poll lets i poll j.
func (m *modelState) poll(i, j int) {
	m.instances[i].view.OnPeerResponse(m.now, m.now, m.pollResponse(i, j))
}

// pollResponse returns j's response to a poll from i.
func (m *modelState) pollResponse(i, j int) PeerResponse {
	from, to := m.instances[j].view, m.instances[i].view
	response := PeerResponse{Incarnation: instanceName(j), PeerAddress: instanceName(j), Revision: from.state.GetRevision()}
	if from.state.GetRevision() > to.state.GetRevision() {
		response.State = from.state
	}
	return response
}

// push sends i's state to j and the acknowledgement back to i.
func (m *modelState) push(i, j int) {
	m.instances[j].view.AdoptIfNewer(m.now, m.instances[i].view.state)
	m.instances[i].view.OnPeerResponse(m.now, m.now, PeerResponse{
		Incarnation: instanceName(j), PeerAddress: instanceName(j), Revision: m.instances[j].view.state.GetRevision(),
	})
}

// addLateResponses adds the actions of polls whose responses are processed at some
// later step.
func (e *explorer) addLateResponses(m *modelState, i int, add func(string, func(*modelState))) {
	if l, ok := m.late.Get(); ok {
		if l.to == i {
			add(fmt.Sprint(i, " processes the late response"), func(n *modelState) {
				n.instances[i].view.OnPeerResponse(l.sentAt, n.now, l.response)
				n.late = values.None[lateResponse]()
			})
		}
		return
	}
	for j := 0; j < instanceCount && m.used.late < e.limits.late; j++ {
		if i != j {
			add(fmt.Sprint(i, " polls ", j, ", response late"), func(n *modelState) {
				n.late = values.Some(lateResponse{to: i, sentAt: n.now, response: n.pollResponse(i, j)})
				n.used.late++
			})
		}
	}
}

// addChanges adds the actions that commit operators' changes and accept them.
func (e *explorer) addChanges(m *modelState, add func(string, func(*modelState))) {
	if len(m.changes) < len(e.seats)-1 {
		for i := range m.instances {
			add(fmt.Sprint(i, " commits"), func(n *modelState) { e.commit(n, i, false) })
			if m.used.lost < e.limits.lost {
				add(fmt.Sprint(i, " commits, response lost"), func(n *modelState) { n.used.lost++; e.commit(n, i, true) })
			}
		}
	}
	for k, c := range m.changes {
		if !c.accepted && e.isConfirmed(m.instances[c.instance].view, c.revision) {
			add(fmt.Sprint("change ", k, " is accepted"), func(n *modelState) {
				n.changes[k].accepted = true
				n.changes[k].acceptedAt = n.now
			})
		}
	}
}

// commit reads the table service and, if the current revision is confirmed, writes
// the next one. If the response is lost, the instance does not learn of its write.
func (e *explorer) commit(m *modelState, i int, lost bool) {
	v := m.instances[i].view
	v.OnStoreRead(m.now, m.now, m.store)
	if _, ok := v.ConfirmedAt(); !ok && !e.mutation.commitUnconfirmed {
		return
	}
	next := &wire.State{
		Revision: m.store.GetRevision() + 1,
		Seats:    seatsOf(e.seats[len(m.changes)+1]),
	}
	RecordSeatChange(next, m.store)
	m.store = next
	m.changes = append(m.changes, modelChange{instance: i, revision: next.GetRevision()})
	if !lost {
		v.AdoptIfNewer(m.now, next)
	}
}

// isConfirmed is the rule by which peer.Fleet accepts a change.
func (e *explorer) isConfirmed(v *View, revision int64) bool {
	if v.state.GetRevision() != revision {
		return v.state.GetRevision() > revision
	}
	_, ok := v.ConfirmedAt()
	return ok || e.mutation.acceptUnconfirmed
}
