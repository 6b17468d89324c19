package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

type (
	// serverNotices is what a backend server says of itself in its responses, and counts
	// the requests of instances that do not heed it. Instances are known by the address
	// at which the caller reached them.
	serverNotices struct {
		// disturbedSince reports whether an instance was restarted or frozen since a
		// time, which excuses it.
		disturbedSince func(instance string, since time.Time) bool

		mu sync.Mutex
		// leaving marks all responses. toldAt holds when each instance first got one.
		leaving bool
		toldAt  map[string]time.Time
		// pause is asked for in the next response to each instance in pausing.
		pause   time.Duration
		pausing map[string]bool
		pauses  map[string]askedPause
		// endless makes the server send bytes until the connection is closed.
		endless bool
		// lateRequests came too long after a notice, early ones during a pause.
		lateRequests, earlyRequests int
	}

	// askedPause is a pause that an instance was asked for, and the requests that it sent
	// meanwhile.
	askedPause struct {
		at       time.Time
		length   time.Duration
		requests int
	}
)

const (
	// maxNoticeDelay is how long after a server's notice an instance may still send to it.
	maxNoticeDelay = 2500 * time.Millisecond
	// pauseSettling and maxEarly bound the requests during a pause: at most two from
	// half a second after the server asked for it.
	pauseSettling = 500 * time.Millisecond
	maxEarly      = 2
	// viaHeader names the instance that a caller sent its request to.
	viaHeader = "X-Via"
)

// noticeFaults are the faults that came after the seeds in failedSeeds, which do not draw
// them.
var noticeFaults = map[string]fault{
	"server leaves": func(f *fleet, random *rand.Rand, span time.Duration) {
		b := f.servers[len(f.servers)/2+random.IntN(len(f.servers)/2-1)]
		b.restartMu.Lock()
		defer b.restartMu.Unlock()
		b.notices.setLeaving(true)
		time.Sleep(span)
		f.store.put("servers", b.id, nil)
		time.Sleep(time.Second)
		b.notices.setLeaving(false)
		f.store.put("servers", b.id, b.row("ready", time.Now().UnixMilli()))
	},
	"server pauses": func(f *fleet, random *rand.Rand, span time.Duration) {
		f.servers[random.IntN(len(f.servers))].notices.askForPause(f, 500*time.Millisecond+span/2)
		time.Sleep(span)
	},
	"server sends without end": func(f *fleet, random *rand.Rand, span time.Duration) {
		b := f.servers[random.IntN(len(f.servers)/2)]
		b.notices.setEndless(true)
		time.Sleep(span / 2)
		b.notices.setEndless(false)
	},
	"odd rows": func(f *fleet, random *rand.Rand, span time.Duration) {
		key := fmt.Sprint("odd-", random.IntN(3))
		value := oddValues[random.IntN(len(oddValues))]
		f.store.putRaw("servers", key, []byte(value))
		f.store.putRaw("op", "evacuate/"+key, []byte(value))
		f.store.putRaw("instances", key, []byte(value))
		time.Sleep(span)
		f.store.put("servers", key, nil)
	},
}

// oddValues are rows that another writer may leave among those of the servers.
var oddValues = []string{
	strings.Repeat("[", 100_000), "", "null", "\xff\xfe", "17",
	`{"address":"127.0.0.1:0","born":1,"info":{"service":"desk","zone":"n-a","slots":8},"status":{"state":"ready","coldRemaining":"0ms"}}`,
	`{"address":"127.0.0.1:80","born":1e400,"info":{"service":"desk","zone":"n-a","slots":8},"status":{"state":"ready","coldRemaining":"0ms"}}`,
	`{"address":"127.0.0.1:80","born":1,"info":{"service":"desk","zone":"n-a","slots":` + strings.Repeat("9", 400) + `},"status":{"state":"ready","coldRemaining":"0ms"}}`,
	`{"address":"127.0.0.1:70000","born":1,"info":{"service":"desk","zone":"n-a","slots":8},"status":{"state":"ready","coldRemaining":"-9ms"}}`,
}

func newServerNotices(disturbedSince func(string, time.Time) bool) *serverNotices {
	return &serverNotices{disturbedSince: disturbedSince, toldAt: make(map[string]time.Time), pausing: make(map[string]bool), pauses: make(map[string]askedPause)}
}

// setLeaving makes all responses say that the server leaves, or ends that with a new start
// of the server.
func (n *serverNotices) setLeaving(leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = leaving
	n.toldAt = make(map[string]time.Time)
}

func (n *serverNotices) setEndless(endless bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endless = endless
}

// askForPause makes the next response to each instance ask for a pause.
func (n *serverNotices) askForPause(f *fleet, length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pause = length
	for _, in := range f.instances {
		n.pausing[in.callerAddress] = true
	}
}

