package backend

import "github.com/joomcode/errorx"

var (
	errorSpace = errorx.NewNamespace("backend")

	// ErrNotSent means that no byte of the request can have reached a server.
	ErrNotSent = errorSpace.NewType("not_sent")
	// ErrDeclined means that the server refused to run the request.
	ErrDeclined = errorSpace.NewType("declined")
	// ErrConnectionLost means that the connection failed, or that the response was
	// malformed, too large or without a length. The request may have run.
	ErrConnectionLost = errorSpace.NewType("connection_lost")
	// ErrTimeout means that no complete response was read in time. The request
	// may have run.
	ErrTimeout = errorSpace.NewType("timeout", errorx.Timeout())
	// ErrMismatchedResponse means that the response names another request.
	ErrMismatchedResponse = errorSpace.NewType("foreign_answer")
	// ErrNoCapacity means that no server had a free slot before the deadline, or
	// that the queue was full.
	ErrNoCapacity = errorSpace.NewType("no_capacity")
	// ErrQuarantined means that the request has crashed backend servers before.
	ErrQuarantined = errorSpace.NewType("quarantined")
)
