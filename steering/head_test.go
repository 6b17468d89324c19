package steering

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

const (
	// headBegin and headEnd are the sound lines of a response, and its body.
	headBegin = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\n"
	headEnd   = "Content-Length: 4\r\n\r\nbody"
)

// TestInvalidFieldNameIsNotDelivered guards against a failing server whose response has a
// blank or a control byte in the name of a field, and that a caller gets as a success with
// the server's signature.
func TestInvalidFieldNameIsNotDelivered(t *testing.T) {
	names := map[string]string{
		"a blank inside":                  "X Extra",
		"a blank at the end":              "X-Extra ",
		"two blanks at the end":           "X-Extra  ",
		"a tab inside":                    "X\tExtra",
		"a tab at the end":                "X-Extra\t",
		"NUL":                             "X-Ex\x00tra",
		"SOH":                             "X-Ex\x01tra",
		"ESC at the end":                  "X-Extra\x1b",
		"DEL":                             "X-Ex\x7ftra",
		"a carriage return":               "X-Ex\rtra",
		"a line feed":                     "X-Ex\ntra",
		"a byte of no ASCII character":    "X-Ex\xe9tra",
		"a separator":                     "X(Extra)",
		"none":                            "",
		"the signature but for a blank":   "Signature ",
		"the id but for a blank":          "Request-Id ",
		"a decline but for a blank":       "Declined ",
		"two words of the length's name":  "Content Length",
		"the length's but for a blank":    "Content-Length ",
		"the coding's but for a blank":    "Transfer-Encoding ",
		"a blank after the first letter":  "C onnection",
		"an encoding's but for a blank":   "Content-Encoding ",
		"the load report but for a blank": "Load ",
	}
	for name, field := range names {
		line := field + ": 1\r\n"
		for place, answer := range map[string]string{
			"first":  strings.Replace(headBegin, "\r\n", "\r\n"+line, 1) + headEnd,
			"last":   headBegin + strings.Replace(headEnd, "\r\n", "\r\n"+line, 1),
			"only":   headBegin + line + "Connection: close\r\n\r\nbody",
			"inside": headBegin + line + headEnd,
		} {
			for _, path := range []string{"/a/x", "/b/x"} {
				t.Run(name+" "+place+path, func(t *testing.T) {
					t.Parallel()
					response := startInstance(t, []*scriptedServer{breakOff(t, answer, false)}).send("GET", path)
					signed := len(response.Header.Peek("Signature")) > 0
					if response.StatusCode() != fasthttp.StatusBadGateway || signed {
						t.Errorf("%q: got %d, signed %v:\n%s", answer, response.StatusCode(), signed, response)
					}
				})
			}
		}
	}
}

// TestOddFieldsAreDelivered guards against sound responses that are refused, since a field
// looks odd: RFC 9110 and RFC 9112 allow all of these.
func TestOddFieldsAreDelivered(t *testing.T) {
	cases := map[string]struct{ line, name, want string }{
		"no value":               {"X-Extra:\r\n", "X-Extra", ""},
		"only blanks":            {"X-Extra:  \t\r\n", "X-Extra", ""},
		"no blank":               {"X-Extra:v\r\n", "X-Extra", "v"},
		"blanks and tabs around": {"X-Extra: \tv\t \r\n", "X-Extra", "v"},
		"a tab inside":           {"X-Extra: a\tb\r\n", "X-Extra", "a\tb"},
		"any case":               {"x-eXTRA: v\r\n", "X-Extra", "v"},
		"all kinds of bytes":     {"9!#$%&'*+-.^_`|~aZ: v\r\n", "9!#$%&'*+-.^_`|~az", "v"},
		"a colon in the value":   {"X-Extra: : b\r\n", "X-Extra", ": b"},
		"bytes of no ASCII":      {"X-Extra: \xe9\xff\x80\r\n", "X-Extra", "\xe9\xff\x80"},
		"folded":                 {"X-Extra: a\r\n \t b\r\n", "X-Extra", "a b"},
		"long":                   {"X-Extra: " + strings.Repeat("v", 3_000) + "\r\n", "X-Extra", strings.Repeat("v", 3_000)},
		"ended by a line feed":   {"X-Extra: v\nX-Next: v\r\n", "X-Extra", "v"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			response := startInstance(t, []*scriptedServer{breakOff(t, headBegin+c.line+headEnd, false)}).send("GET", "/a/x")
			if response.StatusCode() != fasthttp.StatusOK || string(response.Body()) != "body" {
				t.Fatalf("got %d, body %q", response.StatusCode(), response.Body())
			}
			if got := string(response.Header.Peek(c.name)); got != c.want {
				t.Errorf("got the value %q, want %q", got, c.want)
			}
		})
	}
}

