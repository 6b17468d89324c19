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
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// HasUnread reports whether bytes have arrived on a connection that have not been read.
func HasUnread(c net.Conn) bool {
	count, err := peek(c)
	return err == nil && count > 0
}

// Unsent returns how many bytes written to a connection its peer has not acknowledged, or zero if
// that is not known.
func Unsent(c net.Conn) int {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	_ = raw.Control(func(fd uintptr) {
		if count, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unsent = count
		}
	})
	return unsent
}

// peek returns how many bytes can be read at once, of one, or why none can.
func peek(c net.Conn) (count int, err error) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var buffer [1]byte
		count, _, err = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return count, err
}
