package soak

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

type (
	// ledger records what backend servers ran. It is shared by all of them.
	ledger struct {
		mu   sync.Mutex
		runs map[string]int
		// keys counts requests that carried a caller's key.
		keys int
		// late counts requests that reached a server too long after it left.
		late int
		// foreign counts requests that ran for another workspace.
		foreign int
	}

	// backendServer stands in for a backend server with slots.
	backendServer struct {
		id      string
		address string
		domain  string
		ledger  *ledger
		slots   chan struct{}
		// silent servers do not report their load.
		silent bool
		// work is how long a request runs.
		work time.Duration
		// wellTime returns for how much of a span the store served.
		wellTime func(from, to time.Time) time.Duration

		// life orders restarts.
		life     sync.Mutex
		mu       sync.Mutex
		listener net.Listener
		leftAt   time.Time
		conns    map[net.Conn]struct{}
	}
)

const (
	serverSlots = 8
	workTime    = 15 * time.Millisecond
	// leaveBound is how long after it was listed as leaving a server may still
	// get requests, outages of the whole store apart.
	leaveBound = 3 * time.Second
)

// startServer opens a backend server until the test ends.
func startServer(t *testing.T, id, domain string, l *ledger) *backendServer {
	t.Helper()
	b := &backendServer{id: id, domain: domain, ledger: l, slots: make(chan struct{}, serverSlots), conns: make(map[net.Conn]struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = listener.Addr().String()
	b.open(listener)
	t.Cleanup(b.crash)
	return b
}

// open takes connections from a listener.
func (b *backendServer) open(listener net.Listener) {
	b.mu.Lock()
	b.listener = listener
	b.mu.Unlock()
	go acceptAll(listener, b.serve)
}

// restart crashes the server and has it back at its address after a while.
func (b *backendServer) restart(t *testing.T, down time.Duration) {
	b.life.Lock()
	defer b.life.Unlock()
	b.crash()
	time.Sleep(down)
	listener, err := net.Listen("tcp4", b.address)
	if err != nil {
		t.Error(err)
		return
	}
	b.open(listener)
}

// crash closes the listener and resets all connections.
func (b *backendServer) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// leave notes that the server is listed as leaving from now on.
func (b *backendServer) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leftAt = time.Now()
}

// row is the server's entry in the store.
func (b *backendServer) row(state string, born int64) map[string]any {
	return map[string]any{
		"address": b.address, "born": born,
		"info":   map[string]any{"service": "desk", "version": "v1", "zone": b.domain, "slots": serverSlots},
		"status": map[string]any{"state": state, "seq": 1, "coldRemaining": "0ms"},
	}
}

func (b *backendServer) serve(c net.Conn) {
	b.mu.Lock()
	b.conns[c] = struct{}{}
	b.mu.Unlock()
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		if _, err := c.Write([]byte(b.answer(&request))); err != nil {
			return
		}
	}
}

func (b *backendServer) answer(request *fasthttp.Request) string {
	id := string(request.Header.Peek("X-Bulrushferry-Request-Id"))
	if pin := string(request.Header.Peek("X-Bulrushferry-Instance-Pin")); pin != b.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected\r\nX-Bulrushferry-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id)
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		return "HTTP/1.1 503 Full\r\nX-Bulrushferry-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	b.mu.Lock()
	late := !b.leftAt.IsZero() && b.wellTime(b.leftAt, time.Now()) > leaveBound
	b.mu.Unlock()
	b.ledger.note(id, string(request.Header.Peek("X-Bulrushferry-Tenant")), len(request.Header.Peek("X-Bulrushferry-Credential")) > 0, late)
	time.Sleep(b.work)
	body := "ran " + id
	load := ""
	if !b.silent {
		load = fmt.Sprintf("X-Bulrushferry-Server-Load: %d,0,%d\r\n", len(b.slots), serverSlots)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Bulrushferry-Request-Id: %s\r\nX-Bulrushferry-Response-Signature: %s\r\n%sContent-Length: %s\r\n\r\n%s",
		id, b.id, load, strconv.Itoa(len(body)), body)
}

func (l *ledger) note(id, workspace string, key, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if key {
		l.keys++
	}
	if late {
		l.late++
	}
	if !strings.HasPrefix(id, workspace+"-") {
		l.foreign++
	}
}

// ran returns how often a request ran.
func (l *ledger) ran(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// check returns what the servers saw and must not have seen.
func (l *ledger) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys == 0 && l.late == 0 && l.foreign == 0 {
		return nil
	}
	return []string{fmt.Sprintf("servers saw %d keys, %d requests too long after they left, %d of other workspaces", l.keys, l.late, l.foreign)}
}