// receive records a request from an instance. It returns the header lines that the
// response has to bear, and whether the server turns the request away with a 503.
func (n *serverNotices) receive(instance string) (header string, turnedAway bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.countEarly(instance, now)
	if n.leaving {
		header = "Server-Leaving: 1\r\n"
		told, ok := n.toldAt[instance]
		if !ok {
			n.toldAt[instance] = now
		}
		if ok && now.Sub(told) > maxNoticeDelay && !n.disturbedSince(instance, told) {
			n.lateRequests++
		}
	}
	if n.pausing[instance] {
		delete(n.pausing, instance)
		n.pauses[instance] = askedPause{at: now, length: n.pause}
		return header + fmt.Sprintf("Retry-After: %.3f\r\n", n.pause.Seconds()), true
	}
	return header, false
}

// countEarly counts a request that comes during a pause. The caller must hold n.mu.
func (n *serverNotices) countEarly(instance string, now time.Time) {
	p, ok := n.pauses[instance]
	if !ok || now.Before(p.at.Add(pauseSettling)) || !now.Before(p.at.Add(p.length)) {
		return
	}
	p.requests++
	n.pauses[instance] = p
	if p.requests > maxEarly && !n.disturbedSince(instance, p.at) {
		n.earlyRequests++
	}
}

// isEndless reports whether the server sends without end.
func (n *serverNotices) isEndless() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endless
}

// violations describes the requests that did not heed the server.
func (n *serverNotices) violations(server string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lateRequests == 0 && n.earlyRequests == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s received %d requests too long after it said that it leaves, and %d during its pauses", server, n.lateRequests, n.earlyRequests)}
}

// sendEndlessly sends a response without end until the connection is closed.
func sendEndlessly(c net.Conn, id string) {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Bulrushferry-Request-Id: %s\r\nX-Bulrushferry-Response-Signature: x\r\n\r\n", id)
	part := []byte(strings.Repeat("z", 16<<10))
	for err == nil {
		_, err = c.Write(part)
	}
}

// putRaw writes a row with any value.
func (s *store) putRaw(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeRow{Table: table, Key: key, Value: value})
}

// markDisturbed records that the instance is restarted or frozen now.
func (in *instance) markDisturbed() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.disturbedAt = time.Now()
}

// disturbedSince reports whether an instance was restarted or frozen since a time, or ends
// a restart or freeze just now.
func (f *fleet) disturbedSince(address string, since time.Time) bool {
	for _, in := range f.instances {
		if in.callerAddress != address {
			continue
		}
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.disturbedAt.After(since)
	}
	return false
}

// endedInstances describes the instances whose processes have ended by themselves, each
// with how it ended. No restart may be running.
func (f *fleet) endedInstances() []string {
	var ended []string
	for _, in := range f.instances {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", in.pid()))
		if err == nil && !strings.Contains(string(raw), ") Z ") {
			continue
		}
		in.mu.Lock()
		_ = in.cmd.Wait()
		ended = append(ended, fmt.Sprintf("%s (pid %d, %v)", in.name, in.cmd.Process.Pid, in.cmd.ProcessState))
		in.mu.Unlock()
	}
	return ended
}

// TestFollowsServersPastOddRows leaves one odd row of each kind among those of the servers.
// The instances must go on, follow the table, and use a server that is listed after it.
func TestFollowsServersPastOddRows(t *testing.T) {
	f := newFleet(t, deployment{domains: []domain{{"n-a", "n"}}, instances: 2, servers: 3})
	for i, value := range oddValues {
		f.store.putRaw("servers", fmt.Sprint("a-odd-", i), []byte(value))
		f.store.putRaw("instances", fmt.Sprint("a-odd-", i), []byte(value))
	}
	last := f.servers[2]
	f.store.put("servers", last.id, nil)
	time.Sleep(time.Second)
	f.instances[0].restart(t, syscall.SIGKILL, 0)
	f.store.put("servers", last.id, last.row("ready", time.Now().UnixMilli()))
	time.Sleep(3 * time.Second)
	if ended := f.endedInstances(); len(ended) > 0 {
		t.Fatalf("%v ended by themselves", ended)
	}
	for _, in := range f.instances {
		raw, _ := os.ReadFile(in.logFile)
		named := strings.Count(string(raw), `"row cannot be used"`)
		if named < len(oddValues) {
			t.Errorf("%s names %d odd rows", in.name, named)
		}
		if !json.Valid(raw[strings.LastIndex(strings.TrimSpace(string(raw)), "\n")+1:]) {
			t.Errorf("the last log line of %s is no JSON", in.name)
		}
		if !strings.Contains(string(raw), `"server":"`+last.id+`"`) {
			t.Errorf("%s did not learn of server %s", in.name, last.id)
		}
	}
}
