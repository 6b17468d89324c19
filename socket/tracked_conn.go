package socket

import (
	"errors"
	"net"
	"os"
)

// TrackedConn is a connection that remembers what became of its reads and writes,
// for a parser may replace the connection's error by its own. It is not safe for
// concurrent use.
type TrackedConn struct {
	net.Conn
	sent    int64
	readErr error
}

// Track returns a watched connection.
func Track(c net.Conn) *TrackedConn {
	return &TrackedConn{Conn: c}
}

// Read implements io.Reader.
func (w *TrackedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if err != nil {
		w.readErr = err
	}
	return n, err
}

// Write implements io.Writer.
func (w *TrackedConn) Write(p []byte) (int, error) {
	w.sent += int64(len(p))
	return w.Conn.Write(p)
}

// BytesWritten returns the number of bytes that may have reached the other end.
func (w *TrackedConn) BytesWritten() int64 {
	return w.sent
}

// IsTimeout reports whether an exchange that ended with an error ran into the
// connection's deadline.
func (w *TrackedConn) IsTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(w.readErr, os.ErrDeadlineExceeded)
}

// IsReusable reports whether the idle connection looks open.
func (w *TrackedConn) IsReusable() bool {
	return IsReusable(w.Conn)
}
