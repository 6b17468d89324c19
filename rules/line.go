package rules

import (
	"regexp"
	"strings"
	"text/scanner"
	"unicode"

	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// statement is a rule that has been split into tokens.
	statement struct {
		line   int
		kind   token
		name   token
		fields []field
	}

	token struct {
		text string
		// column is where the token starts, in characters counted from 1.
		column int
	}

	field struct {
		name  string
		value string
		// column is where the field starts, in characters counted from 1.
		column int
	}
)

const commentPrefix = "#"

// commentPattern matches the comment that each rule must have: who asked for it and why.
var commentPattern = regexp.MustCompile(`^#\s*asked by\s+(\S[^:]*):\s*\S`)

// parseLine splits one line into a statement. It returns no statement for a blank line,
// for one with only a comment, and for a rule without a name.
func parseLine(lineNumber int, text string) (*statement, Faults) {
	body, comment, commentColumn := splitComment(text)
	tokens := tokenize(body)
	if len(tokens) == 0 {
		return nil, nil
	}
	var faults Faults
	addFault := func(column int, fieldName, message string) {
		faults = append(faults, &wire.Fault{Line: int32(lineNumber), Column: int32(column), Field: fieldName, Message: message})
	}
	if !commentPattern.MatchString(comment) {
		addFault(commentColumn, "comment", `the rule needs a comment of the form "# asked by WHO: why"`)
	}
	if len(tokens) < 2 {
		addFault(tokens[0].column, "name", "the rule has no name")
		return nil, faults
	}
	s := &statement{line: lineNumber, kind: tokens[0], name: tokens[1]}
	if strings.Contains(s.name.text, "=") {
		addFault(s.name.column, "name", "the rule has no name before its fields")
	}
	for _, t := range tokens[2:] {
		name, value, _ := strings.Cut(t.text, "=")
		s.fields = append(s.fields, field{name: name, value: value, column: t.column})
	}
	return s, faults
}

// splitComment splits a line at the first "#" that starts a word. The column is that of
// the comment, in bytes counted from 1.
func splitComment(text string) (body, comment string, column int) {
	for i := 0; i < len(text); i++ {
		startsWord := i == 0 || text[i-1] == ' ' || text[i-1] == '\t'
		if startsWord && strings.HasPrefix(text[i:], commentPrefix) {
			return text[:i], text[i:], i + 1
		}
	}
	return text, "", len(text) + 1
}

// tokenize splits a line into words and their columns.
func tokenize(body string) []token {
	var s scanner.Scanner
	s.Init(strings.NewReader(body))
	s.Mode = scanner.ScanIdents
	s.Error = func(*scanner.Scanner, string) {}
	s.IsIdentRune = func(ch rune, _ int) bool {
		return ch > 0 && !unicode.IsSpace(ch)
	}
	var tokens []token
	for kind := s.Scan(); kind != scanner.EOF; kind = s.Scan() {
		tokens = append(tokens, token{text: s.TokenText(), column: s.Column})
	}
	return tokens
}
