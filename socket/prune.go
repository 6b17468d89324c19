package socket

import "io"

// KeepIdle closes the idle connections of a list that are not wanted. It returns
// the others, in the list's own memory, and the number of those closed.
func KeepIdle[C io.Closer](idle []C, wanted func(C) bool) (kept []C, closed int) {
	kept = idle[:0]
	for _, c := range idle {
		if wanted(c) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	closed = len(idle) - len(kept)
	clear(idle[len(kept):])
	return kept, closed
}
