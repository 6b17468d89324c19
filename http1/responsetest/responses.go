// Package responsetest draws random HTTP responses, valid and not, for tests of what reads
// them.
package responsetest

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"pgregory.net/rapid"
)

type (
	// Response is a response as a server sends it before it closes the connection.
	Response struct {
		Raw string
		// Valid is set if the status and the end of the body can be known. Status and
		// Body are then what a caller may get.
		Valid  bool
		Status int
		Body   string
		// Fields are the values of the drawn fields; those that were not sent are missing.
		Fields map[string]string
	}

	// version is the beginning of a status line.
	version struct {
		part
		// hasCodings is set if a reader of HTTP/1.1 knows the version's transfer codings.
		hasCodings bool
	}

	// framing is how the body is sent.
	framing struct {
		fields, sent string
		// body is what the framing means, if that can be known.
		body  string
		valid bool
		// badHead is set if the head alone shows that the framing is wrong.
		badHead bool
		// coded is set if the body has a transfer coding.
		coded bool
	}

	// part is a part of what a server sends. It is valid if a response that holds it may be.
	part struct {
		sent  string
		valid bool
	}
)

// versions are those of responses. HTTP/1.0 has no transfer codings; later minor versions are read
// like HTTP/1.1, but for those.
var versions = []version{
	{part: part{sent: "HTTP/1.1", valid: true}, hasCodings: true},
	{part: part{sent: "HTTP/1.1", valid: true}, hasCodings: true},
	{part: part{sent: "HTTP/1.1", valid: true}, hasCodings: true},
	{part: part{sent: "HTTP/1.1 ", valid: true}, hasCodings: true},
	{part: part{sent: "HTTP/1.0", valid: true}},
	{part: part{sent: "HTTP/1.2", valid: true}},
	{part: part{sent: "HTTP/1.9", valid: true}},
	{part: part{sent: "HTTP/0.9"}},
	{part: part{sent: "HTTP/2.0"}},
	{part: part{sent: "HTTP/9.9"}},
	{part: part{sent: "HTTP/1.10"}},
	{part: part{sent: "HTTP/2"}},
	{part: part{sent: "http/1.1"}},
	{part: part{sent: "HTTPS/1.1"}},
	{part: part{sent: "HTTP/1.x"}},
}

// reasons are the ends of status lines, after the status.
var reasons = []part{
	{sent: " Said", valid: true},
	{sent: " Said", valid: true},
	{sent: " Said", valid: true},
	{sent: "", valid: true},
	{sent: " ", valid: true},
	{sent: " Said\tin \xe9t\xe9", valid: true},
	{sent: " Sa\x00id"},
	{sent: " Said\x1b"},
	{sent: " \x7fSaid"},
	{sent: " Said\rX-Extra: 1"},
	{sent: "\tSaid"},
	{sent: "\rSaid"},
}

// fieldNames are names that a faulty name is made of: those that frame a response and one that
// nobody knows.
var fieldNames = []string{"Content-Length", "Transfer-Encoding", "Connection", "X-Extra"}

// soundLines are lines that RFC 9110 and RFC 9112 allow, odd as they look.
var soundLines = []string{
	"", "", "", "",
	"X-Empty:\r\n",
	"X-Blank:  \t \r\n",
	"x-oDD_9!#$%&'*+^`|~.name: v\r\n",
	"9: a name of one digit\r\n",
	"X-No-Blank:v\r\n",
	"X-Obs-Text: \xe9\xff\x80\r\n",
	"X-Tab: a\tb : c\r\n",
	"X-Folded: a\r\n b\r\n\tc: d\r\n",
	"X-Twice: 1\r\nx-twice: 2\r\n",
	"X-Bare-Line-Feed: v\nX-Next: v\r\n",
}

// Draw draws a response. Each of the fields, if it is sent, has one of the given values.
func Draw(t *rapid.T, fields map[string][]string) Response {
	status := rapid.SampledFrom([]string{
		"200", "200", "200", "201", "204", "304", "404", "421", "500", "503", "599",
		"000", "001", "099", "600", "999", "0", "20", "2000", "+200", "-200", "1e2", "0x1", "", "2OO",
	}).Draw(t, "status")
	version := rapid.SampledFrom(versions).Draw(t, "version")
	body := rapid.StringMatching("[a-f0-9\r\n]{0,20}").Draw(t, "body")
	f := rapid.SampledFrom(framings(body)).Draw(t, "framing")
	if status == "204" || status == "304" {
		f.body, f.valid = "", !f.badHead
	}
	r := Response{Fields: make(map[string]string), Body: f.body, Valid: f.valid && version.valid && (!f.coded || version.hasCodings)}
	var head strings.Builder
	interim, extra, reason := drawInterim(t), drawExtraLines(t, fields), rapid.SampledFrom(reasons).Draw(t, "reason")
	r.Valid = r.Valid && interim.valid && extra.valid && reason.valid
	head.WriteString(interim.sent)
	fmt.Fprintf(&head, "%s %s%s\r\n", version.sent, status, reason.sent)
	before := rapid.Bool().Draw(t, "extra lines first")
	if before {
		head.WriteString(extra.sent)
	}
	head.WriteString(f.fields)
	for name, values := range fields {
		if rapid.Bool().Draw(t, "has "+name) {
			value := rapid.SampledFrom(values).Draw(t, name)
			r.Fields[name] = value
			fmt.Fprintf(&head, "%s: %s\r\n", name, value)
		}
	}
	if !before {
		head.WriteString(extra.sent)
	}
	r.Raw = head.String() + "\r\n" + f.sent
	n, valid := parseStatus(status)
	r.Status, r.Valid = n, r.Valid && valid
	return r
}

