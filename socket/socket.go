// Package socket opens TCP connections that fail soon after the peer has become
// unreachable, and checks whether idle ones can be reused.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent bytes may remain unacknowledged before the kernel closes
// the connection (TCP_USER_TIMEOUT).
const userTimeout = 1500 * time.Millisecond

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dial opens a connection that fails within seconds once the peer is unreachable.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: setUserTimeout, KeepAliveConfig: keepAlive}
	return dialer.Dial("tcp4", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// IsReusable reports whether an idle connection is open and has no bytes to read. It
// ignores deadlines set on the connection, so that one left from an earlier exchange
// does not matter.
func IsReusable(c net.Conn) bool {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(peekErr, syscall.EAGAIN)
	})
	return err == nil && reusable
}
