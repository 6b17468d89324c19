package fleet

import (
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
)

// TestReplacedInstancesAreForgotten has instances replaced one after the other by
// ones with new names. What is kept of them and the time after which a silent one
// counts as gone do not grow, and those that run are all known.
func TestReplacedInstancesAreForgotten(t *testing.T) {
	const (
		size     = 7
		replaced = 2000
		step     = 30 * clock.Second
	)
	m := NewMembers(&wire.FleetInstance{Instance: "self"}, 5*clock.Second)
	now := clock.Millis(0)
	for n := range replaced {
		now += step
		for i := range size {
			name := fmt.Sprint("i", n+i)
			m.Record(&wire.FleetInstance{Instance: name, Incarnation: name}, now)
		}
	}
	if n := len(m.Alive(now)); n != size {
		t.Errorf("%d instances count as running, want %d", n, size)
	}
	const most = size + int(memberRetention/step) + 1
	if n := len(m.Known()); n > most {
		t.Errorf("something is kept of %d instances, want %d at most", n, most)
	}
	if span := m.aliveTimeout(); span > aliveTimeoutFor(most) {
		t.Errorf("a silent instance counts as running for %d ms", span)
	}
}
