package gateway

import (
	"time"

	"github.com/bulrushferry/bulrushferry/socket"
)

// The methods in this file close a connection for the sake of others. Each decides and acts in
// one step under the connection's lock, and does neither while that is held: then the
// connection is in use. Only a response that is being written, whose writer holds the lock, is
// taken from the writer instead.

// closeIfIdle closes a connection that has been idle for some time, unless bytes of a request
// have arrived.
func (c *conn) closeIfIdle(now time.Time, minIdle time.Duration) bool {
	if !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	ended, ok := c.state.withIdleEnded()
	if !ok || now.Sub(c.lastProgress()) < minIdle || socket.HasUnread(c.Conn) {
		return false
	}
	c.state = ended
	_ = c.Close()
	return true
}

// closeIfLingering closes a connection whose last response has been written, unless bytes have
// arrived, which would cause a reset.
func (c *conn) closeIfLingering() {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	if c.state.phase == phaseLingering && c.state.isIdle() && !socket.HasUnread(c.Conn) {
		_ = c.Close()
	}
}

// closeIfStalled closes a connection whose only request has stopped to arrive.
func (c *conn) closeIfStalled(now time.Time) bool {
	if !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	ended, ok := c.state.withReadingAbandoned()
	if !ok || now.Sub(c.lastProgress()) < stallTime {
		return false
	}
	c.state = ended
	_ = c.Close()
	return true
}

// closeIfUnread closes a connection that still waits for the caller to read a response.
func (c *conn) closeIfUnread(w *responseWrite) bool {
	if !c.writing.CompareAndSwap(w, nil) {
		return false
	}
	_ = c.Close()
	return true
}

// refuseIfStalled ends the reading of a request that has stopped to arrive, which is then
// refused.
func (c *conn) refuseIfStalled(now time.Time) bool {
	if !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	if !c.state.reading || c.reclaimed || now.Sub(c.lastProgress()) < stallTime {
		return false
	}
	c.reclaimed = true
	_ = c.SetReadDeadline(now)
	return true
}
