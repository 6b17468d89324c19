package main

import (
	"net/http"
	"time"
)

const (
	// spacedName is the name of a new tenant. A field of a head may hold it.
	spacedName = "Optica Sol"
	plainName  = "optica-sol"
	// inForceTime is when the new config must be in force; the bound is 2.5 s.
	inForceTime  = 6 * time.Second
	nameRequests = 10
)

// playName plays a change of the config that takes a key away and adds a tenant.
func playName(w *world) (bool, error) {
	s := shape{
		zones: []string{"sierra-a", "costa-a"}, targets: 4, slots: 9, work: 40 * time.Millisecond, body: 400,
		memoryMB: 284, maxFDs: 4100, timeout: 4 * time.Second, objective: 600 * time.Millisecond, maxConns: 360,
	}
	if err := w.start(s); err != nil {
		return false, err
	}
	w.note("version %d is in force", firstVersion)
	if w.ask("key-a", http.StatusOK) > 0 || w.ask("key-b", http.StatusOK) > 0 {
		return false, errNoCalls
	}
	name := plainName
	if w.trouble {
		name = spacedName
	}
	w.store.put("op", "config", s.config(firstVersion+12, map[string]string{"tenant-a": "key-a", name: "key-c"}))
	w.note("version %d is confirmed by the store at %s: tenant-b is removed with its key, tenant %q is added", firstVersion+12, time.Now().Format("15:04:05.000"), name)
	time.Sleep(inForceTime)
	stale := w.ask("key-b", http.StatusUnauthorized) + w.ask("key-c", http.StatusOK)
	w.note("requests handled as only version %d allows: %d of %d (allowed 0)", firstVersion, stale, 2*nameRequests*len(w.nodes))
	return stale > 0, nil
}

// ask sends requests with a key to all instances, and returns how many got another status than
// they should.
func (w *world) ask(key string, want int) int {
	wrong := 0
	for _, n := range w.nodes {
		u := &user{node: n.front, path: "/hold/17", budget: holdBudget, key: key}
		for range nameRequests {
			c := u.send()
			w.note("key %s:", key)
			w.noteCall(c, w.runs.of(c.id))
			if c.status != want {
				wrong++
			}
		}
		u.close()
	}
	return wrong
}
