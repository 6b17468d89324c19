package steering

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

type (
	// rawField is a header field as it stands on the wire, its name in lower case.
	rawField struct{ name, value string }

	// rawRequest is a request as it stands on the wire, with its body decoded.
	rawRequest struct {
		method, target string
		fields         []rawField
		body           string
	}
)

// readRaw reads a request whose body has a length, without a library that could interpret it.
func readRaw(reader *bufio.Reader) (rawRequest, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return rawRequest{}, err
	}
	method, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
	request := rawRequest{method: method, target: strings.TrimSuffix(rest, " HTTP/1.1")}
	length := 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return rawRequest{}, err
		}
		line = strings.TrimSuffix(line, "\r\n")
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ": ")
		if name == "Content-Length" {
			length, _ = strconv.Atoi(value)
		}
		request.fields = append(request.fields, rawField{strings.ToLower(name), value})
	}
	body := make([]byte, length)
	_, err = io.ReadFull(reader, body)
	request.body = string(body)
	return request, err
}

// startRecorder starts a backend server that answers each request, and delivers it as it
// arrived.
func startRecorder(t *testing.T) (*scriptedServer, <-chan rawRequest) {
	t.Helper()
	arrived := make(chan rawRequest, 1)
	return &scriptedServer{Server: startServer(t, 0, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for {
			request, err := readRaw(reader)
			if err != nil {
				return
			}
			arrived <- request
			if _, err := io.WriteString(c, ok(request.field("request-id"))); err != nil {
				return
			}
		}
	})}, arrived
}

// field returns the value of a field, or an empty string.
func (r rawRequest) field(name string) string {
	for _, field := range r.fields {
		if field.name == name {
			return field.value
		}
	}
	return ""
}

// drawRequest draws a request that a caller may send. Its fields hold none that concern the
// connection or that the instance sets.
func drawRequest(t *rapid.T) rawRequest {
	const boundary = "7MA4YWxk"
	form := "--" + boundary + "\r\nContent-Disposition: form-data; name=\"a\"; filename=\"b\"\r\n\r\nc\r\n--" + boundary +
		"\r\nContent-Disposition: form-data; name=\"d\"\r\nContent-Type: text/plain\r\n\r\ne\r\n--" + boundary + "--\r\n"
	fields := []rawField{
		{"content-type", "multipart/form-data; boundary=" + boundary}, {"content-type", "multipart/form-data"},
		{"content-type", "application/x-www-form-urlencoded"}, {"content-type", ""}, {"content-encoding", "gzip"},
		{"cookie", `c="d e"; f`}, {"cookie", "object=1; ;g=;=h"}, {"cookie", "a=1;a=2"}, {"user-agent", "u (v)"},
		{"accept", "*/*;q=0.1"}, {"accept-encoding", "identity"}, {"x-empty", ""}, {"x-twice", "1"}, {"x-twice", "2"},
		{"range", "bytes=0-1"}, {"if-none-match", `"x"`}, {"date", "yesterday"}, {"x-quoted", `a,"b;c",d`}, {"trailers", "x"},
	}
	request := rawRequest{
		method: rapid.SampledFrom([]string{"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PURGE"}).Draw(t, "method"),
		target: "/b/" + rapid.StringMatching(`([a-z./;=+~!*'()@:,$&-]|%[0-9a-fA-F]{2}){0,12}(\?([a-z/?&=+;]|%[0-9a-f]{2}){0,12})?`).Draw(t, "target"),
		fields: rapid.SliceOfN(rapid.SampledFrom(fields), 0, 6).Draw(t, "fields"),
	}
	bodies := []string{"", form, form[:40], "preamble\r\n" + form, "a=1&b=%20&a=2", "0\r\n\r\nGET /b/ HTTP/1.1\r\n\r\n", strings.Repeat("x\x00\r\n", 3000)}
	request.body = rapid.SampledFrom(bodies).Draw(t, "body")
	return request
}

// encode returns the request in wire format. A chunk size of zero means a body with a length.
func (r rawRequest) encode(id string, chunkBytes int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nKey: k\r\nDeadline: 3000\r\n", r.method, r.target, id)
	for _, field := range r.fields {
		fmt.Fprintf(&b, "%s: %s\r\n", field.name, field.value)
	}
	if chunkBytes == 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
		return b.String()
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for chunk := range slices.Chunk([]byte(r.body), chunkBytes) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// TestRequestsReachServersUnchanged guards against requests that a library interprets on
// the way, such as bodies of forms: what a server gets must be what the caller sent.
func TestRequestsReachServersUnchanged(t *testing.T) {
	server, arrived := startRecorder(t)
	in := startInstance(t, []*scriptedServer{server})
	c, err := net.Dial("tcp4", in.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	count := 0
	rapid.Check(t, func(rt *rapid.T) {
		sent := drawRequest(rt)
		chunkBytes := rapid.SampledFrom([]int{0, 0, 1, 7, 4096}).Draw(rt, "chunk bytes")
		count++
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(c, sent.encode(strconv.Itoa(count), chunkBytes)); err != nil {
			rt.Fatal(err)
		}
		var response fasthttp.Response
		if err := response.Read(reader); err != nil || response.StatusCode() != fasthttp.StatusOK {
			rt.Fatalf("got %d, %v", response.StatusCode(), err)
		}
		got := <-arrived
		got.fields = slices.DeleteFunc(got.fields, func(field rawField) bool {
			return slices.Contains([]string{"host", "request-id", "deadline", "pin", "workspace", "content-length"}, field.name)
		})
		if got.method != sent.method || got.target != sent.target || got.body != sent.body || !slices.Equal(got.fields, sent.fields) {
			rt.Fatalf("sent %q, the server got %q", sent, got)
		}
	})
}
