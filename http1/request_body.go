package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/bulrushferry/bulrushferry/memory"
)

// RequestBody says how the body of a request is read.
type RequestBody struct {
	// Length is the length that the head states; negative if the body is chunked.
	Length int
	// MaxBytes limits the length.
	MaxBytes int
	// Hold is where the body's memory is counted before it is read.
	Hold *memory.Hold
	// OnRead is called with the number of bytes after each read.
	OnRead func(bytes int)
}

// ErrNoMemory means that there is no memory for a request's body. Nothing more is read of it.
var ErrNoMemory = errorSpace.NewType("no_memory")

// Reserve adds a body of known length to the hold. It returns ErrTooLarge or ErrNoMemory if
// the body must not be read.
func (r RequestBody) Reserve() error {
	if r.Length > r.MaxBytes {
		return ErrTooLarge.New("the request's body has %d bytes, more than %d", r.Length, r.MaxBytes)
	}
	if r.Length > 0 && !r.Hold.Grow(r.Length) {
		return ErrNoMemory.New("there is no memory for a request's body of %d bytes", r.Length)
	}
	return nil
}

// Read reads the body, for which Reserve must have succeeded. Of a chunked one, the trailer
// is left unread. It returns ErrTooLarge, ErrNoMemory or the error of a read, and the part
// that was read, which must be released.
func (r RequestBody) Read(reader *bufio.Reader) (*memory.Body, error) {
	body := &memory.Body{}
	if r.Length < 0 {
		return body, r.readChunked(httputil.NewChunkedReader(reader), body)
	}
	for body.Len() < r.Length {
		part := body.Allocate(body.NextBytes(r.Length - body.Len()))
		n, err := r.fill(reader, part)
		body.Append(part[:n])
		if errors.Is(err, io.EOF) {
			return body, io.ErrUnexpectedEOF
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// readChunked reads a chunked body. Each segment is added to the hold before it is
// allocated.
func (r RequestBody) readChunked(chunks io.Reader, body *memory.Body) error {
	for {
		size := body.NextBytes(-1)
		if !r.Hold.Grow(size) {
			return ErrNoMemory.New("there is no memory for a request's body after %d bytes", body.Len())
		}
		part := body.Allocate(size)
		n, err := r.fill(chunks, part)
		body.Append(part[:n])
		if body.Len() > r.MaxBytes {
			return ErrTooLarge.New("the request's body has more than %d bytes", r.MaxBytes)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// fill reads until the part is full or a read fails.
func (r RequestBody) fill(reader io.Reader, part []byte) (int, error) {
	filled := 0
	for filled < len(part) {
		n, err := reader.Read(part[filled:])
		filled += n
		if r.OnRead != nil {
			r.OnRead(n)
		}
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}
