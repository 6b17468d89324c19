package origin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/http1/responsetest"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

const testHead = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\n"

// endless holds servers that send a beginning and then one piece again and again, until
// the connection is closed. pause is the time between two pieces.
var endless = map[string]struct {
	begin, piece string
	pause        time.Duration
}{
	"status line":      {begin: "HTTP/1.1 200 ", piece: strings.Repeat("x", 1000)},
	"header lines":     {begin: "HTTP/1.1 200 OK\r\n", piece: "X-Again: " + strings.Repeat("y", 100) + "\r\n"},
	"interim":          {piece: "HTTP/1.1 103 Early\r\nX: y\r\n\r\n"},
	"chunks":           {begin: testHead + "Transfer-Encoding: chunked\r\n\r\n", piece: "400\r\n" + strings.Repeat("z", 0x400) + "\r\n"},
	"chunk extensions": {begin: testHead + "Transfer-Encoding: chunked\r\n\r\n", piece: "1;" + strings.Repeat("e", 2000) + "\r\nz\r\n"},
	"trailer fields":   {begin: testHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", piece: "X-Trailer: " + strings.Repeat("t", 100) + "\r\n"},
	"unframed body":    {begin: testHead + "Connection: close\r\n\r\n", piece: strings.Repeat("z", 10_000)},
	"long body":        {begin: testHead + "Content-Length: 60000000\r\n\r\n", piece: strings.Repeat("z", 10_000)},
	"past the length":  {begin: testHead + "Content-Length: 4\r\n\r\nbody", piece: strings.Repeat("z", 10_000)},
	"a byte at a time": {begin: testHead + "Content-Length: 1000\r\n\r\n", piece: "z", pause: 50 * time.Millisecond},
	"no answer at all": {piece: "\x00\xff\x17"},
}

// listenEndless runs a server that sends a piece without end after each request head. It
// counts the connections that are still open.
func listenEndless(t *testing.T, begin, piece string, pause time.Duration, open *sync.WaitGroup) placement.Server {
	return listen(t, func(c net.Conn) {
		open.Add(1)
		go func() {
			defer open.Done()
			defer func() { _ = c.Close() }()
			buffer := make([]byte, 4096)
			if _, err := c.Read(buffer); err != nil {
				return
			}
			_, err := io.WriteString(c, begin)
			for err == nil {
				time.Sleep(pause)
				_, err = io.WriteString(c, piece)
			}
		}()
	})
}

// TestEndlessResponses checks that an exchange with a server that never stops sending ends
// by the request's deadline, and that its connection is closed and not used again.
func TestEndlessResponses(t *testing.T) {
	for name, c := range endless {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var open sync.WaitGroup
			server := listenEndless(t, c.begin, c.piece, c.pause, &open)
			account := memory.NewAccount(memory.Limits{Total: 8 << 20, Responses: 8 << 20})
			request := testRequest("1")
			pool := newTestPool()
			pool.config.Memory = account
			started := time.Now()
			response, _, err := pool.Do(context.Background(), server, true, request)
			if took := time.Since(started); took > request.TimeLeft.Duration()+200*time.Millisecond {
				t.Errorf("the exchange took %s, the deadline was %d ms", took, request.TimeLeft)
			}
			if complete := name == "past the length"; complete != (err == nil) || (complete && bodyOf(response) != "body") {
				t.Errorf("got %v and a body of %d bytes", err, len(bodyOf(response)))
			}
			closed := make(chan struct{})
			go func() {
				open.Wait()
				close(closed)
			}()
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Error("the connection was not closed")
			}
			response.Release()
			if account.Usage().Held[memory.Responses] != 0 {
				t.Errorf("%d bytes are still held", account.Usage().Held[memory.Responses])
			}
		})
	}
}

