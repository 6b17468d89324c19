// Package socket opens TCP connections that notice a silent other end, and looks
// at the state of idle ones.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent bytes may stay without acknowledgement.
const userTimeout = 1500 * time.Millisecond

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dial opens a connection that notices within seconds when the other end is gone.
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

// IsReusable reports whether an idle connection looks open: nothing can be read
// from it, not even its end. Deadlines of earlier exchanges don't count.
func IsReusable(c net.Conn) bool {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
	})
	return err == nil && quiet
}
