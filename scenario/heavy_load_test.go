package scenario

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/rules"
)

const (
	// entryMemoryMB is the memory limit of an entry instance whose settings state none.
	entryMemoryMB = 512
	heavyClients  = 96
	// heavyBodyBytes is the largest body of a request at both ports.
	heavyBodyBytes = 2 * rules.MaxFileBytes
	missingBytes   = 1 << 10
	reservedFDs    = 200
	sendTimeout    = 10 * time.Second
	ordinaryTries  = 40
)

// TestHeavyLoad guards against untrusted clients, at the ports for callers and
// operators. A crowd of them sends bodies of nearly the largest legal size, in one piece, in
// large or in small chunks, stops just short of their end and stays connected. The process
// must live and stay within its memory and descriptors, and an ordinary request must be
// answered while the crowd is connected.
func TestHeavyLoad(t *testing.T) {
	f := newFleet(t, "villacres")
	cases := map[string]struct {
		instance string
		address  string
		request  string
		path     string
	}{
		"callers":   {instance: "sierra-1", address: f.settings["sierra-1"].GetCallerAddress(), request: "POST /v1/s/probador/fittings/1", path: "/v1/s/probador/status"},
		"operators": {instance: "costa-1", address: f.settings["costa-1"].GetOperatorAddress(), request: "POST /operator/change", path: "/healthz"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pid := f.processes[c.instance].Process.Pid
			var group sync.WaitGroup
			for number := range heavyClients {
				conn, err := net.DialTimeout("tcp4", c.address, sendTimeout)
				if err != nil {
					continue
				}
				t.Cleanup(func() { _ = conn.Close() })
				_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
				group.Go(func() { sendHeavily(conn, number, c.request+" HTTP/1.1\r\nHost: x\r\n") })
			}
			group.Wait()
			if !isAnswered(t, c.address, "GET "+c.path+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") {
				t.Errorf("no ordinary request for %s was answered", c.path)
			}
			status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
			kilobytes := numberAfter(string(status), "VmHWM:")
			limits, _ := os.ReadFile(fmt.Sprintf("/proc/%d/limits", pid))
			maxFDs := numberAfter(string(limits), "Max open files")
			descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			t.Logf("memory %d MiB at most, %d descriptors", kilobytes>>10, len(descriptors))
			if kilobytes == 0 {
				t.Error("the process has ended")
			}
			if kilobytes > entryMemoryMB<<10 {
				t.Errorf("the process held %d MiB, more than its limit of %d", kilobytes>>10, entryMemoryMB)
			}
			if len(descriptors) > maxFDs-reservedFDs {
				t.Errorf("the process has %d descriptors open, more than its limit of %d less %d for files", len(descriptors), maxFDs, reservedFDs)
			}
		})
	}
}

// sendHeavily sends a request with a body that lacks its end.
func sendHeavily(w io.Writer, number int, head string) {
	body := strings.Repeat("x", heavyBodyBytes-missingBytes)
	switch number % 3 {
	case 0:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", heavyBodyBytes)
	case 1:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		body = strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 32<<10, body[:32<<10]), (heavyBodyBytes-missingBytes)/(32<<10))
	default:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		body = strings.Repeat("10\r\n"+body[:16]+"\r\n", heavyBodyBytes/8/16)
	}
	if _, err := io.WriteString(w, head); err == nil {
		_, _ = io.WriteString(w, body)
	}
}

// isAnswered sends a request, again after a refusal, and reports whether it was answered
// with 200.
func isAnswered(t *testing.T, address, request string) bool {
	t.Helper()
	for range ordinaryTries {
		answer, err := exchangeRaw(address, request)
		if strings.HasPrefix(answer, "HTTP/1.1 200 ") {
			return true
		}
		t.Logf("ordinary request: %.40q, %v", answer, err)
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// exchangeRaw sends a request on a connection of its own and returns all that comes back.
func exchangeRaw(address, request string) (string, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// numberAfter returns the first number after a text, or zero.
func numberAfter(text, label string) int {
	_, after, _ := strings.Cut(text, label)
	number := 0
	_, _ = fmt.Sscan(after, &number)
	return number
}
