package socket

import (
	"errors"
	"net"
	"os"
)

// TrackedConn is a connection that counts the bytes written and keeps the last read
// error, since a parser that reads from it may return an error of its own instead. It
// is not safe for concurrent use.
type TrackedConn struct {
	net.Conn
	written int64
	readErr error
}

// Track wraps a connection.
func Track(conn net.Conn) *TrackedConn {
	return &TrackedConn{Conn: conn}
}

// Read implements io.Reader.
func (c *TrackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Write implements io.Writer.
func (c *TrackedConn) Write(p []byte) (int, error) {
	c.written += int64(len(p))
	return c.Conn.Write(p)
}

// WriteBuffers writes several buffers, without copying them.
func (c *TrackedConn) WriteBuffers(buffers net.Buffers) (int64, error) {
	for _, b := range buffers {
		c.written += int64(len(b))
	}
	return buffers.WriteTo(c.Conn)
}

// BytesWritten returns the number of bytes passed to Write. As many may have reached
// the peer, even if Write failed.
func (c *TrackedConn) BytesWritten() int64 {
	return c.written
}

// IsTimeout reports whether an exchange that failed with err exceeded the connection's
// deadline.
func (c *TrackedConn) IsTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(c.readErr, os.ErrDeadlineExceeded)
}

// IsReusable reports whether the idle connection is open and has no bytes to read.
func (c *TrackedConn) IsReusable() bool {
	return IsReusable(c.Conn)
}
