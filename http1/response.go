// Package http1 reads HTTP/1.1 responses from servers that may send anything: heads and
// bodies without end, endless interim responses, or bytes that are no response.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

type (
	// ResponseReader reads the responses on one connection, one after the other. It is
	// not safe for concurrent use.
	ResponseReader struct {
		source io.Reader
		buffer *bufio.Reader
	}

	// Framing tells how the end of a response's body is found.
	Framing int
)

const (
	// NoBody means that the response has no body.
	NoBody Framing = iota
	// FixedLength means that the head states the length of the body.
	FixedLength
	// Chunked means that the body has the chunked transfer coding.
	Chunked
	// UntilClose means that the body ends with the connection.
	UntilClose
)

const (
	// BufferBytes is the size of a connection's read buffer, and of the usual heads.
	BufferBytes = 4 << 10
	// maxHeadBytes limits the head of a response, and its trailer.
	maxHeadBytes = 64 << 10
	// maxInterimResponses limits the 1xx responses before the final one.
	maxInterimResponses = 8
	// maxBodyBytes limits the body of a response whatever memory there is.
	maxBodyBytes = 64 << 20
	// firstBodyBytes is how much memory a body of unknown length gets first.
	firstBodyBytes = 16 << 10

	// fasthttp gives these content lengths to chunked bodies and to those that end with
	// the connection.
	chunkedLength    = -1
	untilCloseLength = -2
)

var (
	errorSpace = errorx.NewNamespace("http1")

	// ErrTooLarge means that the response exceeds a limit. The connection must be closed.
	ErrTooLarge = errorSpace.NewType("too_large")

	// ErrFraming means that the end of the response cannot be known.
	ErrFraming = errorSpace.NewType("framing")
)

// NewResponseReader returns a reader of the responses on a connection.
func NewResponseReader(source io.Reader) *ResponseReader {
	return &ResponseReader{source: source, buffer: bufio.NewReaderSize(source, BufferBytes)}
}

// Buffered returns the number of bytes that were received and belong to no response yet.
func (r *ResponseReader) Buffered() int {
	return r.buffer.Buffered()
}

