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
	maxDurationMs = 600_000
)

// fieldReader parses the fields of one statement by name and collects the faults.
type fieldReader struct {
	statement *statement
	// knownFields are the names that were looked up, thus those that the kind of rule
	// defines.
	knownFields map[string]bool
	faults      Faults
}

func newFieldReader(s *statement) *fieldReader {
	return &fieldReader{statement: s, knownFields: make(map[string]bool, len(s.fields))}
}

func (r *fieldReader) addFault(column int, fieldName, format string, args ...any) {
	r.faults = append(r.faults, &wire.Fault{
		Line:    int32(r.statement.line),
		Column:  int32(column),
		Field:   fieldName,
		Message: fmt.Sprintf(format, args...),
	})
}

// lookup returns a field and whether the statement has it. Fields that are never looked
// up are reported by checkFields.
func (r *fieldReader) lookup(name string) (field, bool) {
	r.knownFields[name] = true
	for _, f := range r.statement.fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

// require returns a field. It adds a fault and returns false if the field is missing or
// empty.
func (r *fieldReader) require(name string) (field, bool) {
	f, ok := r.lookup(name)
	if !ok {
		r.addFault(r.statement.kind.column, name, "the field is missing")
		return f, false
	}
	if f.value == "" {
		r.addFault(f.column, name, "the field has no value")
		return f, false
	}
	return f, true
}

func (r *fieldReader) text(name string) string {
	f, _ := r.require(name)
	return f.value
}

func (r *fieldReader) optionalText(name string) string {
	f, _ := r.lookup(name)
	return f.value
}

// flag reports whether the statement has a field that takes no value.
func (r *fieldReader) flag(name string) bool {
	f, ok := r.lookup(name)
	if ok && f.value != "" {
		r.addFault(f.column, name, "the field takes no value")
	}
	return ok
}

func (r *fieldReader) count(name string) int32 {
	f, ok := r.require(name)
	if !ok {
		return 0
	}
	return r.parseCount(f)
}

func (r *fieldReader) optionalCount(name string, defaultValue int32) int32 {
	f, ok := r.lookup(name)
	if !ok {
		return defaultValue
	}
	return r.parseCount(f)
}

func (r *fieldReader) parseCount(f field) int32 {
	n, err := strconv.ParseInt(f.value, 10, 32)
	if err != nil || n < 1 || n > maxCount {
		r.addFault(f.column, f.name, "%q is not a whole number from 1 to %d", f.value, maxCount)
		return 0
	}
	return int32(n)
}

// number parses a number above zero and at most limit.
func (r *fieldReader) number(name string, limit float64) float64 {
	f, ok := r.require(name)
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(f.value, 64)
	if err != nil || math.IsNaN(x) || x <= 0 || x > limit {
		r.addFault(f.column, name, "%q is not a number above 0 and at most %g", f.value, limit)
		return 0
	}
	return x
}

// milliseconds parses a duration with its unit, such as 250ms or 3s.
func (r *fieldReader) milliseconds(name string) int64 {
	f, ok := r.require(name)
	if !ok {
		return 0
	}
	text, unitMs := f.value, int64(0)
	switch {
	case strings.HasSuffix(text, "ms"):
		text, unitMs = strings.TrimSuffix(text, "ms"), 1
	case strings.HasSuffix(text, "s"):
		text, unitMs = strings.TrimSuffix(text, "s"), 1000
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || unitMs == 0 || n < 1 || n*unitMs > maxDurationMs {
		r.addFault(f.column, name, "%q is not a span such as 250ms or 3s, at most %dms", f.value, maxDurationMs)
		return 0
	}
	return n * unitMs
}

// addressPrefix parses a CIDR block. Host bits must be zero.
func (r *fieldReader) addressPrefix(name string) string {
	f, ok := r.require(name)
	if !ok {
		return ""
	}
	p, err := netip.ParsePrefix(f.value)
	if err != nil || p.Masked() != p {
		r.addFault(f.column, name, "%q is not an address block such as 10.1.0.0/16", f.value)
		return ""
	}
	return f.value
}

// checkFields adds a fault for each field that is repeated or that is not defined for
// the kind of rule, and returns all faults of the statement.
func (r *fieldReader) checkFields() Faults {
	seen := make(map[string]bool, len(r.statement.fields))
	for _, f := range r.statement.fields {
		if !r.knownFields[f.name] {
			r.addFault(f.column, f.name, "a %s rule has no such field", r.statement.kind.text)
		}
		if seen[f.name] {
			r.addFault(f.column, f.name, "the field is given twice")
		}
		seen[f.name] = true
	}
	return r.faults
}
