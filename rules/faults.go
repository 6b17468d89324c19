// Package rules reads the operators' rules file: one rule a line, each with a
// comment that names who asked for it.
package rules

import (
	"fmt"
	"sort"
	"strings"

	"github.com/bulrushferry/bulrushferry/wire"
)

// Faults are all the faults of a rules file, in file order.
type Faults []*wire.Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, FormatFault(fault))
	}
	return strings.Join(lines, "\n")
}

// FormatFault writes a fault as line:column: field: message.
func FormatFault(fault *wire.Fault) string {
	if fault.GetField() == "" {
		return fmt.Sprintf("%d:%d: %s", fault.GetLine(), fault.GetColumn(), fault.GetMessage())
	}
	return fmt.Sprintf("%d:%d: %s: %s", fault.GetLine(), fault.GetColumn(), fault.GetField(), fault.GetMessage())
}

func (f Faults) sorted() Faults {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].GetLine() != f[j].GetLine() {
			return f[i].GetLine() < f[j].GetLine()
		}
		return f[i].GetColumn() < f[j].GetColumn()
	})
	return f
}
