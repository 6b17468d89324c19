package socket

import (
	"net"
	"testing"
	"time"
)

func TestIsReusable(t *testing.T) {
	cases := map[string]struct {
		other func(net.Conn)
		// overdue is set where the deadline of the last exchange has passed.
		overdue bool
		// closed is set where this end closes it too.
		closed bool
		want   bool
	}{
		"open":              {other: func(net.Conn) {}, want: true},
		"open and overdue":  {other: func(net.Conn) {}, overdue: true, want: true},
		"closed":            {other: func(c net.Conn) { _ = c.Close() }},
		"closed at our end": {other: func(net.Conn) {}, closed: true},
		"unread bytes":      {other: func(c net.Conn) { _, _ = c.Write([]byte("x")) }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			c, err := Dial(listener.Addr().String(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			other, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = other.Close() }()
			test.other(other)
			time.Sleep(50 * time.Millisecond)
			if test.overdue {
				_ = c.SetDeadline(time.Now().Add(-time.Second))
			}
			if test.closed {
				_ = c.Close()
			}
			if got := IsReusable(c); got != test.want {
				t.Errorf("quiet: %v, want %v", got, test.want)
			}
		})
	}
}
