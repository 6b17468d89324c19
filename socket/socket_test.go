package socket

import (
	"net"
	"testing"
	"time"
)

func TestIsQuiet(t *testing.T) {
	cases := map[string]struct {
		other func(net.Conn)
		want  bool
	}{
		"open":         {func(net.Conn) {}, true},
		"closed":       {func(c net.Conn) { _ = c.Close() }, false},
		"unread bytes": {func(c net.Conn) { _, _ = c.Write([]byte("x")) }, false},
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
			if got := IsQuiet(c); got != test.want {
				t.Errorf("quiet: %v, want %v", got, test.want)
			}
		})
	}
}
