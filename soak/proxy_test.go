package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

type (
	// proxyMode is how a proxy treats the connections through it.
	proxyMode int

	// proxy forwards connections from an instance to the store and injects network
	// faults.
	proxy struct {
		// mu guards the fields below.
		mu     sync.Mutex
		target string
		mode   proxyMode
		conns  map[net.Conn]struct{}
	}
)

const (
	forwarding proxyMode = iota
	// blackhole keeps connections open and holds back all data until the mode changes.
	blackhole
	// droppingResponses forwards requests and discards responses.
	droppingResponses
	// resetting resets open and new connections.
	resetting
)

// startProxy starts a proxy to a target that runs until the test ends.
func startProxy(t *testing.T, target string) (*proxy, string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{target: target, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		_ = listener.Close()
		p.setMode(resetting)
	})
	go acceptAll(listener, p.serveConn)
	return p, listener.Addr().String()
}

// setMode changes the mode for open and new connections.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != resetting {
		return
	}
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// setTarget resets all connections and forwards new ones to another target.
func (p *proxy) setTarget(target string) {
	p.setMode(resetting)
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.setMode(forwarding)
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) serveConn(c net.Conn) {
	p.mu.Lock()
	p.conns[c] = struct{}{}
	reset, target := p.mode == resetting, p.target
	p.mu.Unlock()
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	upstream, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	go p.forward(upstream, c, false)
	p.forward(c, upstream, true)
}

// forward copies data as far as the mode allows. When reading fails, it closes the
// destination.
func (p *proxy) forward(to, from net.Conn, responses bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		for p.currentMode() == blackhole {
			time.Sleep(20 * time.Millisecond)
		}
		if p.currentMode() == droppingResponses && responses {
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
