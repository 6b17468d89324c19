package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

type (
	// crowd is a number of untrusted clients, and what each of them sends.
	crowd struct {
		clients int
		// send sends what the client with a number sends. The connection stays open after
		// it returns, whether or not it fails.
		send func(c net.Conn, number int) error
	}

	// processWatch records the most descriptors that a process has had open.
	processWatch struct {
		pid            int
		mu             sync.Mutex
		maxDescriptors int
	}
)

const (
	// heavyMemoryMB and heavyMaxFDs are the limits that the settings state. A platform
	// kills a process whose resident memory exceeds the first, and 200 of the descriptors
	// are reserved for files.
	heavyMemoryMB     = 136
	heavyMaxFDs       = 512
	reservedFDs       = 200
	heavyBodyBytes    = 16 << 20
	heavyBodies       = 24
	idleClients       = 400
	pipelinedBodies   = 16
	missingBytes      = 1 << 10
	endpointBodyBytes = 4 << 20
	// sendTimeout bounds how long a client tries to send.
	sendTimeout = 10 * time.Second
	// ordinaryTries bounds how often an ordinary caller tries again after a refusal.
	ordinaryTries = 40
)

// heavyHead returns the head of a POST request with more header fields.
func heavyHead(id string, fields ...string) string {
	head := "POST /safe/" + id + " HTTP/1.1\r\nHost: a.example\r\nX-Bulrushferry-Request-Id: big-" + id +
		"\r\nX-Bulrushferry-Deadline-Ms: 5000\r\nX-Bulrushferry-Credential: key-big\r\n"
	return head + strings.Join(append(fields, ""), "\r\n") + "\r\n"
}

// writeParts writes a number of bytes in parts of a size, each repeated from the same part.
func writeParts(w io.Writer, total int, part []byte) error {
	for sent := 0; sent < total; {
		n, err := w.Write(part[:min(len(part), total-sent)])
		if err != nil {
			return err
		}
		sent += n
	}
	return nil
}

// chunks returns whole chunks of a size that hold a number of bytes together.
func chunks(total, size int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), total/size)
}

// sendLargeBody sends a body of the largest legal size, even numbers in one piece and odd
// ones in small pieces. Three clients of four stop just short of its end.
func sendLargeBody(c net.Conn, number int) error {
	if _, err := io.WriteString(c, heavyHead(strconv.Itoa(number), fmt.Sprint("Content-Length: ", heavyBodyBytes))); err != nil {
		return err
	}
	total := heavyBodyBytes
	if number%4 != 0 {
		total -= missingBytes
	}
	part := make([]byte, total)
	if number%2 == 1 {
		part = part[:16<<10]
	}
	return writeParts(c, total, part)
}

// sendChunkedBody sends a chunked body of legal size, a third of them in large chunks and the
// others in very small ones. Three clients of four leave the last chunk out.
func sendChunkedBody(c net.Conn, number int) error {
	body := chunks(4<<20, 16)
	if number%3 == 0 {
		body = chunks(heavyBodyBytes-missingBytes, 1<<10)
	}
	if number%4 == 0 {
		body += "0\r\n\r\n"
	}
	_, err := io.WriteString(c, heavyHead(strconv.Itoa(number), "Transfer-Encoding: chunked")+body)
	return err
}

// sendExcessiveBody sends four times what a body may have, in chunks, or announces more than
// that and sends it.
func sendExcessiveBody(c net.Conn, number int) error {
	const total = 4 * heavyBodyBytes
	if number%2 == 0 {
		if _, err := io.WriteString(c, heavyHead(strconv.Itoa(number), "Content-Length: 1073741824")); err != nil {
			return err
		}
		return writeParts(c, total, make([]byte, 64<<10))
	}
	if _, err := io.WriteString(c, heavyHead(strconv.Itoa(number), "Transfer-Encoding: chunked")); err != nil {
		return err
	}
	part := []byte(chunks(64<<10, 64<<10))
	return writeParts(c, total/(64<<10)*len(part), part)
}

// sendUnread sends several requests and reads none of the responses.
func sendUnread(c net.Conn, number int) error {
	for n := range 12 {
		if _, err := io.WriteString(c, heavyHead(fmt.Sprint(number, "-", n), "Content-Length: 4")+"body"); err != nil {
			return err
		}
	}
	return nil
}

