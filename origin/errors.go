package origin

import "github.com/joomcode/errorx"

var (
	errorSpace = errorx.NewNamespace("origin")

	// ErrUnreached means that no byte of the request was sent.
	ErrUnreached = errorSpace.NewType("unreached")
	// ErrLost means that the request may have run and no whole answer came.
	ErrLost = errorSpace.NewType("lost")
	// ErrOverdue means that no answer came in the time there was.
	ErrOverdue = errorSpace.NewType("overdue")
	// ErrGivenUp means that the request was cancelled on this side.
	ErrGivenUp = errorSpace.NewType("given_up")
)
