// Package peer speaks to the other entry instances over QUIC: it keeps the
// fleet's state in force, its slots held, and its rates lent where they are
// needed.
package peer

import "github.com/joomcode/errorx"

var (
	errorSpace = errorx.NewNamespace("peer")

	// ErrUnreachable means that no byte of a call can have been handled.
	ErrUnreachable = errorSpace.NewType("unreachable", errorx.Temporary())
	// ErrNoAnswer means that a call may have been handled.
	ErrNoAnswer = errorSpace.NewType("no_answer", errorx.Timeout())
	// ErrRefused means that the peer answered with an error.
	ErrRefused = errorSpace.NewType("refused")
	// ErrTLS means that the TLS settings cannot be used.
	ErrTLS = errorSpace.NewType("tls")
	// ErrListen means that the peer address cannot be served.
	ErrListen = errorSpace.NewType("listen")
)
