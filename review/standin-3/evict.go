package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// usualUsers are the clients at each instance at all times, and burstFactor is how many
	// times as many there are during a burst of burstTime.
	usualUsers  = 1000
	burstFactor = 2.5
	burstTime   = 6 * time.Second
	burstGap    = 10 * time.Second
	bursts      = 4
	// pollTime is the time between two requests of a client, less than four fifths of the idle
	// limit.
	pollTime   = 3 * time.Second
	holdBudget = 4 * time.Second
	// lostAllowed is how many requests may be lost by the rule.
	lostAllowed = 3
)

// playEvict plays bursts of clients that keep their connections, at instances whose descriptors
// do not suffice for all of them.
func playEvict(w *world) (bool, error) {
	err := w.start(shape{
		zones: []string{"sierra-a", "costa-a"}, targets: 12, slots: 60, work: 40 * time.Millisecond, body: 400,
		memoryMB: 284, maxFDs: 2870, timeout: 4 * time.Second, objective: 600 * time.Millisecond, maxConns: 400,
	})
	if err != nil {
		return false, err
	}
	var users sync.WaitGroup
	stopped := make(chan struct{})
	var resolvers []*resolver
	for _, n := range w.nodes {
		r := &resolver{directory: n.directory, zone: n.zone, region: n.region}
		resolvers = append(resolvers, r)
		r.lookup()
		users.Go(func() { r.run(stopped) })
		for range usualUsers {
			users.Go(func() { w.poll(r, pollTime, stopped) })
		}
	}
	time.Sleep(burstGap)
	for number := range bursts {
		if !w.trouble {
			time.Sleep(burstTime + burstGap)
			continue
		}
		w.note("burst %d begins at %s", number+1, time.Now().Format("15:04:05.000"))
		over := make(chan struct{})
		extra := int(usualUsers * (burstFactor - 1))
		for _, r := range resolvers {
			for range extra {
				users.Go(func() { w.poll(r, pollTime, over) })
			}
		}
		time.Sleep(burstTime)
		close(over)
		time.Sleep(burstGap)
	}
	close(stopped)
	users.Wait()
	return w.judgeLost()
}

// poll is a client that sends a request at each interval, more or less, on a connection that it
// keeps, until it is to stop. It connects to an address that the directory names, and leaves one
// that the directory names no longer.
func (w *world) poll(r *resolver, interval time.Duration, stop <-chan struct{}) {
	u := &user{path: "/hold/17", budget: holdBudget, key: "key-a"}
	defer u.close()
	pause := time.Duration(rand.Int64N(int64(interval)))
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if u.conn != nil && !r.has(u.node) {
			u.close()
		}
		if u.conn == nil {
			u.node = r.pick()
		}
		w.record.add(u.send())
		pause = interval + time.Duration(rand.Int64N(int64(interval/10)))
	}
}

// judgeLost counts the requests on kept connections that a target ran and whose connections were
// closed without a byte of an answer, before their time budgets were over.
func (w *world) judgeLost() (bool, error) {
	lost, answered, other := 0, 0, 0
	for _, c := range w.record.calls {
		runs := w.runs.of(c.id)
		w.noteCall(c, runs)
		took := c.endedAt.Sub(c.sentAt)
		switch {
		case c.status > 0:
			answered++
		case c.onKept && len(runs) > 0 && took < holdBudget*7/10:
			lost++
			w.note("lost: request %s sent to %s at %s on a kept connection, run by %s at %s, connection closed after %d ms without an answer (%s)",
				c.id, c.node, c.sentAt.Format("15:04:05.000"), runs[0].target, runs[0].at.Format("15:04:05.000"), took.Milliseconds(), c.err)
		default:
			other++
		}
	}
	w.note("sent %d, answered %d, lost after they were passed on %d (allowed %d), otherwise without an answer %d", len(w.record.calls), answered, lost, lostAllowed, other)
	if answered == 0 {
		return false, errNoCalls
	}
	return lost > lostAllowed, nil
}
