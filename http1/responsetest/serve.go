package responsetest

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// InvalidHeads are the status line, and maybe a field, of invalid responses.
var InvalidHeads = map[string]string{
	"status 000":                "HTTP/1.1 000 Said\r\n",
	"status 099":                "HTTP/1.1 099 Said\r\n",
	"status 600":                "HTTP/1.1 600 Said\r\n",
	"status 999":                "HTTP/1.1 999 Said\r\n",
	"a control byte said":       "HTTP/1.1 200 Sa\x00id\r\n",
	"another version":           "HTTP/2.0 200 OK\r\n",
	"a blank in a name":         "HTTP/1.1 200 OK\r\nX Extra: 1\r\n",
	"a blank after a name":      "HTTP/1.1 200 OK\r\nX-Extra : 1\r\n",
	"a control byte in one":     "HTTP/1.1 200 OK\r\nX-E\x01xtra: 1\r\n",
	"a carriage return":         "HTTP/1.1 200 OK\r\nX-E\rxtra: 1\r\n",
	"no name":                   "HTTP/1.1 200 OK\r\n: 1\r\n",
	"a control byte in a value": "HTTP/1.1 200 OK\r\nX-Extra: \x00\r\n",
}

// ServeRaw starts a server that answers each request with the same bytes and closes. It returns
// its address.
func ServeRaw(t *testing.T, raw string) string {
	t.Helper()
	return serve(t, func(c net.Conn) bool {
		_, _ = io.WriteString(c, raw)
		return false
	})
}

// serve starts a server that calls a function after each request, and goes on with the
// connection as long as that returns true. It returns the server's address.
func serve(t *testing.T, answer func(c net.Conn) bool) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(c, answer)
		}
	}()
	return listener.Addr().String()
}

func serveConn(c net.Conn, answer func(c net.Conn) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request := &fasthttp.Request{}
		if request.Read(reader) != nil || !answer(c) {
			return
		}
	}
}
