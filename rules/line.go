package rules

import (
	"regexp"
	"strings"
	"text/scanner"
	"unicode"

	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// statement is one tokenised rule.
	statement struct {
		line   int
		kind   token
		name   token
		fields []field
	}

	token struct {
		text   string
		column int
	}

	field struct {
		name  string
		value string
		// column is where the field starts, counted from 1.
		column int
	}
)

const commentMark = "#"

// commentPattern is the form of a rule's comment.
var commentPattern = regexp.MustCompile(`^#\s*asked by\s+(\S[^:]*):\s*\S`)

// readLine tokenises one line. A blank line or a line with only a comment
// gives no statement.
func readLine(number int, text string) (*statement, Faults) {
	body, comment, commentColumn := splitComment(text)
	tokens := tokenise(body)
	if len(tokens) == 0 {
		return nil, nil
	}
	var faults Faults
	add := func(column int, name, message string) {
		faults = append(faults, &wire.Fault{Line: int32(number), Column: int32(column), Field: name, Message: message})
	}
	if !commentPattern.MatchString(comment) {
		add(commentColumn, "comment", `the rule needs a comment of the form "# asked by WHO: why"`)
	}
	if len(tokens) < 2 {
		add(tokens[0].column, "name", "the rule has no name")
		return nil, faults
	}
	s := &statement{line: number, kind: tokens[0], name: tokens[1]}
	if strings.Contains(s.name.text, "=") {
		add(s.name.column, "name", "the rule has no name before its fields")
	}
	for _, t := range tokens[2:] {
		name, value, _ := strings.Cut(t.text, "=")
		s.fields = append(s.fields, field{name: name, value: value, column: t.column})
	}
	return s, faults
}

// splitComment cuts a line at the first comment mark that starts a word.
func splitComment(text string) (body, comment string, column int) {
	for i := 0; i < len(text); i++ {
		startsWord := i == 0 || text[i-1] == ' ' || text[i-1] == '\t'
		if startsWord && strings.HasPrefix(text[i:], commentMark) {
			return text[:i], text[i:], i + 1
		}
	}
	return text, "", len(text) + 1
}

// tokenise splits a line at white space and notes each word's column.
func tokenise(body string) []token {
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
