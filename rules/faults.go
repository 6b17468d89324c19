package rules

import (
	"fmt"
	"sort"
	"strings"

	"github.com/bulrushferry/bulrushferry/wire"
)

// Faults are the faults of a rules file. Parse returns them in file order.
type Faults []*wire.Fault

// Error implements error. It lists one fault per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, FormatFault(fault))
	}
	return strings.Join(lines, "\n")
}

// FormatFault formats a fault as line:column: field: message, without the field if the
// fault has none.
func FormatFault(fault *wire.Fault) string {
	if fault.GetField() == "" {
		return fmt.Sprintf("%d:%d: %s", fault.GetLine(), fault.GetColumn(), fault.GetMessage())
	}
	return fmt.Sprintf("%d:%d: %s: %s", fault.GetLine(), fault.GetColumn(), fault.GetField(), fault.GetMessage())
}

// sorted sorts the faults in place by line and column, and returns them.
func (f Faults) sorted() Faults {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].GetLine() != f[j].GetLine() {
			return f[i].GetLine() < f[j].GetLine()
		}
		return f[i].GetColumn() < f[j].GetColumn()
	})
	return f
}