// ReadHead reads the head of the next final response and skips interim ones.
func (r *ResponseReader) ReadHead(response *fasthttp.Response) error {
	for range maxInterimResponses {
		if err := r.readHead(response); err != nil {
			return err
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return ErrTooLarge.New("more than %d interim responses", maxInterimResponses)
}

// readHead reads one head. Its buffer grows only for a head that needs it.
func (r *ResponseReader) readHead(response *fasthttp.Response) error {
	return r.withLargeBuffer("head", func() error {
		if err := r.checkLines(headCheck{expects: statusLine}); err != nil {
			return err
		}
		return response.Header.Read(r.buffer)
	})
}

// checkLines checks the lines of a head or a trailer up to its end. It leaves all bytes in the
// buffer.
func (r *ResponseReader) checkLines(check headCheck) error {
	checked := 0
	for wanted := 1; ; wanted = r.buffer.Buffered() + 1 {
		_, err := r.buffer.Peek(wanted)
		received, _ := r.buffer.Peek(r.buffer.Buffered())
		taken, ended, invalid := check.nextLines(received[checked:])
		if ended || invalid != nil {
			return invalid
		}
		checked += taken
		if errors.Is(err, io.EOF) && len(received) > 0 {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}

// withLargeBuffer calls a function that parses the buffered bytes, and calls it again
// with a buffer of maxHeadBytes if it needs one.
func (r *ResponseReader) withLargeBuffer(part string, parse func() error) error {
	err := parse()
	if !isSmallBuffer(err) {
		return err
	}
	r.grow()
	if err = parse(); isSmallBuffer(err) {
		return ErrTooLarge.New("the response's %s has more than %d bytes", part, maxHeadBytes)
	}
	return err
}

func isSmallBuffer(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	return errors.Is(err, bufio.ErrBufferFull) || errors.As(err, &small)
}

// grow replaces the buffer by a larger one with the same unread bytes.
func (r *ResponseReader) grow() {
	unread, _ := r.buffer.Peek(r.buffer.Buffered())
	source := io.MultiReader(bytes.NewReader(bytes.Clone(unread)), r.source)
	r.buffer = bufio.NewReaderSize(source, maxHeadBytes)
}

// Shrink gives back a buffer that grew, unless it holds unread bytes.
func (r *ResponseReader) Shrink() {
	if r.buffer.Size() > BufferBytes && r.buffer.Buffered() == 0 {
		r.buffer = bufio.NewReaderSize(r.source, BufferBytes)
	}
}

// ReadResponse reads the next final response with its body. head is set if it answers a HEAD
// request.
func ReadResponse(r *ResponseReader, response *fasthttp.Response, head bool) error {
	if err := r.ReadHead(response); err != nil {
		return err
	}
	return r.ReadBody(response, FramingOf(response, head), nil)
}

// FramingOf returns how the body of a response ends. head is set if the response answers a
// HEAD request.
func FramingOf(response *fasthttp.Response, head bool) Framing {
	status := response.StatusCode()
	switch {
	case head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		return NoBody
	case response.Header.ContentLength() == chunkedLength:
		return Chunked
	case response.Header.ContentLength() == untilCloseLength:
		return UntilClose
	default:
		return FixedLength
	}
}

// ReadBody reads the body of the response whose head was read last. Each part is added to
// hold before it is kept.
func (r *ResponseReader) ReadBody(response *fasthttp.Response, framing Framing, hold *memory.Hold) error {
	if framing != Chunked {
		return readBody(response, r.buffer, framing, hold)
	}
	if err := readBody(response, httputil.NewChunkedReader(r.buffer), framing, hold); err != nil {
		return err
	}
	return r.readTrailer(response)
}

// readBody reads a body that ends as its framing says. A chunked one comes without the framing
// of the chunks.
func readBody(response *fasthttp.Response, body io.Reader, framing Framing, hold *memory.Hold) error {
	switch framing {
	case FixedLength:
		return readFixedBody(response, body, hold)
	case Chunked, UntilClose:
		return copyBody(response, body, hold)
	default:
		return nil
	}
}

// readTrailer reads the fields after a chunked body and drops them: in the response, fasthttp
// would not tell them from those of the head.
func (r *ResponseReader) readTrailer(response *fasthttp.Response) error {
	_ = response.Header.SetTrailer("")
	return r.withLargeBuffer("trailer", func() error {
		if err := r.checkLines(headCheck{expects: fieldLine}); err != nil {
			return err
		}
		var dropped fasthttp.ResponseHeader
		return dropped.ReadTrailer(r.buffer)
	})
}

// readFixedBody reads a body of a known length into a buffer of that length.
func readFixedBody(response *fasthttp.Response, body io.Reader, hold *memory.Hold) error {
	length := response.Header.ContentLength()
	if length == 0 {
		return nil
	}
	if int64(length) > maxBodyBytes {
		return ErrTooLarge.New("the response's body has %d bytes, more than %d", length, int64(maxBodyBytes))
	}
	if !hold.Grow(length) {
		return ErrTooLarge.New("there is no memory for the response's body of %d bytes", length)
	}
	out := make([]byte, length)
	if _, err := io.ReadFull(body, out); err != nil {
		return err
	}
	response.SetBodyRaw(out)
	return nil
}

// copyBody sets the body of a response to what a reader delivers up to its end. The memory
// is added to hold before it is allocated.
func copyBody(response *fasthttp.Response, body io.Reader, hold *memory.Hold) error {
	var out []byte
	for {
		if len(out) == cap(out) {
			grown := growBody(out, hold)
			if grown == nil || len(out) > maxBodyBytes {
				return ErrTooLarge.New("there is no memory for the response's body after %d bytes", len(out))
			}
			out = grown
		}
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			response.SetBodyRaw(out)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// growBody returns a copy of a body with more capacity, by half or by as much as there is room
// for, or nil if there is no room.
func growBody(body []byte, hold *memory.Hold) []byte {
	for more := max(cap(body)/2, firstBodyBytes); more >= firstBodyBytes; more /= 2 {
		if hold.Grow(more) {
			return append(make([]byte, 0, cap(body)+more), body...)
		}
	}
	return nil
}
