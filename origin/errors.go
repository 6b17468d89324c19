package origin

import "github.com/joomcode/errorx"

var (
	errorSpace = errorx.NewNamespace("origin")

	// ErrUnreachable means that no byte of the request was sent.
	ErrUnreachable = errorSpace.NewType("unreached")
	// ErrConnectionLimit means that this instance has used up its connections to the
	// server; nothing was sent.
	ErrConnectionLimit = errorSpace.NewType("busy")
	// ErrResponseLost means that the request may have run and no whole answer came.
	ErrResponseLost = errorSpace.NewType("lost")
	// ErrTimeout means that no answer came in the time there was.
	ErrTimeout = errorSpace.NewType("overdue")
	// ErrCanceled means that the request was cancelled on this side.
	ErrCanceled = errorSpace.NewType("given_up")
)