// TestMemoryOfEndlessResponses has 50 servers send bodies without end at once, half of them
// with a length of 60 MB. Together they may hold the stated memory only, and an honest
// small response must still get through.
func TestMemoryOfEndlessResponses(t *testing.T) {
	const limit = 32 << 20
	account := memory.NewAccount(memory.Limits{Total: limit, Responses: limit})
	pool := newTestPool()
	pool.config.Memory = account
	var open, calls sync.WaitGroup
	heap := responsetest.WatchHeap()
	for n := range 50 {
		body := endless["long body"]
		if n%2 == 0 {
			body = endless["unframed body"]
		}
		server := listenEndless(t, body.begin, body.piece, 0, &open)
		server.ID = fmt.Sprint("s", n)
		calls.Go(func() {
			request := testRequest("1")
			request.TimeLeft = clock.Second
			_, _, err := pool.Do(context.Background(), server, true, request)
			if err == nil {
				t.Error("a response without end counted as complete")
			}
			if account.Usage().Held[memory.Responses] > limit {
				t.Errorf("%d bytes are held, the limit is %d", account.Usage().Held[memory.Responses], limit)
			}
		})
	}
	honest := serve(t, func(int, string) string { return responseTo("1", "", strings.Repeat("b", 20_000)) })
	honest.ID = "honest"
	for range 20 {
		request := testRequest("1")
		request.TimeLeft = 5 * clock.Second
		response, _, err := pool.Do(context.Background(), honest, true, request)
		if err != nil || len(bodyOf(response)) != 20_000 {
			t.Errorf("an honest response: %v, %d bytes", err, len(bodyOf(response)))
		}
		response.Release()
		time.Sleep(10 * time.Millisecond)
	}
	calls.Wait()
	grown := heap.Stop()
	t.Logf("the heap grew by %d MiB at most, the limit of the bodies is %d MiB", grown>>20, limit>>20)
	if grown > 4*limit {
		t.Errorf("the heap grew by %d bytes, the bodies may hold %d", grown, limit)
	}
}

// TestLargeHead checks that an honest response with a large head passes, and that its
// connection is used again.
func TestLargeHead(t *testing.T) {
	connections := 0
	counts := make(map[int]int)
	server := listen(t, func(c net.Conn) {
		connections++
		count := 0
		serveConn(c, func(n int, _ string) string {
			counts[connections]++
			return responseTo(fmt.Sprint(n+1), "X-Large: "+strings.Repeat("v", 20_000)+"\r\n", "body")
		}, &count)
	})
	pool := newTestPool()
	for id := range 3 {
		response, _, err := pool.Do(context.Background(), server, true, testRequest(fmt.Sprint(id+1)))
		if err != nil || bodyOf(response) != "body" || len(response.Message().Header.Peek("X-Large")) != 20_000 {
			t.Fatalf("request %d: %v, body %q", id, err, bodyOf(response))
		}
	}
	if connections != 1 {
		t.Errorf("%d connections for three requests, want 1", connections)
	}
}

// TestHeadRequest checks that the length that a response to HEAD states is not waited for.
func TestHeadRequest(t *testing.T) {
	server := serve(t, func(int, string) string { return testHead + "Content-Length: 500\r\n\r\n" })
	request := testRequest("1")
	request.Source.Header.SetMethod(fasthttp.MethodHead)
	if _, _, err := newTestPool().Do(context.Background(), server, true, request); err != nil {
		t.Fatal(err)
	}
}

// TestSecondCopyOfDecline has a server decline a request without naming it, and send a
// second copy of that when the next request has arrived on the connection. The next
// request ran: it must not count as declined.
func TestSecondCopyOfDecline(t *testing.T) {
	const decline = "HTTP/1.1 503 Busy\r\nDeclined: 1\r\nContent-Length: 0\r\n\r\n"
	server := listen(t, func(c net.Conn) {
		count := 0
		go serveConn(c, func(n int, _ string) string {
			if n == 0 {
				return decline
			}
			return decline + responseTo("2", "", "ran")
		}, &count)
	})
	pool := newTestPool()
	if _, info, err := pool.Do(context.Background(), server, true, testRequest("1")); err != nil || !info.Declined {
		t.Fatalf("got %+v, %v, want a decline", info, err)
	}
	connection := len(pool.servers[server.ID].idle)
	if connection != 0 {
		t.Error("the connection is kept after a response that names no request")
	}
}

