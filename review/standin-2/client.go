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
	at               time.Time
	id, node, path   string
	status           int
	signature, error string
}

// load sends requests at a steady rate, each on a new connection to a node drawn at random.
type load struct {
	world *world
	paths []string

	mu       sync.Mutex
	attempts []attempt
}

const (
	interval = 20 * time.Millisecond
	deadline = 3 * time.Second
)

// run sends requests until the context ends, and waits for their answers.
func (l *load) run(ctx context.Context) {
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		path := fmt.Sprintf("%s%d", l.paths[n%len(l.paths)], n)
		group.Go(func() { l.send(client, fmt.Sprintf("%08x%08x", n, rand.Uint32()), path) })
		time.Sleep(interval)
	}
}

func (l *load) send(client *http.Client, id, path string) {
	n := l.world.nodes[rand.IntN(len(l.world.nodes))]
	a := attempt{at: time.Now(), id: id, node: n.name, path: path}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.attempts = append(l.attempts, a)
	}()
	request, err := http.NewRequest(http.MethodPost, "http://"+n.front()+path, strings.NewReader("order"))
	if err != nil {
		a.error = err.Error()
		return
	}
	request.Host = host
	request.Header.Set("X-Bulrushferry-Request-Id", id)
	request.Header.Set("X-Bulrushferry-Credential", apiKey)
	request.Header.Set("X-Bulrushferry-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Cookie", fmt.Sprintf("X-Bulrushferry-Affinity-Key=%d", rand.IntN(50)))
	answer, err := client.Do(request)
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
