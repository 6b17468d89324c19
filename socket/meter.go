package socket

import (
	"net"
	"sync"
	"sync/atomic"
)

type (
	// Meter counts the connections that a listener has accepted and that are open, and the
	// bytes read and written on them. It is safe for concurrent use.
	Meter struct {
		open, bytes atomic.Int64
	}

	// meteredListener counts the connections that it accepts.
	meteredListener struct {
		net.Listener
		meter *Meter
	}

	// meteredConn embeds the TCP connection, so that it can still be closed for writing.
	meteredConn struct {
		*net.TCPConn
		meter  *Meter
		closed sync.Once
	}
)

// Open returns the number of open connections.
func (m *Meter) Open() int {
	return int(m.open.Load())
}

// Bytes returns how many bytes were read and written.
func (m *Meter) Bytes() int64 {
	return m.bytes.Load()
}

// Listen returns a listener whose TCP connections are counted.
func (m *Meter) Listen(listener net.Listener) net.Listener {
	return &meteredListener{Listener: listener, meter: m}
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	l.meter.open.Add(1)
	return &meteredConn{TCPConn: tcp, meter: l.meter}, nil
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// WriteBuffers writes several buffers at once. net.Buffers would write them to the embedded
// connection, where they are not counted.
func (c *meteredConn) WriteBuffers(buffers net.Buffers) (int64, error) {
	n, err := buffers.WriteTo(c.TCPConn)
	c.meter.bytes.Add(n)
	return n, err
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	c.closed.Do(func() { c.meter.open.Add(-1) })
	return c.TCPConn.Close()
}
