package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// slowConn is a client's connection on which little is read at a time, with a pause after each
// read.
type slowConn struct {
	net.Conn
	pause time.Duration
}

const (
	// readBytes and readPause have the slow clients read 450 KB a second.
	readBytes = 45 << 10
	readPause = 100 * time.Millisecond
	// slowDeadline is their time budget.
	slowDeadline = 25 * time.Second
)

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.Conn.Read(p[:min(len(p), readBytes)])
}

// slowReader has clients read answers of 10 MB at 450 KB a second, just after a SIGHUP, which is
// planned work around which no answer may be cut.
func slowReader(w *world, l *load, trouble bool) (outcome, error) {
	w.timeout = slowDeadline
	w.store.put("op", "", "config", w.config(7, w.route("desk", "/desk/", "desk"), service("desk")))
	for i := range 6 {
		if _, err := startTarget(w, fmt.Sprintf("i-desk-%d", i), "desk", zoneNames[i%3]); err != nil {
			return outcome{}, err
		}
	}
	if err := w.startAll(); err != nil {
		return outcome{}, err
	}
	l.paths = []string{"/desk/"}
	l.during(func() {
		for _, n := range w.nodes {
			_ = n.cmd.Process.Signal(syscall.SIGHUP)
		}
		time.Sleep(time.Second)
		var group sync.WaitGroup
		for i := range 6 {
			pause := time.Duration(0)
			if trouble {
				pause = readPause
			}
			group.Go(func() { l.readSlowly(w.nodes[i%len(w.nodes)], i, pause) })
		}
		group.Wait()
	})
	result := outcome{lines: []string{"all nodes get SIGHUP; 1 s later 6 clients send, on connections that they have used before, a request whose answer has 10 MB; with trouble they read 450 KB a second; their time budget is 25 s"}}
	ran := make(map[string]string)
	for _, r := range w.runs.all() {
		ran[r.id] = r.target
	}
	for _, a := range l.attempts {
		took := a.endedAt.Sub(a.at)
		if strings.Contains(a.path, bigMark) && a.error != "" && ran[a.id] != "" && took < slowDeadline {
			result.broken = append(result.broken, fmt.Sprintf("LOST: request %s was run by %s, and its connection ended %.3f s after it was sent, within its time budget, without a complete answer: %s",
				a.id, ran[a.id], took.Seconds(), a.error))
		}
	}
	return result, nil
}

// readSlowly sends two requests on one connection: one with a small answer, and one with a big
// answer, which is read with a pause after each read.
func (l *load) readSlowly(n *node, number int, pause time.Duration) {
	raw, err := net.Dial("tcp4", n.front())
	if err != nil {
		return
	}
	defer func() { _ = raw.Close() }()
	_ = raw.(*net.TCPConn).SetReadBuffer(64 << 10)
	_ = raw.SetDeadline(time.Now().Add(slowDeadline + time.Second))
	conn := &slowConn{Conn: raw}
	reader := bufio.NewReaderSize(conn, readBytes)
	for i, path := range []string{"/desk/small-", "/desk" + bigMark} {
		a := attempt{at: time.Now(), id: fmt.Sprintf("slow%d-%d", number, i), node: n.name, path: fmt.Sprint(path, number)}
		_, _ = fmt.Fprintf(raw, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Bulrushferry-Request-Id: %s\r\nX-Bulrushferry-Credential: %s\r\nX-Bulrushferry-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
			a.path, host, a.id, apiKey, slowDeadline.Milliseconds())
		a.status, a.signature, a.error = readAnswer(reader)
		a.endedAt = time.Now()
		l.mu.Lock()
		l.attempts = append(l.attempts, a)
		l.mu.Unlock()
		conn.pause = pause
	}
}

// readAnswer reads a whole answer.
func readAnswer(reader *bufio.Reader) (status int, signature, problem string) {
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err.Error()
	}
	status, signature = answer.StatusCode, answer.Header.Get("X-Bulrushferry-Response-Signature")
	if n, err := io.Copy(io.Discard, answer.Body); err != nil {
		problem = fmt.Sprintf("%s after %d of %d bytes", err, n, answer.ContentLength)
	}
	return status, signature, problem
}
