package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// endsWanted is how often the rule lets the processes of a machine end by themselves
	// in a day, plus one.
	endsWanted   = 3
	uploads      = 4
	uploadBytes  = 60 << 20
	keptClients  = 6
	restartDelay = time.Second
	// settleTime, after the start, makes the machines count as in touch.
	settleTime  = 3 * time.Second
	memoryLimit = 75 * time.Second
	// linkBytesPerS is what a machine's link of 1,000 Mbit/s carries.
	linkBytesPerS = 125 << 20
	sendStep      = 256 << 10
)

// memoryCase is the state of largeBodies.
type memoryCase struct {
	*world
	size         int
	stop         chan struct{}
	stopping     atomic.Bool
	lost         atomic.Int64
	answered     atomic.Int64
	uploadsSent  atomic.Int64
	mostMB       atomic.Int64
	mu           sync.Mutex
	endsByItself map[string]int
	group        sync.WaitGroup
}

// residentMB returns the memory of a process, in MB.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

func init() { cases["memory"] = largeBodies }

// largeBodies sends a few orders with bodies that the config allows, while small requests
// run. The platform kills a process that exceeds the memory that its settings state, and
// starts it again.
func largeBodies(w *world) int {
	c := &memoryCase{world: w, size: uploadBytes, stop: make(chan struct{}), endsByItself: make(map[string]int)}
	if !w.trouble {
		c.size >>= 10
	}
	w.start(2, 4, 300*time.Millisecond)
	for i, in := range w.instances {
		c.group.Go(func() { c.watch(in) })
		for n := range keptClients {
			c.group.Go(func() { c.look(in, fmt.Sprintf("look-%d-%d", i, n)) })
		}
		c.group.Go(func() { c.upload(in, fmt.Sprintf("large-%d", i)) })
	}
	limit := memoryLimit
	if !w.trouble {
		limit /= 4
	}
	for end := time.Now().Add(limit); time.Now().Before(end) && !c.endedOften(); {
		time.Sleep(100 * time.Millisecond)
	}
	c.stopping.Store(true)
	close(c.stop)
	c.group.Wait()
	return w.verdict(c.endedOften() || c.lost.Load() > 3,
		"processes ended for their memory: %v; %d small requests of kept connections were passed on to a target and got no answer, %d were answered; %d large bodies of %d bytes were sent; most memory of a process: %d MB of %d",
		c.endsByItself, c.lost.Load(), c.answered.Load(), c.uploadsSent.Load(), c.size, c.mostMB.Load(), memoryMB)
}

// endedOften reports whether the processes of both machines ended endsWanted times.
func (c *memoryCase) endedOften() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range c.instances {
		if c.endsByItself[in.name] < endsWanted {
			return false
		}
	}
	return true
}

// watch is the platform: it kills a process that exceeds its memory, and starts it again.
func (c *memoryCase) watch(in *instance) {
	for !c.stopping.Load() {
		used := residentMB(in.pid())
		c.mostMB.Store(max(c.mostMB.Load(), int64(used)))
		if used <= memoryMB {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		c.record("KILL   %s holds %d MB, more than %d", in.name, used, memoryMB)
		in.signal(syscall.SIGKILL)
		in.awaitExit(time.Second)
		c.mu.Lock()
		c.endsByItself[in.name]++
		c.mu.Unlock()
		time.Sleep(restartDelay)
		if err := errors.Join(in.writeSettings(false), in.launch(), in.awaitReady()); err != nil {
			c.record("%s cannot start again: %v", in.name, err)
			return
		}
	}
}

// look sends small safe requests on a kept connection.
func (c *memoryCase) look(in *instance, name string) {
	var conn *client
	for n := 0; !c.stopping.Load(); n++ {
		if conn == nil {
			dialed, err := dial(in.front)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			conn = dialed
		}
		id := fmt.Sprintf("%s-%d", name, n)
		_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
		_, err := conn.Write([]byte(head("GET", "/look/"+id, id, 5*time.Second)))
		var got answer
		if err == nil {
			got = conn.read("GET")
			err = got.err
		}
		if err == nil {
			c.answered.Add(1)
			if got.closing {
				_ = conn.Close()
				conn = nil
			}
			continue
		}
		if len(c.runs.of(id)) > 0 {
			c.lost.Add(1)
			c.record("LOST   %s was passed on to a target, and the connection ended: %v", id, err)
		}
		_ = conn.Close()
		conn = nil
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// upload sends orders with large bodies, a few at the same time, at the pace of the
// machine's link.
func (c *memoryCase) upload(in *instance, name string) {
	body := make([]byte, c.size)
	time.Sleep(settleTime)
	for round := 0; !c.stopping.Load(); round++ {
		var group sync.WaitGroup
		for n := range uploads {
			group.Go(func() { c.uploadOne(in, fmt.Sprintf("%s-%d-%d", name, round, n), body) })
		}
		group.Wait()
		select {
		case <-c.stop:
		case <-time.After(2 * time.Second):
		}
	}
}

func (c *memoryCase) uploadOne(in *instance, id string, body []byte) {
	conn, err := dial(in.front)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	c.record("send   %s to %s: %d bytes", id, in.name, len(body))
	_, err = conn.Write([]byte(head("POST", "/pay/"+id, id, 5*time.Second, fmt.Sprintf("Content-Length: %d", len(body)))))
	startedAt := time.Now()
	for sent := 0; sent < len(body) && err == nil; {
		end := min(sent+sendStep, len(body))
		_, err = conn.Write(body[sent:end])
		sent = end
		due := startedAt.Add(time.Duration(sent) * time.Second / (linkBytesPerS / uploads))
		time.Sleep(time.Until(due))
	}
	if err != nil {
		c.record("answer %s: sending failed: %v", id, err)
		return
	}
	c.uploadsSent.Add(1)
	c.record("answer %s: %s", id, conn.read("POST"))
}
