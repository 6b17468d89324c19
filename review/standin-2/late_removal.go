package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// lateRemoval restarts all nodes in turn while the store makes the removals of their entries late
// and without an answer, adds a node, and has a tenant send more than its limit.
func lateRemoval(w *world, l *load, trouble bool) (outcome, error) {
	w.ratePerS, w.burst = 40, 20
	w.store.put("op", "", "config", w.config(7, w.route("desk", "/desk/", "desk"), service("desk")))
	for i := range 6 {
		if _, err := startTarget(w, fmt.Sprintf("i-desk-%d", i), "desk", zoneNames[i%3]); err != nil {
			return outcome{}, err
		}
	}
	if err := w.startAll(); err != nil {
		return outcome{}, err
	}
	time.Sleep(3 * time.Second)
	w.store.lateRemovals.Store(trouble)
	var group sync.WaitGroup
	problems := make([]error, len(w.nodes))
	for i, n := range w.nodes {
		group.Go(func() { problems[i] = n.restart(w) })
		time.Sleep(2 * time.Second)
	}
	group.Wait()
	for _, problem := range problems {
		if problem != nil {
			return outcome{}, problem
		}
	}
	time.Sleep(6 * time.Second)
	w.store.lateRemovals.Store(false)
	if _, err := w.startNode(zoneNames[0]); err != nil {
		return outcome{}, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(35 * time.Second)
	l.paths, l.interval = []string{"/desk/"}, 5*time.Millisecond
	l.during(func() { time.Sleep(10 * time.Second) })
	return outcome{
		lines: []string{
			"three nodes are restarted, one each 2 s; with trouble the removals of their entries get no answer and are made 4 s later",
			fmt.Sprintf("writes: %d, of them late and without an answer: %d", w.store.writes.Load(), w.store.lateWrites.Load()),
			"6 s after the last restart a fourth node is added; 35 s later a tenant sends 200 requests a second for 12 s, evenly to all nodes; its limit is 40 a second and a burst of 20",
		},
		broken: w.overQuota(l),
	}, nil
}

// overQuota returns the first window in which more requests were sent and run than the tenant's
// limit allows.
func (w *world) overQuota(l *load) []string {
	sentAt := make(map[string]time.Time)
	for _, a := range l.attempts {
		sentAt[a.id] = a.at
	}
	most := (float64(w.ratePerS)*quotaWindow.Seconds()+float64(w.burst))*(1+quotaOverage) + quotaSlack
	runs := w.runs.all()
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	for _, first := range runs {
		from, count := sentAt[first.id], 0
		for _, r := range runs {
			if !sentAt[r.id].Before(from) && r.at.Before(from.Add(quotaWindow)) {
				count++
			}
		}
		if float64(count) > most {
			return []string{fmt.Sprintf("QUOTA: %d requests were sent and run within %s, allowed are %.0f", count, quotaWindow, most)}
		}
	}
	return nil
}
