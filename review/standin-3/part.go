package main

import (
	"strings"
	"time"
)

const (
	// draftPart is the part in which the operator keeps what is not in force.
	draftPart    = "draft"
	partRequests = 40
	partTime     = 10 * time.Second
)

// playPart plays an operator who keeps the draft of a config in the table op, in a part of its
// own. The draft would send the route to another service; it is never stored as op/config.
func playPart(w *world) (bool, error) {
	s := shape{
		zones: []string{"sierra-a", "costa-a"}, targets: 4, orderTargets: 2, slots: 9, work: 40 * time.Millisecond, body: 400,
		memoryMB: 284, maxFDs: 4100, timeout: 4 * time.Second, objective: 600 * time.Millisecond, maxConns: 360,
	}
	if err := w.start(s); err != nil {
		return false, err
	}
	w.note("op/config: version %d sends /hold/ to the service holds", firstVersion)
	before, answered := w.misrouted(5)
	if answered == 0 {
		return false, errNoCalls
	}
	draft := s.configTo("orders", firstVersion+12, map[string]string{"tenant-a": "key-a", "tenant-b": "key-b"})
	key := "draft-config"
	if w.trouble {
		key = "config"
	}
	w.store.putIn("op", draftPart, key, draft)
	w.note("a draft is stored at %s: table op, part %q, key %q, version %d", time.Now().Format("15:04:05.000"), draftPart, key, firstVersion+12)
	time.Sleep(partTime / 2)
	after, _ := w.misrouted(partRequests)
	w.note("requests that ran at a service to which no config in op/config sends them: %d before the draft, %d after (allowed 0)", before, after)
	return before+after > 0, nil
}

// misrouted sends requests to all instances, and returns how many ran at the service orders, and
// how many were answered.
func (w *world) misrouted(count int) (wrong, answered int) {
	for _, n := range w.nodes {
		u := &user{node: n.front, path: "/hold/17", budget: holdBudget, key: "key-a"}
		for range count {
			c := u.send()
			runs := w.runs.of(c.id)
			w.noteCall(c, runs)
			for _, r := range runs {
				if strings.HasPrefix(r.target, "i-b2") {
					wrong++
				}
			}
			if c.status > 0 {
				answered++
			}
		}
		u.close()
	}
	return wrong, answered
}