// sendPipelined sends several requests with whole bodies, which are legal together with the
// limit on one body, and reads none of the responses.
func sendPipelined(c net.Conn, number int) error {
	for n := range pipelinedBodies {
		if _, err := io.WriteString(c, heavyHead(fmt.Sprint(number, "-", n), fmt.Sprint("Content-Length: ", heavyBodyBytes/pipelinedBodies))); err != nil {
			return err
		}
		if err := writeParts(c, heavyBodyBytes/pipelinedBodies, make([]byte, 64<<10)); err != nil {
			return err
		}
	}
	return nil
}

// sendWholeBody sends a request with a whole body of the largest legal size.
func sendWholeBody(c net.Conn, number int) error {
	if _, err := io.WriteString(c, heavyHead(strconv.Itoa(number), fmt.Sprint("Content-Length: ", heavyBodyBytes))); err != nil {
		return err
	}
	return writeParts(c, heavyBodyBytes, make([]byte, 64<<10))
}

// sendLittle sends nothing, half a head, or a whole small request.
func sendLittle(c net.Conn, number int) error {
	head := heavyHead(strconv.Itoa(number), "Content-Length: 0")
	_, err := io.WriteString(c, head[:len(head)*(number%3)/2])
	return err
}

// sendToEndpoint sends large bodies to a port that expects none, and opens many more
// connections that send little or nothing.
func sendToEndpoint(c net.Conn, number int) error {
	if number >= 2*heavyBodies {
		return sendLittle(c, number)
	}
	head := fmt.Sprintf("GET /-/resolve HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n", endpointBodyBytes)
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	return writeParts(c, endpointBodyBytes-missingBytes, make([]byte, 64<<10))
}

// start connects all clients and lets them send. It returns once each of them has sent all
// that it could. The connections stay open until the test ends.
func (c crowd) start(t *testing.T, address string) {
	t.Helper()
	var group sync.WaitGroup
	for number := range c.clients {
		conn, err := net.DialTimeout("tcp4", address, sendTimeout)
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		group.Go(func() { _ = c.send(conn, number) })
	}
	group.Wait()
}

// watch records the descriptors of the process until the test ends.
func (w *processWatch) watch(done <-chan struct{}) {
	for {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))
		w.mu.Lock()
		w.maxDescriptors = max(w.maxDescriptors, len(entries))
		w.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// peakMemoryMB returns the largest resident memory that a process has had, in MiB rounded up.
// It is zero if the process has ended.
func peakMemoryMB(pid int) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, after, _ := strings.Cut(string(raw), "VmHWM:")
	var kilobytes int
	_, _ = fmt.Sscan(after, &kilobytes)
	return (kilobytes + 1<<10 - 1) >> 10
}

