package caller

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

// Job is one checked request on its way to a backend server.
type Job struct {
	ID        string
	Service   string
	Workspace string
	Weight    int
	Once      bool
	// Action is the Idempotency-Key of a request that may run once.
	Action string
	// Deadline is when the caller stops waiting, by this process's clock.
	Deadline    clock.Millis
	Fingerprint []byte
	// Admitted is set once the workspace's token is taken.
	Admitted bool
	// Forwarded is set for a job that must not be passed on to another peer.
	Forwarded bool
	// KeyHash is set while the caller's key has to be checked again.
	KeyHash *KeyHash
	Request *fasthttp.Request
}

// WithAdmitted returns a copy that holds its workspace's token.
func (j Job) WithAdmitted() Job {
	j.Admitted = true
	return j
}

// WithoutAction returns a copy that runs without asking the table of actions,
// for a peer whose caller has done so.
func (j Job) WithoutAction() Job {
	j.Action = ""
	return j
}

// toWire describes the job for a peer.
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
