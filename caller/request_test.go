package caller

import (
	"bufio"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

// TestBackendRequestIsUnchanged guards against requests that a library interprets on the
// way, such as bodies of forms and escaped paths: after a hop to a peer, what goes to a
// backend server must be what the caller sent.
func TestBackendRequestIsUnchanged(t *testing.T) {
	const form = "--b\r\nContent-Disposition: form-data; name=\"f\"; filename=\"n\"\r\nContent-Type: text/plain\r\n\r\n1\r\n" +
		"--b\r\nContent-Disposition: form-data; name=\"a\"\r\nContent-Type: text/plain\r\n\r\n2\r\n--b--\r\n"
	cases := map[string]struct {
		target string
		fields string
		body   string
	}{
		"form":              {target: "/x", fields: "Content-Type: multipart/form-data; boundary=b\r\n", body: form},
		"cut form":          {target: "/x", fields: "Content-Type: multipart/form-data; boundary=b\r\n", body: form[:50]},
		"form in the query": {target: "/x?a=%20+&a", fields: "Content-Type: application/x-www-form-urlencoded\r\n", body: "b=%20&a="},
		"escaped path":      {target: "/a%20b/%c3%a9%3f?c=%2F", body: "x"},
		"escaped line end":  {target: "/a%0d%0aX-Forged:%201", body: "x"},
		"doubled slashes":   {target: "/a//b", body: "x"},
		"large head":        {target: "/x", fields: "X-Large: " + strings.Repeat("x", 12<<10) + "\r\n", body: "x"},
		"quoted cookie":     {target: "/x", fields: "Cookie: a=\"b c\"; d\r\nCookie: e=1\r\n", body: "x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := "POST /v1/s/desk" + c.target + " HTTP/1.1\r\nHost: h\r\n" + c.fields + "Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n\r\n" + c.body
			got := passOn(t, text)
			line, rest, _ := strings.Cut(got, "\r\n")
			head, body, _ := strings.Cut(rest, "\r\n\r\n")
			if line != "POST "+c.target+" HTTP/1.1" || body != c.body {
				t.Errorf("sent %q, the server gets %q", text, got)
			}
			want := strings.Split(c.fields+"Host: h\r\nBulrushferry-Workspace: w\r\nContent-Length: "+strconv.Itoa(len(c.body)), "\r\n")
			if fields := strings.Split(head, "\r\n"); !slices.Equal(slices.Sorted(slices.Values(fields)), slices.Sorted(slices.Values(want))) {
				t.Errorf("the server gets the fields %q, want %q", fields, want)
			}
		})
	}
}

// TestInvalidFieldsAreRefused guards against a field of a request that different servers could
// interpret differently.
func TestInvalidFieldsAreRefused(t *testing.T) {
	cases := map[string]bool{
		"X Extra: 1\r\n": false, "Transfer Encoding: chunked\r\n": false, "X-Extra: a\r\n b\r\n": false,
		"x_9~: \xe9\r\n": true, "X-Extra:\r\n": true, "X-Extra: : a\tb\r\n": true, "": true,
	}
	for fields, accepted := range cases {
		t.Run(fields, func(t *testing.T) {
			request := &fasthttp.Request{}
			text := "GET /v1/s/desk/x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"
			if err := request.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
				t.Fatal(err)
			}
			if refusal, ok := checkUnambiguous(request); ok != accepted {
				t.Errorf("accepted: %v, want %v: %s", ok, accepted, refusal.Message)
			}
		})
	}
}

// passOn sends a request to a server for callers and returns the one for backend servers
// in wire format.
func passOn(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	passedOn := make(chan string, 1)
	server := &fasthttp.Server{NoDefaultContentType: true, ReadBufferSize: maxHeaderBytes, DisablePreParseMultipartForm: true, Handler: func(ctx *fasthttp.RequestCtx) {
		path, ok := parseServicePath(ctx.URI())
		if !ok {
			passedOn <- "no such path"
			return
		}
		if (&KeyIndex{}).hasKnownKeyValue(&wire.State{}, &ctx.Request) || keyOutsideAuthorization(&ctx.Request, []byte("key")) {
			passedOn <- "the key is exposed"
			return
		}
		here := newBackendRequest(&ctx.Request, path.target, "w")
		there, err := decodeRequest(encodeRequest(here))
		if err != nil {
			passedOn <- err.Error()
			return
		}
		passedOn <- string(encodeRequest(there))
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	c, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	w := bufio.NewWriter(c)
	_, _ = w.WriteString(text)
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-passedOn:
		return got
	case <-time.After(5 * time.Second):
		t.Fatal("the request was not handled")
		return ""
	}
}
