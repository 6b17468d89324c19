package socket

import "io"

// PruneIdle closes the idle connections for which keep returns false. It returns the
// remaining connections, in the array of the given slice, and the number of closed ones.
func PruneIdle[C io.Closer](idle []C, keep func(C) bool) (kept []C, closed int) {
	kept = idle[:0]
	for _, c := range idle {
		if keep(c) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	closed = len(idle) - len(kept)
	clear(idle[len(kept):])
	return kept, closed
}