// askOrdinary sends a small request, again after a refusal, and reports whether it was
// answered.
func (in *instance) askOrdinary(t *testing.T) bool {
	t.Helper()
	for try := range ordinaryTries {
		status, err := in.sendOrdinary(try)
		if err == nil && status == fasthttp.StatusOK {
			return true
		}
		t.Logf("ordinary request: status %d, %v", status, err)
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

func (in *instance) sendOrdinary(try int) (int, error) {
	conn, err := net.DialTimeout("tcp4", in.callerAddress, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(conn, heavyHead(fmt.Sprint("ordinary-", try), "Content-Length: 4")+"body"); err != nil {
		return 0, err
	}
	var response fasthttp.Response
	err = response.Read(bufio.NewReader(conn))
	return response.StatusCode(), err
}

// askEndpoint reports whether a port answers a GET request with 200.
func askEndpoint(t *testing.T, url string) bool {
	t.Helper()
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range ordinaryTries {
		response, err := client.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// TestHeavyLoad guards against untrusted clients: a crowd of them must not end
// the process, take it over the memory or the descriptors that its settings state, or keep
// an ordinary request from being answered while the crowd stays connected.
func TestHeavyLoad(t *testing.T) {
	everywhere := func(in *instance) string { return in.callerAddress }
	cases := map[string]struct {
		crowd crowd
		// address is where the crowd connects; path is what an ordinary client asks for
		// there, if it is not the port for callers.
		address func(in *instance) string
		path    string
		// responseBytes is the size of the servers' responses.
		responseBytes int
		// deafServers is how many of the four servers read nothing.
		deafServers int
		// loweredFrom is the memory limit with which the process starts, if it is
		// lowered before the crowd comes.
		loweredFrom int
	}{
		"large bodies":          {crowd: crowd{heavyBodies, sendLargeBody}, address: everywhere},
		"lowered memory limit":  {crowd: crowd{heavyBodies, sendLargeBody}, address: everywhere, loweredFrom: 536},
		"chunked bodies":        {crowd: crowd{heavyBodies, sendChunkedBody}, address: everywhere},
		"bodies over the limit": {crowd: crowd{heavyBodies, sendExcessiveBody}, address: everywhere},
		"callers never read":    {crowd: crowd{3 * heavyBodies, sendUnread}, address: everywhere, responseBytes: 512 << 10},
		"pipelined bodies":      {crowd: crowd{heavyBodies, sendPipelined}, address: everywhere, deafServers: 2},
		"servers never read":    {crowd: crowd{heavyBodies, sendWholeBody}, address: everywhere, deafServers: 2},
		"idle connections":      {crowd: crowd{idleClients, sendLittle}, address: everywhere},
		"lookup port": {
			crowd: crowd{idleClients, sendToEndpoint}, path: "/-/resolve?name=a.example&region=one&zone=only",
			address: func(in *instance) string { return in.lookupAddress },
		},
		"readiness port": {
			crowd: crowd{idleClients, sendToEndpoint}, path: "/-/ready",
			address: func(in *instance) string { return in.readyAddress },
		},
		"metrics port": {
			crowd: crowd{idleClients, sendToEndpoint}, path: "/metrics",
			address: func(in *instance) string { return in.metricsAddress },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, deployment{
				domains: []domain{{"only", "one"}}, instances: 1, servers: 4, timeout: 5 * time.Second,
				memoryMB: max(heavyMemoryMB, c.loweredFrom), maxFDs: heavyMaxFDs, maxBodyBytes: heavyBodyBytes,
				responseBytes: c.responseBytes, deafServers: c.deafServers,
			})
			in := f.instances[0]
			if c.loweredFrom > 0 {
				in.lowerMemory(t, c.loweredFrom)
			}
			watch := &processWatch{pid: in.pid()}
			done := make(chan struct{})
			var group sync.WaitGroup
			group.Go(func() { watch.watch(done) })
			c.crowd.start(t, c.address(in))
			if !in.askOrdinary(t) {
				t.Error("no ordinary request was answered")
			}
			if c.path != "" && !askEndpoint(t, "http://"+c.address(in)+c.path) {
				t.Errorf("no ordinary request for %s was answered", c.path)
			}
			close(done)
			group.Wait()
			memory := peakMemoryMB(watch.pid)
			t.Logf("memory %d MiB, descriptors %d at most", memory, watch.maxDescriptors)
			if ended := f.endedInstances(); len(ended) > 0 {
				t.Errorf("%v ended by themselves", ended)
			}
			if memory > heavyMemoryMB {
				t.Errorf("the process held %d MiB, more than its limit of %d", memory, heavyMemoryMB)
			}
			if watch.maxDescriptors > heavyMaxFDs-reservedFDs {
				t.Errorf("the process had %d descriptors open, more than its limit of %d less %d for files", watch.maxDescriptors, heavyMaxFDs, reservedFDs)
			}
			if t.Failed() {
				f.logTails()
			}
		})
	}
}

// lowerMemory lowers the memory limit in the settings to heavyMemoryMB and waits until it
// is in force.
func (in *instance) lowerMemory(t *testing.T, from int) {
	t.Helper()
	in.replaceInSettings(t, fmt.Sprintf(`"memoryMb":%d`, from), fmt.Sprintf(`"memoryMb":%d`, heavyMemoryMB))
	in.signal(syscall.SIGHUP)
	if !in.waitForLog(fmt.Sprintf(`"memory_mb":%d`, heavyMemoryMB), 5*time.Second) {
		t.Fatalf("%s has not taken the memory limit", filepath.Base(in.settingsFile))
	}
}
