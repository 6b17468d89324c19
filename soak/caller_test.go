package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

type (
	// callers send requests, on kept and on new connections, and record what
	// became of each.
	callers struct {
		f *fleet

		mu      sync.Mutex
		results []result
		// withdrawn is when the key of a workspace was withdrawn.
		withdrawn map[string]time.Time
	}

	result struct {
		id     string
		unsafe bool
		sentAt time.Time
		// status is zero where the connection ended without an answer.
		status int
		body   string
	}
)

const (
	callerCount = 24
	callPause   = 25 * time.Millisecond
	deadline    = 1500 * time.Millisecond
	keepCalls   = 20
)

// run sends requests until the context ends.
func (c *callers) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { c.one(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	group.Wait()
}

// one is a caller: it looks up where to connect, and uses a connection for some
// requests.
func (c *callers) one(ctx context.Context, n int, random *rand.Rand) {
	workspace := workspaces[n%len(workspaces)]
	for round := 0; ctx.Err() == nil; round++ {
		address := c.lookUp(random)
		if address == "" {
			time.Sleep(callPause)
			continue
		}
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			time.Sleep(callPause)
			continue
		}
		c.use(ctx, conn, workspace, fmt.Sprintf("%s-%d-%d", workspace, n, round), random)
		_ = conn.Close()
	}
}

func (c *callers) lookUp(random *rand.Rand) string {
	client := http.Client{Timeout: time.Second}
	for range 3 {
		in := c.f.instances[random.IntN(len(c.f.instances))]
		answer, err := client.Get("http://" + in.directory + "/-/resolve?name=a.example&region=" + in.region + "&zone=" + in.domain)
		if err != nil {
			continue
		}
		var found struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(answer.Body).Decode(&found)
		_ = answer.Body.Close()
		if err == nil && len(found.Addrs) > 0 {
			return found.Addrs[random.IntN(len(found.Addrs))]
		}
	}
	return ""
}

func (c *callers) use(ctx context.Context, conn net.Conn, workspace, prefix string, random *rand.Rand) {
	reader := bufio.NewReader(conn)
	for call := 0; call < keepCalls && ctx.Err() == nil; call++ {
		r := result{id: fmt.Sprintf("%s-%d", prefix, call), unsafe: random.IntN(2) == 0, sentAt: time.Now()}
		path := "/safe/"
		if r.unsafe {
			path = "/unsafe/"
		}
		_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
		_, err := fmt.Fprintf(conn, "POST %s%d HTTP/1.1\r\nHost: a.example\r\nX-Bulrushferry-Request-Id: %s\r\nX-Bulrushferry-Deadline-Ms: %d\r\n"+
			"X-Bulrushferry-Credential: key-%s\r\nCookie: X-Bulrushferry-Affinity-Key=%d\r\nContent-Length: 4\r\n\r\nbody",
			path, call, r.id, deadline.Milliseconds(), workspace, random.IntN(30))
		var response fasthttp.Response
		if err == nil {
			err = response.Read(reader)
		}
		if err == nil {
			r.status, r.body = response.StatusCode(), string(response.Body())
		}
		c.add(r)
		if err != nil || response.ConnectionClose() {
			return
		}
		time.Sleep(callPause)
	}
}

func (c *callers) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// check compares what callers were told with what the servers ran.
func (c *callers) check(l *ledger) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var broken []string
	for _, r := range c.results {
		runs := l.ran(r.id)
		broken = append(broken, r.checkAnswer(runs)...)
		broken = append(broken, c.checkKey(r, runs)...)
	}
	return append(broken, l.check()...)
}

// checkAnswer holds an answer against how often its request ran.
func (r result) checkAnswer(runs int) []string {
	refused := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
	switch {
	case r.unsafe && runs > 1:
		return []string{fmt.Sprintf("%s may run once and ran %d times", r.id, runs)}
	case r.unsafe && refused && runs > 0:
		return []string{fmt.Sprintf("%s was refused with %d and ran", r.id, r.status)}
	case r.status == http.StatusOK && r.body != "ran "+r.id:
		return []string{fmt.Sprintf("%s got the answer %q", r.id, r.body)}
	case r.status == http.StatusNotFound || r.status == http.StatusBadRequest:
		return []string{fmt.Sprintf("%s was denied with %d", r.id, r.status)}
	}
	return nil
}

// checkKey holds a request against the time at which its key was withdrawn. The
// caller holds the lock.
func (c *callers) checkKey(r result, runs int) []string {
	at, gone := c.withdrawn[r.workspace()]
	switch {
	case gone && runs > 0 && c.f.store.wellTime(at, r.sentAt) > withdrawBound:
		return []string{fmt.Sprintf("%s ran %s after its key was withdrawn", r.id, c.f.store.wellTime(at, r.sentAt))}
	case !gone && r.status == http.StatusUnauthorized:
		return []string{fmt.Sprintf("%s was denied with a good key", r.id)}
	}
	return nil
}

// served counts the requests with good keys that were sent after a moment, and
// those that were answered.
func (c *callers) served(after time.Time) (sent, answered int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if _, gone := c.withdrawn[r.workspace()]; !gone && r.sentAt.After(after) {
			sent++
			if r.status == 200 {
				answered++
			}
		}
	}
	return sent, answered
}

// lost counts requests that were sent in a span and got no answer at all.
func (c *callers) lost(from, to time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, r := range c.results {
		if r.status == 0 && r.sentAt.After(from) && r.sentAt.Before(to) {
			count++
		}
	}
	return count
}

// statuses counts the results by status.
func (c *callers) statuses() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[int]int)
	for _, r := range c.results {
		counts[r.status]++
	}
	return counts
}

// workspace returns the workspace that the request's id begins with.
func (r result) workspace() string {
	name, _, _ := strings.Cut(r.id, "-")
	return name
}
