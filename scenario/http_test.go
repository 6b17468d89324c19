package scenario

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// TestBadRequests sends malformed and unauthorized requests, which must be refused with
// the right status and must not reach a backend server. Three valid requests are among
// them.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "villacres")
	key := f.keys["tiendas"]
	bearer := "Authorization: Bearer " + key + "\r\n"
	host := "Host: x\r\n"
	cases := map[string]struct {
		raw  string
		want string
	}{
		"good":               {"GET /v1/s/probador/fittings/1 HTTP/1.1\r\n" + host + bearer + "\r\n", "200"},
		"two keys":           {"GET /v1/s/probador/fittings/1 HTTP/1.1\r\n" + host + bearer + bearer + "\r\n", "400"},
		"key in the query":   {"GET /v1/s/probador/fittings/1?k=" + key + " HTTP/1.1\r\n" + host + bearer + "\r\n", "400"},
		"only in the query":  {"GET /v1/s/probador/fittings/1?k=" + key + " HTTP/1.1\r\n" + host + "\r\n", "400"},
		"escaped in query":   {"GET /v1/s/probador/fittings/1?k=" + strings.Replace(key, "b", "%62", 1) + " HTTP/1.1\r\n" + host + bearer + "\r\n", "400"},
		"key in a cookie":    {"GET /v1/s/probador/fittings/1 HTTP/1.1\r\n" + host + "Cookie: k=" + key + "\r\n" + bearer + "\r\n", "400"},
		"key in a header":    {"GET /v1/s/probador/fittings/1 HTTP/1.1\r\n" + host + "X-Key: " + key + "\r\n" + bearer + "\r\n", "400"},
		"key in the body":    {fmt.Sprintf("POST /v1/s/probador/fittings/1 HTTP/1.1\r\n%s%sContent-Length: %d\r\n\r\n%s", host, bearer, len(key), key), "400"},
		"two lengths":        {"POST /v1/s/probador/fittings/1 HTTP/1.1\r\n" + host + bearer + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		"no key":             {"GET /v1/s/probador/fittings/1 HTTP/1.1\r\n" + host + "\r\n", "401"},
		"open route, no key": {"GET /v1/s/probador/status HTTP/1.1\r\n" + host + "\r\n", "200"},
		"dot segments":       {"GET /v1/s/probador/fittings/../overlay HTTP/1.1\r\n" + host + bearer + "\r\n", "400"},
		"encoded slash":      {"GET /v1/s/probador/fittings%2f1 HTTP/1.1\r\n" + host + bearer + "\r\n", "400"},
		"huge header":        {"GET /v1/s/probador/fittings/1 HTTP/1.1\r\n" + host + "X: " + strings.Repeat("x", 64<<10) + "\r\n" + bearer + "\r\n", "400"},
		"no action":          {"POST /v1/s/pedidos/hold/1 HTTP/1.1\r\n" + host + bearer + "Content-Length: 0\r\n\r\n", "400"},
		"unknown service":    {"GET /v1/s/nothing/x HTTP/1.1\r\n" + host + bearer + "\r\n", "404"},
		"bad deadline":       {"GET /v1/s/probador/fittings/1 HTTP/1.1\r\n" + host + bearer + "Deadline-Ms: soon\r\n\r\n", "400"},
		"not HTTP":           {"hello\r\n\r\n", "400"},
		"forged workspace":   {"GET /v1/s/probador/fittings/1 HTTP/1.1\r\n" + host + bearer + "Bulrushferry-Workspace: feria\r\n\r\n", "200"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status := f.sendRaw(t, "sierra-1", c.raw)
			if !strings.HasPrefix(status, "HTTP/1.1 "+c.want) {
				t.Errorf("got %q, want %s", status, c.want)
			}
		})
	}
	report := f.standinReport()
	if report.GetRuns() != 3 || report.GetKeysSeen() != 0 {
		t.Errorf("%d requests ran, want 3; %d with an API key, want 0", report.GetRuns(), report.GetKeysSeen())
	}
	if len(report.GetRunTimes()["feria"].GetAtMs()) > 0 {
		t.Error("a caller chose its own workspace with a header")
	}
}

// sendRaw sends bytes to an instance and returns the status line of the response.
func (f *fleet) sendRaw(t *testing.T, instance, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", f.settings[instance].GetCallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	go func() { _, _ = c.Write([]byte(text)) }()
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return line
}
