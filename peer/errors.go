package peer

import "github.com/joomcode/errorx"

var (
	errorSpace = errorx.NewNamespace("peer")

	// ErrUnreachable means that the peer cannot have handled the call.
	ErrUnreachable = errorSpace.NewType("unreachable", errorx.Temporary())
	// ErrNoResponse means that no response came and the peer may have handled the call.
	ErrNoResponse = errorSpace.NewType("no_answer", errorx.Timeout())
	// ErrRefused means that the peer responded with an error.
	ErrRefused = errorSpace.NewType("refused")
	// ErrTLS means that a certificate or the TLS settings cannot be used.
	ErrTLS = errorSpace.NewType("tls")
	// ErrListen means that the peer address cannot be listened on.
	ErrListen = errorSpace.NewType("listen")
)
