// Package responsetest draws random HTTP responses, valid and not, for tests of what reads
// them.
package responsetest

import (
	"fmt"
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

	// framing is how the body is sent.
	framing struct {
		fields, sent string
		// body is what the framing means, if that can be known.
		body  string
		valid bool
		// badHead is set if the head alone shows that the framing is wrong.
		badHead bool
		// coded is set if the body has a transfer coding, which HTTP/1.0 has not.
		coded bool
	}
)

// Draw draws a response. Each of the fields, if it is sent, has one of the given values.
func Draw(t *rapid.T, fields map[string][]string) Response {
	status := rapid.SampledFrom([]string{
		"200", "200", "200", "201", "204", "304", "404", "421", "500", "503", "599",
		"000", "001", "099", "600", "999", "0", "20", "2000", "+200", "-200", "1e2", "0x1", "", "2OO",
	}).Draw(t, "status")
	version := rapid.SampledFrom([]string{"HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0", "HTTP/1.1 "}).Draw(t, "version")
	body := rapid.StringMatching("[a-f0-9\r\n]{0,20}").Draw(t, "body")
	f := rapid.SampledFrom(framings(body)).Draw(t, "framing")
	if status == "204" || status == "304" {
		f.body, f.valid = "", !f.badHead
	}
	r := Response{Fields: make(map[string]string), Body: f.body, Valid: f.valid && (!f.coded || version != "HTTP/1.0")}
	var head strings.Builder
	if interim := rapid.SampledFrom([]string{"", "", "", "103", "199", "050"}).Draw(t, "interim"); interim != "" {
		head.WriteString("HTTP/1.1 " + interim + " Early\r\nX: y\r\n\r\n")
		r.Valid = r.Valid && interim >= "100"
	}
	fmt.Fprintf(&head, "%s %s Said\r\n%s", version, status, f.fields)
	for name, values := range fields {
		if rapid.Bool().Draw(t, "has "+name) {
			value := rapid.SampledFrom(values).Draw(t, name)
			r.Fields[name] = value
			fmt.Fprintf(&head, "%s: %s\r\n", name, value)
		}
	}
	r.Raw = head.String() + "\r\n" + f.sent
	n, err := strconv.Atoi(status)
	if err != nil || len(status) != 3 || status[0] < '1' || status[0] > '5' {
		r.Valid = false
	}
	r.Status = n
	return r
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
