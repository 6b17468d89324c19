// Package rules parses the operators' rules file. It has one rule per line, each with a
// comment that says who asked for the rule and why.
package rules

import (
	"bytes"
	"strings"
	"unicode/utf8"

	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

const (
	// MaxFileBytes is the largest size of a rules file.
	MaxFileBytes = 4 << 20
	maxFaults    = 100
)

// Parse parses and checks a whole rules file. It returns either the rules or the faults,
// at most maxFaults of them.
func Parse(text []byte) (*wire.Rules, Faults) {
	if fault := checkFile(text); fault != nil {
		return nil, Faults{fault}
	}
	out := &wire.Rules{}
	var faults Faults
	var statements []*statement
	for i, line := range strings.Split(string(text), "\n") {
		s, lineFaults := parseLine(i+1, strings.TrimSuffix(line, "\r"))
		faults = append(faults, lineFaults...)
		if s == nil {
			continue
		}
		statements = append(statements, s)
		faults = append(faults, parseStatement(s, out)...)
		if len(faults) >= maxFaults {
			break
		}
	}
	faults = append(faults, checkNames(statements)...)
	if len(statements) == 0 && len(faults) == 0 {
		faults = Faults{{Line: 1, Column: 1, Message: "the file holds no rule"}}
	}
	if len(faults) > 0 {
		faults = faults.sorted()
		return nil, faults[:min(len(faults), maxFaults)]
	}
	return out, nil
}

// checkFile rejects a file that is too large, is not valid UTF-8 text or ends within a
// line.
func checkFile(text []byte) *wire.Fault {
	switch {
	case len(text) > MaxFileBytes:
		return &wire.Fault{Line: 1, Column: 1, Message: "the file is larger than 4 MiB"}
	case bytes.IndexByte(text, 0) >= 0:
		line := bytes.Count(text[:bytes.IndexByte(text, 0)], []byte("\n")) + 1
		return &wire.Fault{Line: int32(line), Column: 1, Message: "the file holds a NUL byte, so it is not a text"}
	case !utf8.Valid(text):
		return &wire.Fault{Line: 1, Column: 1, Message: "the file is not valid UTF-8"}
	case len(text) > 0 && text[len(text)-1] != '\n':
		line := bytes.Count(text, []byte("\n")) + 1
		return &wire.Fault{Line: int32(line), Column: 1, Message: "the last line has no line end, so the file may have been cut"}
	default:
		return nil
	}
}

// parseStatement adds the rule of a statement to out.
func parseStatement(s *statement, out *wire.Rules) Faults {
	readRule, ok := ruleReaders[s.kind.text]
	if !ok {
		return Faults{{
			Line:    int32(s.line),
			Column:  int32(s.kind.column),
			Field:   "kind",
			Message: "unknown kind " + s.kind.text,
		}}
	}
	r := newFieldReader(s)
	readRule(r, out)
	return r.checkFields()
}

// references maps the fields that refer to another rule to the kind of that rule.
var references = map[string]string{
	"service": "service",
	"from":    "region",
	"to":      "region",
	"region":  "region",
}

// checkNames reports duplicate names and references to rules that do not exist.
func checkNames(statements []*statement) Faults {
	var faults Faults
	namesByKind := make(map[string]values.Set[string])
	lists := make(map[string][]string)
	declaredOn := make(map[string]int)
	for _, s := range statements {
		id := s.kind.text + " " + s.name.text
		if line, ok := declaredOn[id]; ok {
			faults = append(faults, newFault(s, s.name.column, "name", "%s is already declared on line %d", id, line))
		}
		declaredOn[id] = s.line
		lists[s.kind.text] = append(lists[s.kind.text], s.name.text)
	}
	for kind, list := range lists {
		namesByKind[kind] = values.NewSet(list...)
	}
	for _, s := range statements {
		for _, f := range s.fields {
			kind, ok := references[f.name]
			if ok && f.value != "" && !namesByKind[kind].Has(f.value) {
				faults = append(faults, newFault(s, f.column, f.name, "there is no %s %q", kind, f.value))
			}
		}
	}
	return faults
}

func newFault(s *statement, column int, fieldName, format string, args ...any) *wire.Fault {
	r := newFieldReader(s)
	r.addFault(column, fieldName, format, args...)
	return r.faults[0]
}
