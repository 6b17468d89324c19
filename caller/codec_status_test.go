package caller

import (
	"strings"
	"testing"

	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/http1/responsetest"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// TestDecodeResponseNeedsStatus guards against a response from a peer without a valid
// status, which would be read as 200.
func TestDecodeResponseNeedsStatus(t *testing.T) {
	for status, valid := range map[string]bool{"000": false, "099": false, "600": false, "999": false, "200": true, "599": true} {
		response, err := decodeResponse([]byte("HTTP/1.1 " + status + " Said\r\nContent-Length: 2\r\n\r\nok"))
		if (err == nil) != valid || (valid && string(response.Body()) != "ok") {
			t.Errorf("status %s: got error %v", status, err)
		}
	}
}

// TestDecodeResponseNeedsFieldNames guards against a response from a peer with an invalid
// name of a field, which would be passed on or frame another body.
func TestDecodeResponseNeedsFieldNames(t *testing.T) {
	for name, valid := range map[string]bool{
		"X Extra": false, "X-Extra ": false, "X-Extra\t": false, "X-E\x01xtra": false, "Content-Length ": false,
		"X-Extra": true, "x_9~": true,
	} {
		_, err := decodeResponse([]byte("HTTP/1.1 200 OK\r\n" + name + ": 2\r\nContent-Length: 2\r\n\r\nok"))
		if (err == nil) != valid {
			t.Errorf("name %q: got error %v", name, err)
		}
	}
}

// TestResponsesSurviveForwarding guards against a response of a server that this process has
// read and that the peer which forwarded the request refuses.
func TestResponsesSurviveForwarding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := responsetest.Draw(t, map[string][]string{"X": {"", "1"}})
		read := &fasthttp.Response{}
		if http1.ReadResponse(http1.NewResponseReader(strings.NewReader(sent.Raw)), read, false) != nil {
			return
		}
		got, err := decodeResponse(encodeResponse(read))
		if err != nil || got.StatusCode() != sent.Status || string(got.Body()) != sent.Body {
			t.Fatalf("%q was encoded as %q: status %d, body %q, error %v", sent.Raw, encodeResponse(read), got.StatusCode(), got.Body(), err)
		}
	})
}
