package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

type (
	// mode is what a proxy does to the connections through it.
	mode int

	// proxy stands between an instance and the store and breaks the path.
	proxy struct {
		target string

		mu    sync.Mutex
		mode  mode
		conns map[net.Conn]struct{}
	}
)

const (
	passing mode = iota
	// silent keeps connections open and passes nothing.
	silent
	// oneWay passes calls and loses the answers.
	oneWay
	// refusing resets connections.
	refusing
)

// startProxy opens a proxy to a target until the test ends.
func startProxy(t *testing.T, target string) (*proxy, string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{target: target, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		_ = listener.Close()
		p.set(refusing)
	})
	go acceptAll(listener, p.serve)
	return p, listener.Addr().String()
}

// set changes what becomes of connections, open ones too.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != refusing {
		return
	}
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) serve(c net.Conn) {
	p.mu.Lock()
	p.conns[c] = struct{}{}
	refuse := p.mode == refusing
	p.mu.Unlock()
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	if refuse {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	upstream, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	go p.pass(upstream, c, false)
	p.pass(c, upstream, true)
}

// pass copies bytes as the mode allows.
func (p *proxy) pass(to, from net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		for p.current() == silent {
			time.Sleep(20 * time.Millisecond)
		}
		if p.current() == oneWay && answers {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_, _ = io.Copy(io.Discard, from)
			return
		}
	}
}

// acceptAll serves the connections of a listener until it is closed.
func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}
