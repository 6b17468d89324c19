package socket

import "net"

// WriteBuffers writes several buffers to a connection, with one system call where that is
// possible.
func WriteBuffers(c net.Conn, buffers net.Buffers) (int64, error) {
	if w, ok := c.(interface {
		WriteBuffers(buffers net.Buffers) (int64, error)
	}); ok {
		return w.WriteBuffers(buffers)
	}
	return buffers.WriteTo(c)
}
