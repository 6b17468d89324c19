package authority

import (
	"flag"
	"math/rand/v2"
	"testing"
)

var (
	walkCount  = flag.Int("walks", 2_000, "random walks of each case of the authority model")
	exhaustive = flag.Bool("exhaustive", false, "visit every state of the authority model with one change")
	walkSeed   = flag.Uint64("walk_seed", 1, "seed of the random walks")
)

const walkLength = 60

// walk takes random steps from the initial state.
func (e *explorer) walk(random *rand.Rand, steps int) {
	m := e.initialState()
	for range steps {
		actions := e.enabledActions(m)
		a := actions[random.IntN(len(actions))]
		m.trace = &step{name: a.name, previous: m.trace}
		a.apply(m)
		for i := range m.instances {
			e.runLocalSteps(m, i)
		}
		e.checkInvariants(m)
		if e.violation != "" {
			e.violation += ": " + m.trace.String()
			return
		}
	}
}

// modelSeats holds, for each case, the holders of the slots under each revision.
var modelSeats = map[string][][]string{
	"key":             {{"a", "b", "c"}, {"a", "b", "c"}},
	"seats":           {{"a", "b", "c"}, {"a", "b", "a"}},
	"key then seats":  {{"a", "b", "c"}, {"a", "b", "c"}, {"a", "b", "a"}},
	"seats then key":  {{"a", "b", "c"}, {"a", "b", "a"}, {"a", "b", "a"}},
	"seats and back":  {{"a", "b", "c"}, {"a", "b", "a"}, {"a", "b", "c"}},
	"holder replaced": {{"a", "b", "x"}, {"a", "b", "c"}, {"a", "b", "c"}, {"b", "b", "c"}},
}

func newExplorer(seats [][]string, limits budget, m mutation) *explorer {
	return &explorer{mutation: m, seats: seats, limits: limits, visited: make(map[string]struct{}), maxStates: 2_000_000}
}

// TestModelExhaustively visits every state of a model with one change. If it passes,
// the invariants hold under every interleaving of that change.
func TestModelExhaustively(t *testing.T) {
	if !*exhaustive {
		t.Skip("visits every state: run with -exhaustive")
	}
	for _, name := range []string{"key", "seats"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newExplorer(modelSeats[name], budget{ticks: 1}, mutation{})
			e.explore(e.initialState())
			if e.violation != "" {
				t.Fatalf("after %d states: %s", len(e.visited), e.violation)
			}
			t.Logf("%d states", len(e.visited))
		})
	}
}

// TestModelOnRandomWalks takes random walks through models whose state spaces are
// too large to visit as a whole.
func TestModelOnRandomWalks(t *testing.T) {
	for name, seats := range modelSeats {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if violation, walks := walkMany(seats, mutation{}, *walkCount); violation != "" {
				t.Fatalf("walk %d: %s", walks, violation)
			}
		})
	}
}

// walkMany takes random walks until one violates an invariant. It returns the
// violation and the walk's number.
func walkMany(seats [][]string, m mutation, walks int) (violation string, walk int) {
	for walk := range walks {
		e := newExplorer(seats, budget{ticks: 6, lost: 1, late: 2}, m)
		e.walk(rand.New(rand.NewPCG(*walkSeed, uint64(walk))), walkLength)
		if e.violation != "" {
			return e.violation, walk
		}
	}
	return "", walks
}

// TestModelDetectsMutations guards against a model that is too weak: it must find a
// violation once a part of the protocol is disabled.
func TestModelDetectsMutations(t *testing.T) {
	cases := map[string]struct {
		seats    string
		mutation mutation
	}{
		"a commit on an unconfirmed revision": {"key then seats", mutation{commitUnconfirmed: true, acceptUnconfirmed: true}},
		"accepted without confirmation":       {"key then seats", mutation{acceptUnconfirmed: true}},
		"a gained slot used immediately":      {"seats then key", mutation{gainImmediately: true}},
		"authority from a minority":           {"key then seats", mutation{minorityAuthority: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			violation, walk := walkMany(modelSeats[c.seats], c.mutation, *walkCount)
			if violation == "" {
				t.Fatalf("no violation in %d walks", walk)
			}
			t.Logf("walk %d: %s", walk, violation)
		})
	}
}
