package backend

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/http1/responsetest"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// TestRandomResponses guards against a field whose zero value means success: what a caller
// gets is what the server sent for this request, or an error.
func TestRandomResponses(t *testing.T) {
	raw := make(chan string, 1)
	address := serve(t, func(c net.Conn, _ *fasthttp.Request) { _, _ = io.WriteString(c, <-raw) })
	rapid.Check(t, func(t *rapid.T) {
		sent := responsetest.Draw(t, map[string][]string{
			RequestIDHeader: {"mine", "mine", "other", ""},
			DeclinedHeader:  {"1", ""},
		})
		select {
		case <-raw: // One that no connection has taken.
		default:
		}
		raw <- sent.Raw
		deadline := time.Now().Add(5 * time.Second)
		c, err := dial(netip.Addr{}, address, deadline)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		request, response := &fasthttp.Request{}, &fasthttp.Response{}
		request.SetRequestURI("http://s/")
		if c.exchange(request, response, exchangeOptions{requestID: "mine", deadline: deadline, timeLeft: 5000}) != nil {
			return
		}
		if !sent.Valid || response.StatusCode() != sent.Status || string(response.Body()) != sent.Body {
			t.Fatalf("%q was delivered as status %d, body %q", sent.Raw, response.StatusCode(), response.Body())
		}
		if sent.Fields[RequestIDHeader] == "other" || sent.Fields[DeclinedHeader] != "" {
			t.Fatalf("%q was delivered, though it is to another request or says that none ran", sent.Raw)
		}
	})
}
