package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// BenchmarkRequest measures what a request on a kept connection costs, with the client in the
// same process.
func BenchmarkRequest(b *testing.B) {
	cases := map[string]string{
		"no body":     plainRequest,
		"body 1 KiB":  "POST /a/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1<<10),
		"body 64 KiB": "POST /a/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 64<<10),
		"body 1 MiB":  "POST /a/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat("x", 1<<20),
	}
	for name, text := range cases {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			s := NewServer(ServerConfig{
				Handler: handlerFunc(func(_ context.Context, x *Exchange) { x.Respond(bodyResponse("answer"), nil) }),
				Log:     hclog.NewNullLogger(), Limits: func() routing.Limits { return routing.Limits{MaxBodyBytes: 2 << 20} },
			})
			go func() { _ = s.Serve(listener) }()
			c, err := net.Dial("tcp4", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, text); err != nil {
					b.Fatal(err)
				}
				var response fasthttp.Response
				if err := response.Read(reader); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
