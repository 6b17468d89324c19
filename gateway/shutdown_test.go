package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestPipelinedRequestsDuringShutdown guards against closing a connection before all requests
// on it that were passed on are answered: a caller sends requests behind one another around
// the time at which the server begins to stop.
func TestPipelinedRequestsDuringShutdown(t *testing.T) {
	cases := map[string]struct {
		// sent is the number of requests sent before the stop begins, later the number
		// sent after it.
		sent, later int
	}{
		"one":                         {sent: 1},
		"five":                        {sent: 5},
		"more than may be pending":    {sent: 3 * maxPipelined},
		"five and more behind them":   {sent: 5, later: 5},
		"all while the first is open": {sent: 1, later: 9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 20 {
				testPipelinedShutdown(t, c.sent, c.later)
			}
		})
	}
}

func testPipelinedShutdown(t *testing.T, sent, later int) {
	release := make(chan struct{})
	var passedOn atomic.Int64
	s, listener := startServer(t, func(_ context.Context, x *Exchange) {
		passedOn.Add(1)
		<-release
		x.Respond(bodyResponse(string(x.Request.RequestURI())), nil)
	})
	c := dialServer(t, listener)
	send := func(from, to int) {
		for n := from; n < to; n++ {
			_, _ = fmt.Fprintf(c, "GET /%d/ HTTP/1.1\r\nHost: a\r\n\r\n", n)
		}
	}
	send(0, sent)
	for passedOn.Load() < int64(min(sent, maxPipelined)) {
		time.Sleep(time.Millisecond)
	}
	_ = listener.Close()
	s.DisableKeepAlives()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	send(sent, sent+later)
	close(release)
	reader := bufio.NewReader(c)
	answered, closing := int64(0), false
	for !closing {
		var response fasthttp.Response
		if err := response.Read(reader); err != nil {
			t.Fatalf("%d answers to %d requests that were passed on, then %v", answered, passedOn.Load(), err)
		}
		if want := fmt.Sprintf("/%d/", answered); string(response.Body()) != want {
			t.Fatalf("got the answer %q, want %q", response.Body(), want)
		}
		answered++
		closing = response.ConnectionClose()
	}
	if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
		t.Errorf("after the last answer: %q, %v", rest, err)
	}
	_ = c.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if answered != passedOn.Load() {
		t.Errorf("%d answers to %d requests that were passed on", answered, passedOn.Load())
	}
}

// TestLastResponseIsNotReset checks that a caller that keeps sending gets the last response
// of a connection whole.
func TestLastResponseIsNotReset(t *testing.T) {
	body := strings.Repeat("x", 300_000)
	_, listener := startServer(t, func(_ context.Context, x *Exchange) { x.Respond(bodyResponse(body), nil) })
	for range 20 {
		c := dialServer(t, listener)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		go func() {
			for range 20 {
				if _, err := io.WriteString(c, strings.Repeat(plainRequest, 100)); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		time.Sleep(10 * time.Millisecond)
		var response fasthttp.Response
		if err := response.Read(bufio.NewReader(c)); err != nil || len(response.Body()) != len(body) {
			t.Fatalf("got %d of %d bytes, %v", len(response.Body()), len(body), err)
		}
		_ = c.Close()
	}
}
