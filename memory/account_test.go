package memory

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

const mib = 1 << 20

// TestGrow guards against a kind of memory that crowds out another one.
func TestGrow(t *testing.T) {
	limits := Limits{Total: 64 * mib, Responses: 16 * mib}
	type held struct {
		kind  Kind
		bytes int
	}
	cases := map[string]struct {
		held  []held
		kind  Kind
		bytes int
		want  bool
	}{
		"one body of nearly everything":         {kind: RequestBodies, bytes: 60 * mib, want: true},
		"one body of everything":                {kind: RequestBodies, bytes: 64 * mib},
		"two large bodies":                      {held: []held{{RequestBodies, 20 * mib}}, kind: RequestBodies, bytes: 28 * mib, want: true},
		"one of several goes further":           {held: []held{{RequestBodies, 20 * mib}}, kind: RequestBodies, bytes: 32 * mib, want: true},
		"a second one goes further":             {held: []held{{RequestBodies, 20 * mib}, {RequestBodies, 30 * mib}}, kind: RequestBodies, bytes: mib},
		"a small body beside them":              {held: []held{{RequestBodies, 20 * mib}, {RequestBodies, 30 * mib}}, kind: RequestBodies, bytes: smallBodyBytes, want: true},
		"a head beside a full account":          {held: []held{{RequestBodies, 60 * mib}}, kind: Heads, bytes: 20 << 10, want: true},
		"a response beside a full account":      {held: []held{{RequestBodies, 60 * mib}, {Heads, 4 * mib}}, kind: Responses, bytes: 2 * mib, want: true},
		"a response over its part":              {kind: Responses, bytes: 2*mib + 1},
		"large responses over their part":       {held: []held{{Responses, 2 * mib}, {Responses, 2 * mib}, {Responses, 2 * mib}, {Responses, 2 * mib}}, kind: Responses, bytes: mib},
		"a small response beside large ones":    {held: []held{{Responses, 2 * mib}, {Responses, 2 * mib}, {Responses, 2 * mib}, {Responses, 2 * mib}}, kind: Responses, bytes: smallBodyBytes, want: true},
		"a head beside too many heads":          {held: []held{{Heads, 64 * mib}}, kind: Heads, bytes: 1},
		"a body beside many connections":        {held: []held{{ConnectionBuffers, 61 * mib}}, kind: RequestBodies, bytes: 1},
		"connections count without being asked": {held: []held{{ConnectionBuffers, 64 * mib}}, kind: Heads, bytes: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := NewAccount(limits)
			holds := make([]*Hold, 0, len(c.held))
			for _, h := range c.held {
				hold := a.Hold(h.kind)
				if !hold.Grow(h.bytes) {
					t.Fatalf("no room for %d bytes of %s", h.bytes, h.kind)
				}
				holds = append(holds, hold)
			}
			asked := a.Hold(c.kind)
			if got := asked.Grow(c.bytes); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
			if refused := a.Usage().Refused[c.kind]; (refused == 0) != c.want {
				t.Errorf("%d refusals", refused)
			}
			asked.Release()
			for _, hold := range holds {
				hold.Release()
				hold.Release()
			}
			if usage := a.Usage(); usage.Held != [Kinds]int64{} {
				t.Errorf("still held: %v", usage.Held)
			}
		})
	}
}

// TestLargestBodyEnds guards against a part of the memory that stays reserved for a large
// body that has ended.
func TestLargestBodyEnds(t *testing.T) {
	a := NewAccount(Limits{Total: 64 * mib})
	first, second := a.Hold(RequestBodies), a.Hold(RequestBodies)
	if !first.Grow(60*mib) || second.Grow(60*mib) {
		t.Fatal("not exactly one body of 60 MiB had room")
	}
	first.Release()
	if !second.Grow(60 * mib) {
		t.Error("there was no room after the first one had ended")
	}
}

