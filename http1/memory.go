package http1

import "sync/atomic"

type (
	// Memory limits the bytes that the response bodies of a process hold together. It is
	// safe for concurrent use. A nil Memory has no limit.
	Memory struct {
		limit atomic.Int64
		used  atomic.Int64
	}

	// Hold is the part of a Memory that one response body holds. It is not safe for
	// concurrent use. A nil Hold has no limit.
	Hold struct {
		memory *Memory
		bytes  int64
	}
)

const (
	// smallBodyBytes is the size up to which a body may use all of the memory.
	smallBodyBytes = 256 << 10
	// largeBodiesShare is the part of the memory that larger bodies may use together,
	// as a divisor, so that a few endless ones leave room for the others.
	largeBodiesShare = 2
	// largestBodyShare is the part of the memory that one body may use, as a divisor.
	largestBodyShare = 8
)

// NewMemory returns a Memory with a limit in bytes.
func NewMemory(limit int64) *Memory {
	m := &Memory{}
	m.SetLimit(limit)
	return m
}

// SetLimit changes the limit, in bytes. Bodies that are held already keep their memory.
func (m *Memory) SetLimit(limit int64) {
	m.limit.Store(limit)
}

// Used returns the bytes that are held.
func (m *Memory) Used() int64 {
	return m.used.Load()
}

// Hold returns a Hold of zero bytes. It must be released.
func (m *Memory) Hold() *Hold {
	if m == nil {
		return nil
	}
	return &Hold{memory: m}
}

// Grow adds bytes to the hold and reports whether there is room for them.
func (h *Hold) Grow(bytes int) bool {
	if h == nil {
		return true
	}
	size := h.bytes + int64(bytes)
	limit := h.memory.limit.Load()
	if size > smallBodyBytes {
		if size > limit/largestBodyShare {
			return false
		}
		limit /= largeBodiesShare
	}
	if h.memory.used.Add(int64(bytes)) > limit {
		h.memory.used.Add(-int64(bytes))
		return false
	}
	h.bytes = size
	return true
}

// Release gives all bytes back. The hold can be used again.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.memory.used.Add(-h.bytes)
	h.bytes = 0
}
