// Package backend speaks to backend servers: it chooses one for each request,
// keeps within the units that this instance holds, and checks the answers.
package backend

import "github.com/joomcode/errorx"

var (
	errorSpace = errorx.NewNamespace("backend")

	// ErrNotSent means that no byte of the request can have reached a server.
	ErrNotSent = errorSpace.NewType("not_sent")
	// ErrDeclined means that the server itself refused to run the request.
	ErrDeclined = errorSpace.NewType("declined")
	// ErrConnectionLost means that the connection ended before the whole answer came.
	ErrConnectionLost = errorSpace.NewType("connection_lost")
	// ErrTimeout means that no whole answer came in time.
	ErrTimeout = errorSpace.NewType("timeout", errorx.Timeout())
	// ErrMismatchedResponse means that the answer belongs to another request.
	ErrMismatchedResponse = errorSpace.NewType("foreign_answer")
	// ErrNoCapacity means that no server had room before the deadline.
	ErrNoCapacity = errorSpace.NewType("no_capacity")
	// ErrQuarantined means that the request has crashed backend servers.
	ErrQuarantined = errorSpace.NewType("quarantined")
)