// TestWithheld checks that nothing is sent if the request may no longer be sent once the
// connection is there, and that the connection is kept.
func TestWithheld(t *testing.T) {
	received := make(chan []byte, 1)
	server := listen(t, func(c net.Conn) {
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		got, _ := io.ReadAll(c)
		received <- got
	})
	request := testRequest("1")
	request.Withhold = func() string { return "the server left" }
	_, _, err := newTestPool().Do(context.Background(), server, false, request)
	if !errorx.IsOfType(err, ErrWithheld) || OutcomeOf(ResponseInfo{}, err) != placement.Withheld {
		t.Errorf("got %v, want %s", err, ErrWithheld)
	}
	if got := <-received; len(got) > 0 {
		t.Errorf("the server received %q", got)
	}
}

// TestServerNotices checks what is read from any kind of response of a server that leaves
// or wants a pause.
func TestServerNotices(t *testing.T) {
	cases := map[string]struct {
		sent    string
		leaving bool
		pause   clock.Millis
	}{
		"success":               {sent: responseTo("1", "Leaving: 1\r\n", "body"), leaving: true},
		"failure":               {sent: "HTTP/1.1 500 No\r\nRequest-Id: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", leaving: true},
		"decline":               {sent: "HTTP/1.1 503 No\r\nDeclined: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", leaving: true},
		"another server":        {sent: "HTTP/1.1 421 No\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", leaving: true},
		"rest of the body lost": {sent: testHead + "Leaving: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nbo", leaving: true},
		"a late response first": {sent: responseTo("0", "Leaving: 1\r\n", "late") + responseTo("1", "", "body"), leaving: true},
		"not leaving":           {sent: responseTo("1", "Leaving: 0\r\n", "body")},
		"pause":                 {sent: "HTTP/1.1 503 No\r\nRequest-Id: 1\r\nDeclined: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n", pause: 1500},
		"pause without decline": {sent: "HTTP/1.1 503 No\r\nRequest-Id: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", pause: 2000},
		"not a 503":             {sent: responseTo("1", "Retry-After: 9\r\n", "body")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := serve(t, func(int, string) string { return c.sent })
			_, info, _ := newTestPool().Do(context.Background(), server, true, testRequest("1"))
			if info.Leaving != c.leaving || info.Pause.For != c.pause {
				t.Errorf("got leaving %v and a pause of %d ms, want %v and %d ms", info.Leaving, info.Pause.For, c.leaving, c.pause)
			}
		})
	}
}

func TestParsePause(t *testing.T) {
	cases := map[string]struct {
		field string
		want  clock.Millis
		odd   bool
	}{
		"missing":           {field: ""},
		"whole":             {field: "3", want: 3000},
		"fraction":          {field: " 0.25 ", want: 250},
		"smallest fraction": {field: "0.0001", want: 1},
		"zero":              {field: "0"},
		"negative":          {field: "-5", odd: true},
		"huge":              {field: "99999999999", want: maxPause, odd: true},
		"past any number":   {field: "1e400", want: maxPause, odd: true},
		"400 digits":        {field: strings.Repeat("9", 400), want: maxPause, odd: true},
		"not a number":      {field: "soon", want: unreadablePause, odd: true},
		"NaN":               {field: "NaN", want: unreadablePause, odd: true},
		"a date":            {field: "Fri, 31 Dec 1999 23:59:59 GMT", want: unreadablePause, odd: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := parsePause([]byte(c.field))
			if got.For != c.want || (got.Given != "") != c.odd {
				t.Errorf("got %+v, want %d ms, odd %v", got, c.want, c.odd)
			}
		})
	}
	if got := parsePause(bytes.Repeat([]byte("x"), 1000)); len(got.Given) > maxLoggedValueBytes+2 {
		t.Errorf("%d bytes of the value are kept", len(got.Given))
	}
}
