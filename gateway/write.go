package gateway

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/bulrushferry/bulrushferry/socket"
)

type (
	// responseWrite is a response that is being written, as of the last progress.
	responseWrite struct {
		since time.Time
		bytes int
		// isLast is set if no other request is pending behind it.
		isLast bool
	}

	// writeProgress tells a caller that reads slowly from one that does not read.
	writeProgress struct {
		at time.Time
		// delivered is how many bytes had been delivered at that time.
		delivered int
	}
)

const (
	// writeTimeout is how long the caller may take to read progressBytes of a response.
	writeTimeout = 5 * time.Second
	// writeCheckInterval is how often the progress of a write is looked at.
	writeCheckInterval = 250 * time.Millisecond
)

// send writes a response to the connection, for as long as the caller reads. It fails if the
// connection was closed meanwhile because the caller did not. The caller must hold the lock.
func (c *conn) send(x *Exchange, closeAfter bool) error {
	c.writtenAt = time.Now()
	head, body := encodeResponse(x, closeAfter)
	w := &responseWrite{since: c.writtenAt, bytes: len(body), isLast: c.state.pending == 1}
	c.writing.Store(w)
	progress := writeProgress{at: c.writtenAt}
	for written := 0; ; {
		_ = c.SetWriteDeadline(time.Now().Add(writeCheckInterval))
		n, err := c.writeFrom(head, body, written)
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c.endWrite(w, err)
		}
		now := time.Now()
		if progress = progress.after(now, c.delivered(written)); now.Sub(progress.at) >= writeTimeout {
			return c.endWrite(w, err)
		}
		next := &responseWrite{since: progress.at, bytes: w.bytes, isLast: w.isLast}
		if !c.writing.CompareAndSwap(w, next) {
			return errUnread.New("the response was not read, and its memory was needed")
		}
		w = next
	}
}

// after returns the progress with what has been delivered at a time.
func (p writeProgress) after(now time.Time, delivered int) writeProgress {
	if delivered < p.delivered+progressBytes {
		return p
	}
	return writeProgress{at: now, delivered: delivered}
}

// delivered returns how many of the bytes written the caller's machine has taken, or all where
// that is not known.
func (c *conn) delivered(written int) int {
	return written - min(socket.Unsent(c.Conn), written)
}

// endWrite ends a write with its error, or with another one if the connection was closed
// meanwhile.
func (c *conn) endWrite(w *responseWrite, err error) error {
	if !c.writing.CompareAndSwap(w, nil) {
		return errUnread.New("the response was not read, and its memory was needed")
	}
	return err
}

// writeFrom writes what follows the first bytes of a head and a body.
func (c *conn) writeFrom(head, body []byte, written int) (int, error) {
	if written >= len(head) {
		return c.Write(body[written-len(head):])
	}
	if len(body) == 0 {
		return c.Write(head[written:])
	}
	n, err := socket.WriteBuffers(c.Conn, net.Buffers{head[written:], body})
	return int(n), err
}