// parseStatus returns the number that a status states, and whether it is one from 100 to 599.
func parseStatus(status string) (int, bool) {
	n, err := strconv.Atoi(status)
	return n, err == nil && len(status) == 3 && status[0] >= '1' && status[0] <= '5'
}

// drawInterim draws an interim response, or none.
func drawInterim(t *rapid.T) part {
	status := rapid.SampledFrom([]string{"", "", "", "103", "199", "050"}).Draw(t, "interim")
	if status == "" {
		return part{valid: true}
	}
	return part{sent: "HTTP/1.1 " + status + " Early\r\nX: y\r\n\r\n", valid: status >= "100"}
}

// drawExtraLines draws lines that a head holds beside the drawn fields.
func drawExtraLines(t *rapid.T, fields map[string][]string) part {
	switch rapid.SampledFrom([]string{"sound", "sound", "name", "value", "other"}).Draw(t, "extra lines") {
	case "name":
		names := append(slices.Sorted(maps.Keys(fields)), fieldNames...)
		return part{sent: drawFaultyName(t, names) + ": 1\r\n"}
	case "value":
		faulty := rapid.ByteRange(0, 0x1f).Filter(func(b byte) bool { return b != '\t' && b != '\n' }).Draw(t, "control byte")
		return part{sent: "X-Extra: a" + string([]byte{rapid.SampledFrom([]byte{faulty, 0x7f}).Draw(t, "faulty byte")}) + "b\r\n"}
	case "other":
		return part{sent: rapid.SampledFrom([]string{": 1\r\n", "no colon\r\n", "HTTP/1.1 200 OK\r\n", " \r\n: 1\r\n"}).Draw(t, "line")}
	default:
		return part{sent: rapid.SampledFrom(soundLines).Draw(t, "sound lines"), valid: true}
	}
}

// drawFaultyName draws a field name with one byte that no name may hold, inside or at its end.
// It is no colon, which would end the name.
func drawFaultyName(t *rapid.T, names []string) string {
	name := rapid.SampledFrom(names).Draw(t, "name")
	faulty := rapid.Byte().Filter(func(b byte) bool { return b != ':' && !isTokenByte(b) }).Draw(t, "faulty byte")
	inserted := rapid.SampledFrom([]byte{' ', '\t', 0, faulty, faulty}).Draw(t, "inserted byte")
	at := rapid.IntRange(1, len(name)).Draw(t, "position")
	return name[:at] + string([]byte{inserted}) + name[at:]
}

// isTokenByte reports whether a field name may hold a byte (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'A' && b <= 'Z' || b >= 'a' && b <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// framings returns the ways to send a body, with and without faults.
func framings(body string) []framing {
	chunk := func(size string) string { return size + "\r\n" + body + "\r\n" }
	size := strconv.FormatInt(int64(len(body)), 16)
	last := ""
	if len(body) > 0 {
		last = chunk(size)
	}
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	out := []framing{
		{fields: length, sent: body, body: body, valid: true},
		{fields: length, sent: body, body: body, valid: true},
		{fields: "Connection: close\r\n" + length, sent: body + "more", body: body, valid: true},
		{fields: "Connection: close\r\n", sent: body, body: body, valid: true},
		{fields: "Transfer-Encoding: chunked\r\n", sent: last + "0\r\n\r\n", body: body, valid: true, coded: true},
		{fields: "Transfer-Encoding: chunked\r\n" + length, sent: last + "0\r\n\r\n", body: body, valid: true, coded: true},
		{fields: "Transfer-Encoding: chunked\r\n", sent: last + "0\r\nX-Sum: 1\r\nx-empty:\r\n\r\n", body: body, valid: true, coded: true},
		{fields: "Transfer-Encoding: chunked\r\n", sent: last + "0\r\nX Sum: 1\r\n\r\n", coded: true},
		{fields: "Transfer-Encoding: chunked\r\n", sent: last + "0\r\nX-Sum : 1\r\n\r\n", coded: true},
		{fields: "Transfer-Encoding: chunked\r\n", sent: last + "0\r\nX-S\x01um: 1\r\n\r\n", coded: true},
		{fields: "Transfer-Encoding: chunked\r\n", sent: last, coded: true},
		{fields: length + length, sent: body, badHead: true},
		{fields: "Transfer-Encoding: gzip\r\n", sent: body, badHead: true},
		{fields: fmt.Sprintf("Content-Length: %d\r\n", len(body)+3), sent: body},
	}
	for _, wrong := range []string{"", "+4", "-4", "-1", "-2", "0x4", "4.0", "4, 4", "1e0", "99999999999999999999", "four"} {
		out = append(out, framing{fields: "Content-Length: " + wrong + "\r\n", sent: body, badHead: true})
	}
	for _, wrong := range []string{"+" + size, "-1", "0x" + size, "", "g"} {
		out = append(out, framing{fields: "Transfer-Encoding: chunked\r\n", sent: chunk(wrong) + "0\r\n\r\n", coded: true})
	}
	return out
}
