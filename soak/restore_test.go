package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// status sends one request with a workspace's key to an instance and returns the status of
// the response, or zero if there is none.
func (in *instance) status(workspace, id string) int {
	request, _ := http.NewRequest(http.MethodGet, "http://"+in.callerAddress+"/safe/"+id, nil)
	request.Host = "a.example"
	request.Header.Set("X-Bulrushferry-Request-Id", id)
	request.Header.Set("X-Bulrushferry-Credential", "key-"+workspace)
	request.Header.Set("X-Bulrushferry-Deadline-Ms", "1000")
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestStoreRestoredFromCopy has the store come back without the withdrawal of a key, an
// evacuation, a server and the instances' own entries. It guards against the key and the
// domain coming back into use, against instances that stay unlisted, and against what is
// written afterwards, under versions of before, being missed.
func TestStoreRestoredFromCopy(t *testing.T) {
	f := newFleet(t, threeRegions)
	load := &loadGenerator{fleet: f, withdrawnAt: make(map[string]time.Time)}
	time.Sleep(time.Second)
	f.withdrawKey("gone", load)
	f.store.put("op", "evacuate/s-a", map[string]any{})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { load.run(ctx, 1) })
	time.Sleep(2 * time.Second)
	evacuatedRuns := f.runsIn("s-a")
	cut := f.instances[3].proxy
	cut.setMode(blackhole)
	f.store.restore(time.Hour)
	f.restoredServers()
	time.Sleep(2 * time.Second)
	cut.setMode(forwarding)
	if ran := f.runsIn("s-a") - evacuatedRuns; ran > 0 {
		t.Errorf("%d requests ran in the evacuated domain after the restore", ran)
	}
	for i, in := range f.instances {
		if got := in.status("gone", fmt.Sprint("gone-after-", i)); got != http.StatusUnauthorized {
			t.Errorf("%s answered a withdrawn key with %d after the restore", in.name, got)
		}
	}
	for until := time.Now().Add(readyTimeout); f.store.count("instances") < len(f.instances) && time.Now().Before(until); {
		time.Sleep(50 * time.Millisecond)
	}
	if got := f.store.count("instances"); got != len(f.instances) {
		t.Errorf("%d of %d instances are registered after the restore", got, len(f.instances))
	}
	f.storeConfig("small")
	time.Sleep(2 * time.Second)
	for i, in := range f.instances {
		if got := in.status("small", fmt.Sprint("small-after-", i)); got != http.StatusUnauthorized {
			t.Errorf("%s answered a key that was withdrawn after the restore with %d", in.name, got)
		}
	}
	cancel()
	group.Wait()
	for _, v := range load.violations(f.requestLog) {
		if !strings.Contains(v, "small") {
			t.Error(v)
		}
	}
	for _, name := range f.endedInstances() {
		t.Errorf("%s ended by itself", name)
	}
	if t.Failed() {
		f.logTails()
	}
}

// runsIn returns how many requests the servers of a failure domain have run.
func (f *fleet) runsIn(domain string) int64 {
	sum := int64(0)
	for _, b := range f.servers {
		if b.domain == domain {
			sum += b.runs.Load()
		}
	}
	return sum
}

// restoredServers has the backend servers register again, as they do with each heartbeat.
func (f *fleet) restoredServers() {
	for _, b := range f.servers {
		f.store.put("servers", b.id, b.row("ready", 1))
	}
}

// restoreFaults are faults of the store that the failedSeeds do not draw, so that these repeat
// the runs that failed.
var restoreFaults = map[string]fault{
	"store comes back older": func(f *fleet, random *rand.Rand, span time.Duration) {
		f.store.setUnavailable(true)
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		lost := f.store.restore(span)
		f.store.setUnavailable(false)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		f.store.writeAgain(lost)
	},
}

// writeAgain writes what was lost again, as operators and backend servers do, unless it was
// written meanwhile.
func (s *store) writeAgain(lost []storeRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range lost {
		if present, ok := s.rows[row.Table][row.Key]; !ok || present.Version <= s.restoredVersion {
			s.apply(row)
		}
	}
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows[table])
}
