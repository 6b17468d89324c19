package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

// resolver keeps the answer of the directory for the clients of a zone.
type resolver struct {
	directory, zone, region string

	mu    sync.Mutex
	addrs []string
}

// lookup asks the directory, and returns for how long its answer counts.
func (r *resolver) lookup() time.Duration {
	const retry = 200 * time.Millisecond
	client := http.Client{Timeout: time.Second}
	query := url.Values{"name": {"shop.example"}, "region": {r.region}, "zone": {r.zone}}
	response, err := client.Get("http://" + r.directory + "/-/resolve?" + query.Encode())
	if err != nil {
		return retry
	}
	raw, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	var answer struct {
		Addrs []string `json:"addrs"`
		TTL   string   `json:"ttl"`
	}
	if err != nil || json.Unmarshal(raw, &answer) != nil || len(answer.Addrs) == 0 {
		return retry
	}
	ttl, err := time.ParseDuration(answer.TTL)
	if err != nil {
		return retry
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addrs = answer.Addrs
	return max(retry, min(ttl, 5*time.Second))
}

// run asks again each time that the answer is too old, until it is to stop.
func (r *resolver) run(stop <-chan struct{}) {
	for {
		ttl := r.lookup()
		select {
		case <-stop:
			return
		case <-time.After(ttl):
		}
	}
}

// pick returns an address at random, and has whether an address is still named.
func (r *resolver) pick() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.addrs) == 0 {
		return ""
	}
	return r.addrs[rand.IntN(len(r.addrs))]
}

func (r *resolver) has(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.addrs, address)
}