// TestReclaim guards against refusals while memory can be freed, against waiting for memory
// that cannot, and against a limit that is lowered below what is held.
func TestReclaim(t *testing.T) {
	a := NewAccount(Limits{Total: 64 * mib})
	stalled, asked := a.Hold(RequestBodies), a.Hold(RequestBodies)
	stalled.Add(60 * mib)
	asks := 0
	a.SetReclaimer(func(kind Kind, bytes int64) bool {
		asks++
		if kind != RequestBodies || bytes != mib {
			t.Errorf("asked for %d bytes of %s", bytes, kind)
		}
		return false
	})
	if asked.Grow(mib) || asks != 1 {
		t.Errorf("room was found, or %d searches were made", asks)
	}
	a.SetReclaimer(func(Kind, int64) bool {
		stalled.Release()
		return true
	})
	if !asked.Grow(mib) {
		t.Error("no room was found although it was reclaimed")
	}
	a.SetLimits(Limits{Total: mib / 2})
	if excess := a.Excess(); excess != mib/2 {
		t.Errorf("the excess is %d", excess)
	}
}

// TestNilAccount guards against a component without an account that refuses or fails.
func TestNilAccount(t *testing.T) {
	var a *Account
	a.SetReclaimer(func(Kind, int64) bool { return false })
	h := a.Hold(Heads)
	h.Add(1)
	h.Shrink(1)
	if !h.Grow(1<<40) || h.Bytes() != 0 || a.Usage() != (Usage{}) {
		t.Error("a component without an account has limits")
	}
	h.Release()
}

// TestConcurrentHolds guards against counts that drift when holds of several goroutines end.
func TestConcurrentHolds(t *testing.T) {
	a := NewAccount(Limits{Total: mib, Responses: mib})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for n := range 500 {
				h := a.Hold(Kind(n % int(Kinds)))
				h.Grow(n << 8)
				h.Release()
			}
		})
	}
	group.Wait()
	if usage := a.Usage(); usage.Held != [Kinds]int64{} {
		t.Errorf("still held: %v", usage.Held)
	}
}

// TestLimitsOf guards against limits that do not fit the machine: everything that may be
// held at once, what the process uses for itself and the mapped program must fit in it, and
// a body of 60 MiB must fit in an otherwise idle process of 136 MB.
func TestLimitsOf(t *testing.T) {
	const mapped = 15 * mib
	for _, memoryMB := range []int{136, 284, 397, 536} {
		limits := LimitsOf(memoryMB)
		if most := limits.Total + limits.Responses + ownBytes + mapped; most > int64(memoryMB)*mib*9/10 {
			t.Errorf("%d MiB: up to %d bytes are used", memoryMB, most)
		}
		if !NewAccount(limits).Hold(RequestBodies).Grow(60 * mib) {
			t.Errorf("%d MiB: a body of 60 MiB does not fit", memoryMB)
		}
	}
}

// BenchmarkHold measures what a request with a head and a body costs.
func BenchmarkHold(b *testing.B) {
	a := NewAccount(LimitsOf(136))
	b.ReportAllocs()
	for b.Loop() {
		head, body := a.Hold(Heads), a.Hold(RequestBodies)
		head.Grow(9 << 10)
		body.Grow(4 << 10)
		body.Release()
		head.Release()
	}
}

// TestRefusalLog guards against a crowd that floods the log, and against refusals that no
// line counts.
func TestRefusalLog(t *testing.T) {
	l := NewRefusalLog(hclog.NewNullLogger(), nil)
	now := time.Unix(1000, 0)
	var counts []int
	for n := range 25 {
		if count := l.count(now.Add(time.Duration(n)*100*time.Millisecond), "a"); count > 0 {
			counts = append(counts, count)
		}
	}
	if !slices.Equal(counts, []int{1, 10, 10}) {
		t.Errorf("the lines counted %v", counts)
	}
	if l.count(now, "b") != 1 {
		t.Error("one reason hides another one")
	}
}
