package caller

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

// Job is a validated request of a caller, to be run on a backend server.
type Job struct {
	ID        string
	Service   string
	Workspace string
	// Weight is the workspace's weight in the service's queue.
	Weight int
	// Once is set if the request may run at most once.
	Once bool
	// Action is the Idempotency-Key of a request that may run at most once. It is empty
	// if the action table need not be consulted.
	Action string
	// Deadline is when the caller stops waiting, by this process's clock.
	Deadline clock.Millis
	// Fingerprint is equal for requests with the same content.
	Fingerprint []byte
	// Admitted is set once the request has passed the workspace's rate limit.
	Admitted bool
	// Forwarded is set for a job received from a peer. It is not forwarded again.
	Forwarded bool
	// KeyHash is the hash of the caller's key, which is checked again before the
	// request is sent. It is nil for requests without a key and for forwarded ones.
	KeyHash *KeyHash
	Request *fasthttp.Request
}

// WithAdmitted returns a copy that has passed its workspace's rate limit.
func (j Job) WithAdmitted() Job {
	j.Admitted = true
	return j
}

// WithoutAction returns a copy that a peer runs without consulting its action table.
// The table of this instance has already allowed the action to run.
func (j Job) WithoutAction() Job {
	j.Action = ""
	return j
}

// toWire converts the job to the message that forwards it to a peer.
func (j Job) toWire(now clock.Millis) *wire.Forward {
	return &wire.Forward{
		RequestId:   j.ID,
		Service:     j.Service,
		Workspace:   j.Workspace,
		Action:      j.Action,
		DeadlineMs:  int64(max(j.Deadline-now, 0)),
		Request:     encodeRequest(j.Request),
		Admitted:    j.Admitted,
		Fingerprint: j.Fingerprint,
		Once:        j.Once,
	}
}
