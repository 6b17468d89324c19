package origin

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestStatus guards against responses without a valid status that reach a caller:
// fasthttp reads 000 as 200, and 600 to 999 unchanged. Only three digits from 100 to 599 are a status.
func TestStatus(t *testing.T) {
	const fields = "Request-Id: 1\r\nSignature: x\r\nContent-Length: 4\r\n\r\nbody"
	cases := map[string]struct {
		status string
		want   int
	}{
		"zero":               {"000", 0},
		"600":                {"600", 0},
		"700":                {"700", 0},
		"999":                {"999", 0},
		"one digit":          {"0", 0},
		"099":                {"099", 0},
		"four digits":        {"2000", 0},
		"a sign":             {"+200", 0},
		"an exponent":        {"1e2", 0},
		"none":               {"", 0},
		"other digits":       {"\u0662\u0660\u0660", 0},
		"100 to 199 interim": {"199", 0},
		"the lowest":         {"200", 200},
		"the highest":        {"599", 599},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := listen(t, func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 4096)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+c.status+" Said\r\n"+fields)
				}
			})
			response, info, err := newTestPool().Do(context.Background(), server, true, testRequest("1"))
			if (err == nil) != (c.want > 0) || info.Status != c.want {
				t.Errorf("got status %d, error %v, want %d", info.Status, err, c.want)
			}
			response.Release()
		})
	}
}

// TestInvalidStatusIsNotInterim guards against a status of 0 to 99 that is skipped as an
// interim response: what follows it is not the response to the request.
func TestInvalidStatusIsNotInterim(t *testing.T) {
	for status, valid := range map[string]bool{"199": true, "103": true, "099": false, "000": false, "001": false} {
		server := serve(t, func(int, string) string {
			return "HTTP/1.1 " + status + " Early\r\nX: y\r\n\r\n" + testHead + "Content-Length: 4\r\nConnection: close\r\n\r\nbody"
		})
		response, info, err := newTestPool().Do(context.Background(), server, true, testRequest("1"))
		if (err == nil) != valid || (valid && info.Status != fasthttp.StatusOK) {
			t.Errorf("after %s: got status %d, error %v", status, info.Status, err)
		}
		response.Release()
	}
}

// TestEmptyIDNamesNoRequest guards against a response without an id that is taken to name a
// request without one.
func TestEmptyIDNamesNoRequest(t *testing.T) {
	server := serve(t, func(int, string) string {
		return "HTTP/1.1 200 OK\r\nSignature: x\r\nContent-Length: 4\r\n\r\nbody"
	})
	response, _, err := newTestPool().Do(context.Background(), server, true, testRequest(""))
	if err == nil {
		t.Error("a response that names no request was taken for the response to one without an id")
	}
	response.Release()
}
