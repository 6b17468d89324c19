package socket

import (
	"net"
	"testing"
	"time"
)

func TestIsReusable(t *testing.T) {
	cases := map[string]struct {
		// peer acts on the peer's end of the connection.
		peer func(net.Conn)
		// deadlinePassed is set if the deadline of the last exchange has passed.
		deadlinePassed bool
		// closedLocally is set if this end closes the connection.
		closedLocally bool
		want          bool
	}{
		"open":                  {peer: func(net.Conn) {}, want: true},
		"open, deadline passed": {peer: func(net.Conn) {}, deadlinePassed: true, want: true},
		"closed by the peer":    {peer: func(c net.Conn) { _ = c.Close() }},
		"closed locally":        {peer: func(net.Conn) {}, closedLocally: true},
		"unread bytes":          {peer: func(c net.Conn) { _, _ = c.Write([]byte("x")) }},
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
			peer, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = peer.Close() }()
			test.peer(peer)
			time.Sleep(50 * time.Millisecond)
			if test.deadlinePassed {
				_ = c.SetDeadline(time.Now().Add(-time.Second))
			}
			if test.closedLocally {
				_ = c.Close()
			}
			if got := IsReusable(c); got != test.want {
				t.Errorf("reusable: %v, want %v", got, test.want)
			}
		})
	}
}
