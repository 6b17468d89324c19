package steering

import (
	"testing"

	"github.com/valyala/fasthttp"
)

// TestInvalidStatusIsNotDelivered guards against a failing server whose response has no
// status, and that a caller gets as a success with the server's signature.
func TestInvalidStatusIsNotDelivered(t *testing.T) {
	for _, status := range []string{"000", "600", "700", "999", "0", "099", "199", "2000", "+200", "1e2"} {
		for _, path := range []string{"/a/x", "/b/x"} {
			t.Run(status+path, func(t *testing.T) {
				t.Parallel()
				answer := "HTTP/1.1 " + status + " Said\r\nRequest-Id: 1\r\nSignature: x\r\nContent-Length: 4\r\n\r\nbody"
				response := startInstance(t, []*scriptedServer{breakOff(t, answer, false)}).send("GET", path)
				signed := len(response.Header.Peek("Signature")) > 0
				if response.StatusCode() != fasthttp.StatusBadGateway || signed {
					t.Errorf("got %d, signed %v, body %q", response.StatusCode(), signed, response.Body())
				}
			})
		}
	}
}
