package origin

import "github.com/joomcode/errorx"

var (
	errorSpace = errorx.NewNamespace("origin")

	// ErrUnreachable means that no byte of the request was sent.
	ErrUnreachable = errorSpace.NewType("unreached")
	// ErrConnectionLimit means that this instance has no connection left to the
	// server; nothing was sent.
	ErrConnectionLimit = errorSpace.NewType("busy")
	// ErrWithheld means that the request was no longer allowed to be sent when a
	// connection was ready; nothing was sent.
	ErrWithheld = errorSpace.NewType("withheld")
	// ErrResponseLost means that no complete, valid response was received. The
	// request may have run.
	ErrResponseLost = errorSpace.NewType("lost")
	// ErrTimeout means that no complete response was received in time. The request
	// may have run.
	ErrTimeout = errorSpace.NewType("overdue")
	// ErrCanceled means that the request's context ended. The request may have run.
	ErrCanceled = errorSpace.NewType("given_up")
)
