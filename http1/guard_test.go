package http1

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/bulrushferry/bulrushferry/http1/responsetest"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// TestRandomResponses guards against a faulty field that is read as its zero value, which
// means success: a response is read as the server sent it, or not at all.
func TestRandomResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := responsetest.Draw(t, map[string][]string{"X": {"", "1"}})
		var source io.Reader = strings.NewReader(sent.Raw)
		if rapid.Bool().Draw(t, "byte by byte") {
			source = iotest.OneByteReader(source)
		}
		response := &fasthttp.Response{}
		err := ReadResponse(NewResponseReader(source), response, false)
		switch {
		case err == nil && !sent.Valid:
			t.Fatalf("%q was read as status %d, body %q", sent.Raw, response.StatusCode(), response.Body())
		case err != nil && sent.Valid:
			t.Fatalf("%q was not read: %v", sent.Raw, err)
		case err == nil && (response.StatusCode() != sent.Status || string(response.Body()) != sent.Body):
			t.Fatalf("%q was read as status %d, body %q", sent.Raw, response.StatusCode(), response.Body())
		}
	})
}

// TestGuardHostClient guards against an invalid head in a response that fasthttp's clients
// read by themselves, also after an interim response or on a kept connection.
func TestGuardHostClient(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	bad := strings.Replace(ok, "200", "000", 1)
	cases := map[string]struct {
		answers []string
		failed  []bool
	}{
		"good":                        {[]string{ok, ok}, []bool{false, false}},
		"000":                         {[]string{bad}, []bool{true}},
		"600":                         {[]string{strings.Replace(ok, "200", "600", 1)}, []bool{true}},
		"second on a connection":      {[]string{ok, bad}, []bool{false, true}},
		"after an interim":            {[]string{"HTTP/1.1 100 Continue\r\n\r\n" + bad}, []bool{true}},
		"good after an interim":       {[]string{"HTTP/1.1 100 Continue\r\nX: y\r\n\r\n" + ok, ok}, []bool{false, false}},
		"a blank in a name":           {[]string{strings.Replace(ok, "\r\n", "\r\nX Extra: 1\r\n", 1)}, []bool{true}},
		"a blank after a name":        {[]string{ok, strings.Replace(ok, "Length", "Length ", 1)}, []bool{false, true}},
		"a blank in the length":       {[]string{strings.Replace(ok, "Content-Length", "Content Length", 1) + "more"}, []bool{true}},
		"a control byte in a name":    {[]string{strings.Replace(ok, "\r\n", "\r\nX-E\x01xtra: 1\r\n", 1)}, []bool{true}},
		"a name after an interim":     {[]string{"HTTP/1.1 103 Early\r\nX: y\r\n\r\n" + strings.Replace(ok, "\r\n", "\r\nX Extra: 1\r\n", 1)}, []bool{true}},
		"a name in an interim":        {[]string{"HTTP/1.1 103 Early\r\nX y: z\r\n\r\n" + ok}, []bool{true}},
		"odd and sound":               {[]string{strings.Replace(ok, "\r\n", "\r\nX-Empty:\r\nx-obs: \xe9\r\nX-Folded: a\r\n b\r\n", 1), ok}, []bool{false, false}},
		"a blank in the body":         {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\na b: c\r\nX Y: 1\r\n", ok}, []bool{false, false}},
		"a later minor version":       {[]string{strings.Replace(ok, "1.1", "1.2", 1)}, []bool{false}},
		"another major version":       {[]string{strings.Replace(ok, "1.1", "2.0", 1)}, []bool{true}},
		"a coding of another version": {[]string{"HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}, []bool{true}},
		"a long reason":               {[]string{strings.Replace(bad, "OK", strings.Repeat("x", 300), 1)}, []bool{true}},
		"good with a long reason":     {[]string{strings.Replace(ok, "OK", strings.Repeat("x", 300), 1)}, []bool{false}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			here, there := net.Pipe()
			go func() {
				buffer := make([]byte, 4096)
				for _, answer := range c.answers {
					if _, err := there.Read(buffer); err != nil {
						return
					}
					for i := range answer {
						if _, err := there.Write([]byte{answer[i]}); err != nil {
							return
						}
					}
				}
			}()
			client := GuardHostClient(&fasthttp.HostClient{
				Addr: "s", RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
				Dial: func(string) (net.Conn, error) { return here, nil },
			})
			for i, failed := range c.failed {
				request, response := &fasthttp.Request{}, &fasthttp.Response{}
				request.SetRequestURI("http://s/")
				if err := client.DoTimeout(request, response, time.Second); (err != nil) != failed {
					t.Errorf("response %d: status %d, error %v", i, response.StatusCode(), err)
				}
			}
		})
	}
}
