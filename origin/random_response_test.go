package origin

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/bulrushferry/bulrushferry/http1/responsetest"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// TestRandomResponses guards against a field whose zero value means success: what a caller
// gets is what the server sent for this request, with its signature, or an error.
func TestRandomResponses(t *testing.T) {
	raw := make(chan string, 1)
	server := listen(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := c.Read(make([]byte, 4096)); err == nil {
			_, _ = io.WriteString(c, <-raw)
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		sent := responsetest.Draw(t, map[string][]string{
			"Request-Id":  {"1", "1", "1", "2", ""},
			"Signature":   {"x", "x", ""},
			"Declined":    {"1", ""},
			"Retry-After": {"0", "0.5", "1", "-1", "soon", "NaN", "1e99", ""},
			"Cold":        {"0", "120", "-5", "soon", ""},
		})
		select {
		case <-raw: // One that no connection has taken.
		default:
		}
		raw <- sent.Raw
		request := testRequest("1")
		request.TimeLeft = 5000
		response, info, err := newTestPool().Do(context.Background(), server, true, request)
		defer response.Release()
		if err != nil {
			return
		}
		named, signed := sent.Fields["Request-Id"] == "1", sent.Fields["Signature"] != ""
		if !sent.Valid || info.Status != sent.Status {
			t.Fatalf("%q was taken as status %d", sent.Raw, info.Status)
		}
		if declined := sent.Fields["Declined"] != "" || sent.Status == fasthttp.StatusMisdirectedRequest; info.Declined != declined {
			t.Fatalf("%q counts as declined: %v", sent.Raw, info.Declined)
		}
		if response != nil && (!named || (sent.Status < 300 && !signed) || bodyOf(response) != sent.Body || response.Message().StatusCode() != sent.Status) {
			t.Fatalf("%q was delivered as status %d, body %q", sent.Raw, response.Message().StatusCode(), bodyOf(response))
		}
		checkInfo(t, sent, info)
	})
}

// checkInfo checks what was read of the server's state.
func checkInfo(t *rapid.T, sent responsetest.Response, info ResponseInfo) {
	if cold := sent.Fields["Cold"] == "120"; (info.ColdFor > 0) != cold {
		t.Fatalf("%q is cold for %d ms", sent.Raw, info.ColdFor)
	}
	pauses := map[string]bool{"0.5": true, "1": true, "soon": true, "NaN": true, "1e99": true}
	if pause := sent.Status == 503 && pauses[sent.Fields["Retry-After"]]; (info.Pause.For > 0) != pause {
		t.Fatalf("%q asks for a pause of %d ms", sent.Raw, info.Pause.For)
	}
}
