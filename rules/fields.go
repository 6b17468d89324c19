package rules

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/wire"
)

const (
	maxCount      = 1_000_000
	maxRatePerS   = 10_000_000
	maxDeadlineMs = 600_000
)

// reader takes the fields of one statement by name and gathers the faults.
type reader struct {
	statement *statement
	taken     map[string]bool
	faults    Faults
}

func newReader(s *statement) *reader {
	return &reader{statement: s, taken: make(map[string]bool, len(s.fields))}
}

func (r *reader) fault(column int, name, format string, args ...any) {
	r.faults = append(r.faults, &wire.Fault{
		Line:    int32(r.statement.line),
		Column:  int32(column),
		Field:   name,
		Message: fmt.Sprintf(format, args...),
	})
}

// take returns a field, or nothing when the statement does not have it.
func (r *reader) take(name string) (field, bool) {
	r.taken[name] = true
	for _, f := range r.statement.fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

// need returns a field that must be there.
func (r *reader) need(name string) (field, bool) {
	f, ok := r.take(name)
	if !ok {
		r.fault(r.statement.kind.column, name, "the field is missing")
		return f, false
	}
	if f.value == "" {
		r.fault(f.column, name, "the field has no value")
		return f, false
	}
	return f, true
}

func (r *reader) text(name string) string {
	f, _ := r.need(name)
	return f.value
}

func (r *reader) optionalText(name string) string {
	f, _ := r.take(name)
	return f.value
}

// flag reads a field that stands alone, without a value.
func (r *reader) flag(name string) bool {
	f, ok := r.take(name)
	if ok && f.value != "" {
		r.fault(f.column, name, "the field takes no value")
	}
	return ok
}

func (r *reader) count(name string) int32 {
	f, ok := r.need(name)
	if !ok {
		return 0
	}
	return r.parseCount(f)
}

func (r *reader) optionalCount(name string, fallback int32) int32 {
	f, ok := r.take(name)
	if !ok {
		return fallback
	}
	return r.parseCount(f)
}

func (r *reader) parseCount(f field) int32 {
	n, err := strconv.ParseInt(f.value, 10, 32)
	if err != nil || n < 1 || n > maxCount {
		r.fault(f.column, f.name, "%q is not a whole number from 1 to %d", f.value, maxCount)
		return 0
	}
	return int32(n)
}

// number reads a finite number above zero and at most high.
func (r *reader) number(name string, high float64) float64 {
	f, ok := r.need(name)
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(f.value, 64)
	if err != nil || math.IsNaN(x) || x <= 0 || x > high {
		r.fault(f.column, name, "%q is not a number above 0 and at most %g", f.value, high)
		return 0
	}
	return x
}

// milliseconds reads a span with its unit, such as 250ms or 3s.
func (r *reader) milliseconds(name string) int64 {
	f, ok := r.need(name)
	if !ok {
		return 0
	}
	text, factor := f.value, int64(0)
	switch {
	case strings.HasSuffix(text, "ms"):
		text, factor = strings.TrimSuffix(text, "ms"), 1
	case strings.HasSuffix(text, "s"):
		text, factor = strings.TrimSuffix(text, "s"), 1000
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || factor == 0 || n < 1 || n*factor > maxDeadlineMs {
		r.fault(f.column, name, "%q is not a span such as 250ms or 3s, at most %dms", f.value, maxDeadlineMs)
		return 0
	}
	return n * factor
}

func (r *reader) prefix(name string) string {
	f, ok := r.need(name)
	if !ok {
		return ""
	}
	p, err := netip.ParsePrefix(f.value)
	if err != nil || p.Masked() != p {
		r.fault(f.column, name, "%q is not an address block such as 10.1.0.0/16", f.value)
		return ""
	}
	return f.value
}

// finish reports the fields that were given twice or that the kind lacks.
func (r *reader) finish() Faults {
	seen := make(map[string]bool, len(r.statement.fields))
	for _, f := range r.statement.fields {
		if !r.taken[f.name] {
			r.fault(f.column, f.name, "a %s rule has no such field", r.statement.kind.text)
		}
		if seen[f.name] {
			r.fault(f.column, f.name, "the field is given twice")
		}
		seen[f.name] = true
	}
	return r.faults
}
