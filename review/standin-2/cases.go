package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// missingField has another writer write an entry without seq under the id of a target of another
// service. Such an entry names no target to use.
func missingField(w *world, l *load, trouble bool) (outcome, error) {
	w.store.put("op", "", "config", w.config(7, w.route("desk", "/desk/", "desk"), w.route("hall", "/hall/", "hall"), service("desk"), service("hall")))
	halls := make(map[string]*target)
	for i := range 6 {
		name, zone := []string{"desk", "hall"}[i%2], zoneNames[i/2]
		t, err := startTarget(w, fmt.Sprintf("i-%s-%d", name, i/2), name, zone)
		if err != nil {
			return outcome{}, err
		}
		if name == "hall" {
			halls[t.id] = t
		}
	}
	if err := w.startAll(); err != nil {
		return outcome{}, err
	}
	l.paths = []string{"/desk/", "/hall/"}
	victim := halls["i-hall-0"]
	l.during(func() {
		for range 20 {
			if trouble {
				w.store.put("servers", "", victim.id, map[string]any{
					"address": victim.address, "born": victim.born,
					"info":   map[string]any{"service": "desk", "version": "v1", "zone": victim.zone, "slots": slots},
					"status": map[string]any{"state": "ready", "coldRemaining": "0ms"},
				})
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	result := outcome{lines: []string{"another writer writes servers/" + victim.id + " (a target of hall) each 0.5 s for 10 s, with the service desk and without seq"}}
	for _, r := range w.runs.all() {
		if strings.HasPrefix(r.uri, "/desk/") && r.service != "desk" {
			result.broken = append(result.broken, fmt.Sprintf("ROUTE: request %s on %s was run by %s of service %s", r.id, r.uri, r.target, r.service))
		}
	}
	return result, nil
}

// stoppingNode sends a few requests that take long to a node that was told to stop over three
// seconds ago. They must be answered, or refused without being run.
func stoppingNode(w *world, l *load, trouble bool) (outcome, error) {
	w.grace, w.timeout, l.deadline = 10*time.Second, 20*time.Second, 20*time.Second
	w.store.put("op", "", "config", w.config(7, w.route("desk", "/desk/", "desk"), service("desk")))
	for i := range 6 {
		if _, err := startTarget(w, fmt.Sprintf("i-desk-%d", i), "desk", zoneNames[i%3]); err != nil {
			return outcome{}, err
		}
	}
	if err := w.startAll(); err != nil {
		return outcome{}, err
	}
	l.paths = []string{"/desk/"}
	stopping := w.nodes[0]
	l.nodes = w.nodes[1:]
	var toldAt time.Time
	l.during(func() {
		time.Sleep(4 * time.Second)
		toldAt = time.Now()
		if trouble {
			_ = stopping.cmd.Process.Signal(syscall.SIGTERM)
		}
		time.Sleep(3200 * time.Millisecond)
		var group sync.WaitGroup
		for n := range 8 {
			id := fmt.Sprintf("long%d", n)
			group.Go(func() { l.send(stopping, id, fmt.Sprint("/desk", longMark, n)) })
			time.Sleep(120 * time.Millisecond)
		}
		group.Wait()
	})
	result := outcome{lines: []string{fmt.Sprintf("%s gets SIGTERM (only with trouble); grace is %s; 3.2 to 4.2 s later 8 requests come that take %s", stopping.name, w.grace, longWork)}}
	ran := make(map[string]run)
	for _, r := range w.runs.all() {
		ran[r.id] = r
	}
	for _, a := range l.attempts {
		r, passedOn := ran[a.id]
		if a.node == stopping.name && passedOn && a.status == 0 && a.at.After(toldAt) {
			result.broken = append(result.broken, fmt.Sprintf("LOST: request %s, sent %.3f s after SIGTERM, was run by %s, and its connection ended %.3f s after SIGTERM without an answer: %s",
				a.id, a.at.Sub(toldAt).Seconds(), r.target, a.endedAt.Sub(toldAt).Seconds(), a.error))
		}
	}
	return result, nil
}
