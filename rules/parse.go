package rules

import (
	"bytes"
	"strings"
	"unicode/utf8"

	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
)

const (
	// MaxFileBytes bounds a rules file.
	MaxFileBytes = 4 << 20
	maxFaults    = 100
)

// Parse reads and checks a whole rules file. It returns either the rules or
// all the faults, up to a hundred.
func Parse(text []byte) (*wire.Rules, Faults) {
	if fault := checkFile(text); fault != nil {
		return nil, Faults{fault}
	}
	out := &wire.Rules{}
	var faults Faults
	var statements []*statement
	for i, line := range strings.Split(string(text), "\n") {
		s, lineFaults := readLine(i+1, strings.TrimSuffix(line, "\r"))
		faults = append(faults, lineFaults...)
		if s == nil {
			continue
		}
		statements = append(statements, s)
		faults = append(faults, readStatement(s, out)...)
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

// checkFile refuses a file that cannot be a text of whole lines.
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

func readStatement(s *statement, out *wire.Rules) Faults {
	read, ok := kinds[s.kind.text]
	if !ok {
		return Faults{{
			Line:    int32(s.line),
			Column:  int32(s.kind.column),
			Field:   "kind",
			Message: "unknown kind " + s.kind.text,
		}}
	}
	r := newReader(s)
	read(r, out)
	return r.finish()
}

// references maps the fields that name another rule to that rule's kind.
var references = map[string]string{
	"service": "service",
	"from":    "region",
	"to":      "region",
	"region":  "region",
}

// checkNames refuses doubled names and references to rules that are not there.
func checkNames(statements []*statement) Faults {
	var faults Faults
	names := make(map[string]values.Set[string])
	byKind := make(map[string][]string)
	seen := make(map[string]int)
	for _, s := range statements {
		id := s.kind.text + " " + s.name.text
		if line, ok := seen[id]; ok {
			faults = append(faults, nameFault(s, s.name.column, "name", "%s is already declared on line %d", id, line))
		}
		seen[id] = s.line
		byKind[s.kind.text] = append(byKind[s.kind.text], s.name.text)
	}
	for kind, list := range byKind {
		names[kind] = values.NewSet(list...)
	}
	for _, s := range statements {
		for _, f := range s.fields {
			kind, ok := references[f.name]
			if ok && f.value != "" && !names[kind].Has(f.value) {
				faults = append(faults, nameFault(s, f.column, f.name, "there is no %s %q", kind, f.value))
			}
		}
	}
	return faults
}

func nameFault(s *statement, column int, name, format string, args ...any) *wire.Fault {
	r := newReader(s)
	r.fault(column, name, format, args...)
	return r.faults[0]
}
