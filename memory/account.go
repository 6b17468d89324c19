// Package memory decides how much memory a process may hold for others: for callers whose
// requests and unread responses it keeps, and for backend servers whose responses it reads.
// It addresses untrusted clients, which send many large bodies at once, stall before the end of
// a body, or do not read responses: what does not fit is refused before it is read.
package memory

import (
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Kind is what memory is held for.
	Kind int

	// Limits are the limits of an Account, in bytes.
	Limits struct {
		// Total limits all kinds together, but no response is refused for what the others
		// hold: the request has been forwarded.
		Total int64
		// Responses limits the bodies of responses.
		Responses int64
	}

	// Usage is what an Account holds, and what it has refused.
	Usage struct {
		// Held has the bytes that are held for each kind.
		Held [Kinds]int64
		// Refused counts the refusals of each kind.
		Refused [Kinds]int64
		Limits  Limits
	}

	// Reclaimer frees memory that is held for somebody who makes no use of it. It returns
	// true if some is freed now or a moment later.
	Reclaimer func(kind Kind, bytes int64) bool

	// Account counts the memory that a process holds for others. It is safe for concurrent
	// use. A nil Account has no limits.
	Account struct {
		reclaimer atomic.Pointer[Reclaimer]

		mu    sync.Mutex
		usage Usage
		total int64
		// largest is the only large request body that may use the memory which large
		// bodies otherwise leave free; nil if none does.
		largest *Hold
	}

	// Hold is the memory that an Account holds for one purpose. It is safe for concurrent
	// use. A nil Hold has no limit.
	Hold struct {
		account *Account
		kind    Kind
		// bytes is guarded by the account's lock.
		bytes int64
	}
)

const (
	// Heads are requests from the end of their head to the end of their response, without
	// the bodies.
	Heads Kind = iota
	// RequestBodies are the bodies of callers' requests.
	RequestBodies
	// Responses are the bodies of backend servers' responses.
	Responses
	// ConnectionBuffers are open connections with their buffers.
	ConnectionBuffers
	// Kinds is the number of kinds.
	Kinds
)

const (
	// smallBodyBytes is the size up to which a body may use all of the memory.
	smallBodyBytes = 256 << 10
	// largeResponsesShare is the part of the memory of responses that the larger ones may
	// use together, as a divisor, so that a few endless ones leave room for the others.
	largeResponsesShare = 2
	// largestResponseShare is the part of it that one response may use, as a divisor.
	largestResponseShare = 8
	// bodyReserve is the part of the total that request bodies leave free, as a divisor, so
	// that requests without one always find room.
	bodyReserve = 16
	// largeBodiesPercent is the percentage of the total up to which several large request
	// bodies may fill it. One of them may go further.
	largeBodiesPercent = 75
	// retries and retryTime bound how long Grow waits for memory that is being freed.
	retries   = 5
	retryTime = 10 * time.Millisecond
)

var kindNames = [Kinds]string{"heads", "request_bodies", "responses", "connection_buffers"}

func (k Kind) String() string {
	return kindNames[k]
}

// NewAccount returns an Account that holds nothing.
func NewAccount(limits Limits) *Account {
	return &Account{usage: Usage{Limits: limits}}
}

// SetLimits changes the limits. What is held already stays held.
func (a *Account) SetLimits(limits Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.Limits = limits
}

// SetReclaimer sets the function that Grow calls if there is no room.
func (a *Account) SetReclaimer(reclaim Reclaimer) {
	if a != nil {
		a.reclaimer.Store(&reclaim)
	}
}

// Usage returns what is held.
func (a *Account) Usage() Usage {
	if a == nil {
		return Usage{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usage
}

// Excess returns by how many bytes the total exceeds its limit, which may have been
// lowered; zero if it does not.
func (a *Account) Excess() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(0, a.total-a.usage.Limits.Total)
}

// Hold returns a Hold of zero bytes. It must be released.
func (a *Account) Hold(kind Kind) *Hold {
	if a == nil {
		return nil
	}
	return &Hold{account: a, kind: kind}
}

// Grow adds bytes to the hold and reports whether there is room for them. If there is not,
// it has memory reclaimed and waits for a moment.
func (h *Hold) Grow(bytes int) bool {
	if h == nil || h.tryGrow(int64(bytes)) {
		return true
	}
	if reclaim := h.account.reclaimer.Load(); reclaim != nil && (*reclaim)(h.kind, int64(bytes)) {
		for range retries {
			if h.tryGrow(int64(bytes)) {
				return true
			}
			time.Sleep(retryTime)
		}
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.usage.Refused[h.kind]++
	return false
}

// Add adds bytes to the hold whether or not there is room for them. It is for memory that
// has a limit of its own, such as a number of connections.
func (h *Hold) Add(bytes int) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(int64(bytes))
}

// Shrink removes bytes from the hold.
func (h *Hold) Shrink(bytes int) {
	h.Add(-bytes)
}

// Release removes all bytes from the hold, which can be used again.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(-h.bytes)
	if h.account.largest == h {
		h.account.largest = nil
	}
}

// Bytes returns the size of the hold.
func (h *Hold) Bytes() int64 {
	if h == nil {
		return 0
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.bytes
}

func (h *Hold) tryGrow(bytes int64) bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.fits(bytes) {
		return false
	}
	h.add(bytes)
	return true
}

// add changes the size of the hold. The caller must hold the account's lock.
func (h *Hold) add(bytes int64) {
	h.bytes += bytes
	h.account.total += bytes
	h.account.usage.Held[h.kind] += bytes
}

// fits reports whether there is room for more bytes. The caller must hold the account's
// lock.
func (h *Hold) fits(bytes int64) bool {
	a := h.account
	size, total, limits := h.bytes+bytes, a.total+bytes, a.usage.Limits
	isLarge := size > smallBodyBytes
	switch {
	case h.kind == Responses && !isLarge:
		return a.usage.Held[Responses]+bytes <= limits.Responses
	case h.kind == Responses:
		return size <= limits.Responses/largestResponseShare && a.usage.Held[Responses]+bytes <= limits.Responses/largeResponsesShare
	case h.kind != RequestBodies:
		return total <= limits.Total
	case total > limits.Total-limits.Total/bodyReserve:
		return false
	case !isLarge || total <= limits.Total*largeBodiesPercent/100:
		return true
	case a.largest != nil && a.largest != h:
		return false
	}
	a.largest = h
	return true
}
