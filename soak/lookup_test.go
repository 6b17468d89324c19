package soak

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// lookupCounts counts the results of look-ups.
type lookupCounts struct {
	mu sync.Mutex
	// refused are those that no process took, failed those without an address in time,
	// early those whose answer may be kept for a short time only.
	total, refused, failed, early int
	slowest                       time.Duration
}

// TestLookupsAfterPowerLoss guards against look-ups that fail after all instances have lost
// power at once, in the time until the first of them is ready: each look-up that reaches a
// process gets at least one address within a second, also while the store does not answer.
func TestLookupsAfterPowerLoss(t *testing.T) {
	for name, outage := range map[string]time.Duration{"the store answers": 0, "the store is away for 2 s": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, threeRegions)
			counts := &lookupCounts{}
			var group sync.WaitGroup
			for _, in := range f.instances {
				if outage > 0 {
					in.proxy.setMode(resetting)
					time.AfterFunc(outage, func() { in.proxy.setMode(forwarding) })
				}
				group.Go(func() {
					in.restart(t, syscall.SIGKILL, 500*time.Millisecond)
					for started := time.Now(); time.Since(started) < 4*time.Second; time.Sleep(20 * time.Millisecond) {
						counts.lookUp(in)
					}
				})
			}
			group.Wait()
			t.Logf("%d look-ups, %d refused before the start, %d failed, %d with an early answer, slowest %v", counts.total, counts.refused, counts.failed, counts.early, counts.slowest)
			if counts.failed > 0 || counts.total == counts.refused {
				t.Errorf("%d of %d look-ups failed", counts.failed, counts.total-counts.refused)
				f.logTails()
			}
		})
	}
}

// lookUp sends one look-up to an instance and counts its result.
func (c *lookupCounts) lookUp(in *instance) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	started := time.Now()
	response, err := client.Get("http://" + in.lookupAddress + "/-/resolve?name=a.example&region=" + in.region + "&zone=" + in.domain)
	var found struct {
		Addrs []string `json:"addrs"`
		TTL   string   `json:"ttl"`
	}
	if err == nil {
		err = json.NewDecoder(response.Body).Decode(&found)
		_ = response.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.refused++
		return
	}
	c.slowest = max(c.slowest, time.Since(started))
	if err != nil || len(found.Addrs) == 0 {
		c.failed++
	}
	if found.TTL == "250ms" {
		c.early++
	}
}
