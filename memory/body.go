package memory

import "sync"

// Body is a message body in several segments, so that it need not be copied while it grows.
// It is not safe for concurrent use.
type Body struct {
	segments [][]byte
	pooled   []*segment
	length   int
}

type segment [segmentBytes]byte

const (
	segmentBytes = 64 << 10
	// firstSegmentBytes is the size of the first segment of a body of unknown length. Most
	// of these bodies are small.
	firstSegmentBytes = 4 << 10
)

var segments = sync.Pool{New: func() any { return new(segment) }}

// NewBody returns a body with one segment.
func NewBody(content []byte) *Body {
	b := &Body{}
	if len(content) > 0 {
		b.segments, b.length = [][]byte{content}, len(content)
	}
	return b
}

// Segments returns the content. They are valid until Release.
func (b *Body) Segments() [][]byte {
	if b == nil {
		return nil
	}
	return b.segments
}

// Len returns the length in bytes.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.length
}

// NextBytes returns how many bytes the next segment takes of a body of which an expected
// number of bytes is missing; a negative one means unknown.
func (b *Body) NextBytes(expected int) int {
	switch {
	case expected >= 0:
		return min(expected, segmentBytes)
	case len(b.segments) == 0:
		return firstSegmentBytes
	default:
		return segmentBytes
	}
}

// Allocate returns a buffer of a size that NextBytes has returned, to be filled and
// appended.
func (b *Body) Allocate(size int) []byte {
	if size < segmentBytes {
		return make([]byte, size)
	}
	s := segments.Get().(*segment)
	b.pooled = append(b.pooled, s)
	return s[:]
}

// Append appends the filled part of the buffer that Allocate returned last.
func (b *Body) Append(part []byte) {
	if len(part) > 0 {
		b.segments = append(b.segments, part)
		b.length += len(part)
	}
}

// Release gives the memory back. The segments must not be used any more.
func (b *Body) Release() {
	if b == nil {
		return
	}
	for _, s := range b.pooled {
		segments.Put(s)
	}
	b.segments, b.pooled, b.length = nil, nil, 0
}
