package gateway

import (
	"bufio"
	"bytes"
	"io"
	"sync"
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if c.hasPrefix && len(p) > 0 {
		p[0] = c.prefix[0]
		c.hasPrefix = false
		return 1, nil
	}
	return c.Conn.Read(p)
}

// acquireReader gives the connection a buffer.
func (c *conn) acquireReader() {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c)
	c.hold.Add(readBufferBytes)
}

// releaseReader takes the connection's buffer away and drops unread bytes. A buffer of the usual
// size returns to the pool.
func (c *conn) releaseReader() {
	if c.reader == nil {
		return
	}
	size := c.reader.Size()
	if size == readBufferBytes {
		c.reader.Reset(nil)
		readers.Put(c.reader)
	}
	c.reader = nil
	c.hold.Shrink(size)
}

// growReader replaces the buffer by one of a larger size with the same unread bytes. The
// size must have been added to the connection's hold.
func (c *conn) growReader(size int) {
	unread, _ := c.reader.Peek(c.reader.Buffered())
	source := io.MultiReader(bytes.NewReader(bytes.Clone(unread)), c)
	c.releaseReader()
	c.reader = bufio.NewReaderSize(source, size)
}

// shrinkReader gives back a buffer that grew, unless it holds unread bytes.
func (c *conn) shrinkReader() {
	if c.reader.Size() > readBufferBytes && c.reader.Buffered() == 0 {
		c.releaseReader()
		c.acquireReader()
	}
}
