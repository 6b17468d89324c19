package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// call is one request of a client and what came of it.
	call struct {
		id, path, node string
		// onKept is set if the connection had carried a request before.
		onKept bool
		sentAt time.Time
		// status is zero if no whole head came, got is the number of bytes of the body.
		status  int
		got     int64
		endedAt time.Time
		err     string
	}

	// record is the record of all calls.
	record struct {
		mu    sync.Mutex
		calls []call
	}

	// user is a client that keeps its connection for many requests.
	user struct {
		node     string
		path     string
		budget   time.Duration
		key      string
		conn     net.Conn
		reader   *bufio.Reader
		lastUsed time.Time
	}
)

func (r *record) add(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// newID returns an id for a request.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send sends a request and waits for the answer. The connection is kept if it can be.
func (u *user) send() call {
	c := call{id: newID(), path: u.path, node: u.node, onKept: u.conn != nil}
	if u.conn == nil {
		if err := u.connect(); err != nil {
			c.sentAt, c.endedAt, c.err = time.Now(), time.Now(), "connect: "+err.Error()
			return c
		}
	}
	c.sentAt = time.Now()
	_ = u.conn.SetDeadline(c.sentAt.Add(u.budget))
	err := u.exchange(&c)
	c.endedAt = time.Now()
	u.lastUsed = c.endedAt
	if err != nil {
		c.err = err.Error()
		u.close()
	}
	return c
}

func (u *user) connect() error {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.Dial("tcp4", u.node)
	if err != nil {
		return err
	}
	u.conn, u.reader = conn, bufio.NewReader(conn)
	return nil
}

func (u *user) close() {
	if u.conn != nil {
		_ = u.conn.Close()
		u.conn = nil
	}
}

func (u *user) exchange(c *call) error {
	const body = "frame=17"
	_, err := fmt.Fprintf(u.conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Bulrushferry-Request-Id: %s\r\nX-Bulrushferry-Deadline-Ms: %d\r\n"+
		"X-Bulrushferry-Credential: %s\r\nContent-Length: %d\r\n\r\n%s", u.path, c.id, u.budget.Milliseconds(), u.key, len(body), body)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(u.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	c.status = response.StatusCode
	if c.got, err = io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.Close {
		u.close()
	}
	return nil
}
