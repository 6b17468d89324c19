package responsetest

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

type (
	// EndlessServer is a server that answers with one beginning and then one piece again and
	// again until the client closes, as often as it is told to.
	EndlessServer struct {
		Address string
		endless atomic.Pointer[endless]
		// begun counts the answers without end.
		begun atomic.Int64
	}

	endless struct {
		begin, piece string
	}

	// HeapWatch samples the heap in use.
	HeapWatch struct {
		stop chan struct{}
		peak chan uint64
		// before is the heap in use at the beginning.
		before uint64
	}
)

const (
	// maxEndlessBytes is how much of an endless answer is sent on a connection. A client that
	// keeps it all is seen before it takes the machine's memory.
	maxEndlessBytes = 256 << 20
	sampleInterval  = 2 * time.Millisecond
)

// Endless names the answers of an EndlessServer.
var Endless = map[string]endless{
	"status line":            {begin: "HTTP/1.1 200 ", piece: strings.Repeat("x", 1000)},
	"fields":                 {begin: "HTTP/1.1 200 OK\r\n", piece: "X-Again: " + strings.Repeat("y", 100) + "\r\n"},
	"a field":                {begin: "HTTP/1.1 200 OK\r\nX-Again: ", piece: strings.Repeat("y", 1000)},
	"interim answers":        {piece: "HTTP/1.1 103 Early\r\nX: y\r\n\r\n"},
	"empty lines":            {piece: strings.Repeat("\r\n", 500)},
	"no answer":              {piece: "\x00\xff\x17"},
	"a body until the close": {begin: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", piece: strings.Repeat(" ", 64<<10)},
	"a length":               {begin: "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n", piece: strings.Repeat(" ", 64<<10)},
	"a length of 60 MB":      {begin: "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", piece: strings.Repeat(" ", 64<<10)},
	"no possible length":     {begin: "HTTP/1.1 200 OK\r\nContent-Length: 999999999999999999\r\n\r\n", piece: strings.Repeat(" ", 64<<10)},
	"chunks":                 {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "10000\r\n" + strings.Repeat(" ", 64<<10) + "\r\n"},
	"a chunk":                {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n", piece: strings.Repeat(" ", 64<<10)},
	"a chunk's extension":    {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", piece: strings.Repeat("e", 1000)},
	"a trailer":              {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", piece: "X-Again: " + strings.Repeat("t", 100) + "\r\n"},
}

// ServeEndless starts a server that answers in full with a body until Start is called.
func ServeEndless(t *testing.T, body string) *EndlessServer {
	t.Helper()
	full := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	s := &EndlessServer{}
	s.Address = serve(t, func(c net.Conn) bool {
		if answer := s.endless.Load(); answer != nil {
			s.begun.Add(1)
			answer.send(c)
			return false
		}
		_, err := io.WriteString(c, full)
		return err == nil
	})
	return s
}

// Start has the server answer without end, in the way that Endless names.
func (s *EndlessServer) Start(name string) {
	answer := Endless[name]
	s.endless.Store(&answer)
}

// Stop has the server answer in full again.
func (s *EndlessServer) Stop() {
	s.endless.Store(nil)
}

// Begun returns how many answers without end the server has begun.
func (s *EndlessServer) Begun() int {
	return int(s.begun.Load())
}

// send sends the answer until the client closes.
func (e endless) send(c net.Conn) {
	_, err := io.WriteString(c, e.begin)
	for sent := 0; err == nil && sent < maxEndlessBytes; sent += len(e.piece) {
		_, err = io.WriteString(c, e.piece)
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// WatchHeap starts to sample the heap in use.
func WatchHeap() *HeapWatch {
	runtime.GC()
	w := &HeapWatch{stop: make(chan struct{}), peak: make(chan uint64, 1), before: heapInUse()}
	go w.sample()
	return w
}

// Stop returns by how many bytes the heap in use has grown at most.
func (w *HeapWatch) Stop() int64 {
	close(w.stop)
	return int64(<-w.peak) - int64(w.before)
}

func (w *HeapWatch) sample() {
	largest := w.before
	for {
		select {
		case <-w.stop:
			w.peak <- max(largest, heapInUse())
			return
		case <-time.After(sampleInterval):
			largest = max(largest, heapInUse())
		}
	}
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}
