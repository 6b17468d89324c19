package socket

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestMeter checks that open connections and their bytes are counted, also if a connection
// is closed twice, and that a connection can still be closed for writing.
func TestMeter(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	meter := &Meter{}
	metered := meter.Listen(listener)
	peer, err := Dial(listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	c, err := metered.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Write([]byte("four")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	if _, err := WriteBuffers(c, net.Buffers{[]byte("head"), []byte("body")}); err != nil {
		t.Fatal(err)
	}
	if err := c.(interface{ CloseWrite() error }).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if meter.Open() != 1 || meter.Bytes() != 18 {
		t.Errorf("got %d open connections and %d bytes, want 1 and 18", meter.Open(), meter.Bytes())
	}
	_ = c.Close()
	_ = c.Close()
	if meter.Open() != 0 {
		t.Errorf("got %d open connections after the close, want none", meter.Open())
	}
}