// TestUnknownFramingIsNotDelivered guards against a body of which a caller gets the framing of
// the chunks, since only HTTP/1.1 has a transfer coding that this process reads.
func TestUnknownFramingIsNotDelivered(t *testing.T) {
	const fields = "Request-Id: 1\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n"
	for version, delivered := range map[string]bool{"1.1": true, "1.0": false, "1.2": false, "0.9": false, "2.0": false} {
		for length, field := range map[string]string{"no length": "", "a length": "Content-Length: 4\r\n"} {
			t.Run(version+" "+length, func(t *testing.T) {
				t.Parallel()
				answer := "HTTP/" + version + " 200 OK\r\n" + field + fields + "\r\n4\r\nbody\r\n0\r\n\r\n"
				response := startInstance(t, []*scriptedServer{breakOff(t, answer, false)}).send("GET", "/a/x")
				signed := len(response.Header.Peek("Signature")) > 0
				if signed != delivered || (signed && string(response.Body()) != "body") {
					t.Errorf("got %d, signed %v, body %q", response.StatusCode(), signed, response.Body())
				}
			})
		}
	}
}

// TestTrailerIsNotTheHead guards against a field of a trailer that counts like one of the head:
// callers do not get trailers, so they would get a response without its signature or id.
func TestTrailerIsNotTheHead(t *testing.T) {
	const id, signature = "Request-Id: 1\r\n", "Signature: x\r\n"
	cases := map[string]struct {
		head, trailer string
		delivered     bool
	}{
		"signature in the trailer": {head: id, trailer: signature},
		"id in the trailer":        {head: signature, trailer: id},
		"both in the trailer":      {trailer: id + signature},
		"decline in the trailer":   {head: id + signature, trailer: "Declined: 1\r\n", delivered: true},
		"another id there":         {head: id + signature, trailer: "Request-Id: 2\r\n", delivered: true},
		"announced, in the head":   {head: id + signature + "Trailer: Signature, Request-Id\r\n", delivered: true},
		"announced before":         {head: "Trailer: Signature\r\n" + id + signature, delivered: true},
		"a checksum there":         {head: id + signature + "Trailer: X-Sum\r\n", trailer: "X-Sum: 1\r\n", delivered: true},
	}
	for name, c := range cases {
		for _, path := range []string{"/a/x", "/b/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				answer := "HTTP/1.1 200 OK\r\n" + c.head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + c.trailer + "\r\n"
				response := startInstance(t, []*scriptedServer{breakOff(t, answer, false)}).send("GET", path)
				delivered := response.StatusCode() == fasthttp.StatusOK
				signed := len(response.Header.Peek("Signature")) > 0 && len(response.Header.Peek("Request-Id")) > 0
				if delivered != c.delivered || (delivered && !signed) {
					t.Errorf("got %d, want delivered %v:\n%s", response.StatusCode(), c.delivered, response)
				}
			})
		}
	}
}

// TestRepeatedEncodingIsNotDelivered guards against an encoded body that a caller gets without
// its encoding, since a later field without a value replaces the earlier one.
func TestRepeatedEncodingIsNotDelivered(t *testing.T) {
	cases := map[string]bool{
		"Content-Encoding: gzip\r\n":                          false,
		"Content-Encoding: gzip\r\nContent-Encoding:\r\n":     false,
		"Content-Encoding:\r\ncontent-encoding: gzip\r\n":     false,
		"Content-Encoding: br\r\nContent-Encoding: gzip\r\n":  false,
		"Content-Encoding:\r\n":                               true,
		"Content-Language: de\r\nContent-Language: fr\r\n":    true,
		"Accept-Encoding: gzip\r\nX-Content-Encoding: br\r\n": true,
	}
	for fields, delivered := range cases {
		t.Run(fields, func(t *testing.T) {
			t.Parallel()
			response := startInstance(t, []*scriptedServer{breakOff(t, headBegin+fields+headEnd, false)}).send("GET", "/a/x")
			if got := response.StatusCode() == fasthttp.StatusOK; got != delivered {
				t.Errorf("got %d, want delivered %v", response.StatusCode(), delivered)
			}
		})
	}
}
