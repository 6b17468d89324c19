package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client, and how it was answered.
type attempt struct {
	at, endedAt      time.Time
	id, node, path   string
	status           int
	signature, error string
}

// load sends requests at a steady rate, each on a new connection to a node drawn at random.
type load struct {
	world *world
	// nodes are those that the steady load goes to; all if there are none.
	nodes    []*node
	paths    []string
	deadline time.Duration
	interval time.Duration
	client   *http.Client

	mu       sync.Mutex
	attempts []attempt
}

func newLoad(w *world) *load {
	return &load{world: w, deadline: 3 * time.Second, interval: 20 * time.Millisecond, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run sends requests until the context ends, and waits for their answers.
func (l *load) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		path := fmt.Sprintf("%s%d", l.paths[n%len(l.paths)], n)
		target := l.pick()
		group.Go(func() { l.send(target, fmt.Sprintf("%08x%08x", n, rand.Uint32()), path) })
		time.Sleep(l.interval)
	}
}

// pick draws the node for a request.
func (l *load) pick() *node {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.nodes) > 0 {
		return l.nodes[rand.IntN(len(l.nodes))]
	}
	return l.world.nodes[rand.IntN(len(l.world.nodes))]
}

// send sends a request to a node and records how it was answered.
func (l *load) send(n *node, id, path string) {
	a := attempt{at: time.Now(), id: id, node: n.name, path: path}
	defer func() {
		a.endedAt = time.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.attempts = append(l.attempts, a)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), l.deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front()+path, strings.NewReader("order"))
	if err != nil {
		a.error = err.Error()
		return
	}
	request.Host = host
	request.Header.Set("X-Bulrushferry-Request-Id", id)
	request.Header.Set("X-Bulrushferry-Credential", apiKey)
	request.Header.Set("X-Bulrushferry-Deadline-Ms", fmt.Sprint(l.deadline.Milliseconds()))
	request.Header.Set("Cookie", fmt.Sprintf("X-Bulrushferry-Affinity-Key=%d", rand.IntN(50)))
	answer, err := l.client.Do(request)
	if err != nil {
		a.error = err.Error()
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		a.error = err.Error()
	}
	a.status, a.signature = answer.StatusCode, answer.Header.Get("X-Bulrushferry-Response-Signature")
}

// served returns how many requests were sent, and how many got a success.
func (l *load) served() (sent, ok int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.attempts {
		if a.status == http.StatusOK {
			ok++
		}
	}
	return len(l.attempts), ok
}
