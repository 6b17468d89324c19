package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// writeRecord writes what was done, sent, answered and run, with times since the start.
func writeRecord(path string, startedAt time.Time, trouble bool, w *world, l *load, result outcome) error {
	var out strings.Builder
	fmt.Fprintf(&out, "trouble: %v\n", trouble)
	for _, line := range append(result.lines, result.broken...) {
		fmt.Fprintln(&out, line)
	}
	fmt.Fprintln(&out, "\nsent and answered: time, id, node, path, status, signature, error")
	l.mu.Lock()
	attempts := slices.Clone(l.attempts)
	l.mu.Unlock()
	slices.SortFunc(attempts, func(a, b attempt) int { return a.at.Compare(b.at) })
	for _, a := range attempts {
		fmt.Fprintf(&out, "%7.3f %s %s %s %d %s %s\n", a.at.Sub(startedAt).Seconds(), a.id, a.node, a.path, a.status, a.signature, a.error)
	}
	fmt.Fprintln(&out, "\nrun: time, id, target, service, path")
	for _, r := range w.runs.all() {
		fmt.Fprintf(&out, "%7.3f %s %s %s %s\n", r.at.Sub(startedAt).Seconds(), r.id, r.target, r.service, r.uri)
	}
	return os.WriteFile(path, []byte(out.String()), 0o600)
}
