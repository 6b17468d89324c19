package caller

import (
	"context"
	"sync/atomic"

	"github.com/bulrushferry/bulrushferry/backend"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/once"
	"github.com/bulrushferry/bulrushferry/peer"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

type (
	// ExecutorConfig configures an Executor.
	ExecutorConfig struct {
		Clock       clock.Clock
		Fleet       *peer.Fleet
		RateLimiter *peer.RateLimiter
		Network     peer.Network
		Pool        *backend.Pool
		Actions     *once.Table
		Claimer     *once.Claimer
		Keys        *KeyIndex
		LinkLimiter *LinkLimiter
		Log         hclog.Logger
	}

	// Executor runs jobs on local backend servers or forwards them to peers. It
	// implements peer.Executor.
	Executor struct {
		config ExecutorConfig
		ramps  *shiftRamps
		// stopsAt is when requests that still run are cut off, by the config's clock; zero
		// while the instance is not stopping.
		stopsAt atomic.Int64
	}
)

var (
	errorSpace = errorx.NewNamespace("caller")

	errNoAuthority  = errorSpace.NewType("no_authority")
	errKeyWithdrawn = errorSpace.NewType("key_withdrawn")
	errStopping     = errorSpace.NewType("stopping")
)

// NewExecutor returns an executor.
func NewExecutor(config ExecutorConfig) *Executor {
	return &Executor{config: config, ramps: newShiftRamps()}
}

// StopIn announces that requests that still run after a time will be cut off. Jobs whose
// deadline is later are refused from now on.
func (e *Executor) StopIn(after clock.Millis) {
	e.stopsAt.Store(int64(e.config.Clock.Now() + after))
}

// checkStop returns an error if the instance stops before a job's deadline, so that the job
// might still run then.
func (e *Executor) checkStop(job Job) error {
	stopsAt := clock.Millis(e.stopsAt.Load())
	if stopsAt == 0 || job.Deadline <= stopsAt {
		return nil
	}
	e.config.Log.Info("request refused, since this instance stops before its deadline", "request", job.ID, "service", job.Service,
		"left_ms", int64(job.Deadline-e.config.Clock.Now()), "stops_in_ms", int64(stopsAt-e.config.Clock.Now()))
	return errStopping.New("this instance stops before the deadline of the request")
}

// Execute runs a job and returns its result. A job with an action runs at most once.
func (e *Executor) Execute(ctx context.Context, job Job) Result {
	if job.Action != "" {
		return e.executeOnce(ctx, job)
	}
	return e.admitAndRun(ctx, job)
}

// admitAndRun checks this instance's authority and the workspace's rate limit, and runs
// the job here or at a peer.
func (e *Executor) admitAndRun(ctx context.Context, job Job) Result {
	if !e.config.Fleet.HasAuthority() {
		return noAuthority()
	}
	if err := e.checkStop(job); err != nil {
		return resultFromBackend(backend.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: err})
	}
	if !job.Admitted && job.Workspace != "" && !e.config.RateLimiter.Admit(ctx, job.Workspace) {
		return notRun(CodeRateLimited, "workspace "+job.Workspace+" is over its rate")
	}
	job = job.WithAdmitted()
	if member, ok := e.forwardTarget(job).Get(); ok {
		return e.forward(ctx, job.WithoutAction(), member)
	}
	return e.runLocally(ctx, job)
}

// runLocally runs a job on a backend server on which this instance has a share of the
// slots.
func (e *Executor) runLocally(ctx context.Context, job Job) Result {
	response := fasthttp.AcquireResponse()
	result := e.config.Pool.Run(ctx, &backend.Call{
		ID:          job.ID,
		Service:     job.Service,
		Workspace:   job.Workspace,
		Weight:      job.Weight,
		Once:        job.Once,
		Deadline:    job.Deadline,
		Fingerprint: job.Fingerprint,
		Request:     job.Request,
		Response:    response,
		BeforeSend:  func() error { return e.checkBeforeSend(job) },
	})
	if result.Outcome == wire.Outcome_OUTCOME_DONE {
		return Result{Outcome: wire.Outcome_OUTCOME_DONE, Response: response}
	}
	fasthttp.ReleaseResponse(response)
	return resultFromBackend(result)
}

// checkBeforeSend repeats the checks of the authority, the key and a planned stop right before a
// request is sent, because the request may have been queued or this process may have been
// paused since the first check.
func (e *Executor) checkBeforeSend(job Job) error {
	if !e.config.Fleet.HasAuthority() {
		return errNoAuthority.New("authority was lost while the request waited")
	}
	if err := e.checkStop(job); err != nil {
		return err
	}
	if job.KeyHash == nil {
		return nil
	}
	if _, ok := e.config.Keys.workspace(e.config.Fleet.State(), *job.KeyHash); !ok {
		return errKeyWithdrawn.New("the key was withdrawn while the request waited")
	}
	return nil
}

// resultFromBackend converts the result of a failed call to a backend server. Its error
// must not be nil.
func resultFromBackend(failed backend.Result) Result {
	result := Result{Outcome: failed.Outcome, Code: CodeBackendFailed, Message: failed.Err.Error()}
	switch {
	case errorx.IsOfType(failed.Err, errNoAuthority):
		result.Code = CodeNoAuthority
	case errorx.IsOfType(failed.Err, errStopping):
		result.Code = CodeStopping
	case errorx.IsOfType(failed.Err, errKeyWithdrawn):
		result.Code = CodeInvalidKey
	case errorx.IsOfType(failed.Err, backend.ErrNoCapacity):
		result.Code = CodeNoCapacity
	case errorx.IsOfType(failed.Err, backend.ErrQuarantined):
		result.Code = CodeQuarantined
	}
	return result
}

// forward runs a job at a peer. If the peer cannot be reached, the job was not run. If
// its response is lost, the outcome is unknown.
func (e *Executor) forward(ctx context.Context, job Job, member peer.Member) Result {
	now := e.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, (job.Deadline - now).Duration())
	defer cancel()
	message := job.toWire(now)
	message.FromRegion = e.config.Fleet.Region()
	if err := e.config.LinkLimiter.Wait(ctx, member.Seat.GetRegion(), len(message.GetRequest())); err != nil {
		return notRun(CodeNoCapacity, err.Error())
	}
	if err := e.checkBeforeSend(job); err != nil {
		return resultFromBackend(backend.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: err})
	}
	response, err := e.config.Network.Call(ctx, member.Seat.GetPeerAddress(), &wire.PeerRequest{
		Body: &wire.PeerRequest_Forward{Forward: message},
	})
	if errorx.IsOfType(err, peer.ErrUnreachable) {
		return notRun(CodeNoCapacity, "the peer that was to run the request cannot be reached")
	}
	if err != nil {
		return outcomeUnknown(CodeBackendFailed, "the peer that was to run the request gave no answer")
	}
	return resultFromPeer(job, response.GetForward())
}

// resultFromPeer converts a peer's response to a forwarded job.
func resultFromPeer(job Job, peerResponse *wire.ForwardAnswer) Result {
	if peerResponse.GetRequestId() != job.ID {
		return outcomeUnknown(CodeBackendFailed, "the peer answered another request")
	}
	result := Result{Outcome: peerResponse.GetOutcome(), Code: Code(peerResponse.GetReason())}
	if len(peerResponse.GetResponse()) == 0 {
		result.Message = "refused by the peer that was to run the request"
		return result
	}
	response, err := decodeResponse(peerResponse.GetResponse())
	if err != nil {
		return outcomeUnknown(CodeBackendFailed, "the peer's answer cannot be read")
	}
	result.Response = response
	return result
}

// RunForwarded implements peer.Executor. It does not run the request if the link to the
// sender's region has no capacity left for the response.
func (e *Executor) RunForwarded(ctx context.Context, forward *wire.Forward) *wire.ForwardAnswer {
	request, err := decodeRequest(forward.GetRequest())
	if err != nil {
		return forwardResponse(forward.GetRequestId(), notRun(CodeBadRequest, "the passed on request cannot be read"))
	}
	defer fasthttp.ReleaseRequest(request)
	if !e.config.LinkLimiter.HasCapacity(forward.GetFromRegion()) {
		return forwardResponse(forward.GetRequestId(), e.refuseLinkFull(forward))
	}
	result := e.Execute(ctx, Job{
		ID:          forward.GetRequestId(),
		Service:     forward.GetService(),
		Workspace:   forward.GetWorkspace(),
		Weight:      workspaceWeight(e.config.Fleet.State(), forward.GetWorkspace()),
		Once:        forward.GetOnce(),
		Action:      forward.GetAction(),
		Deadline:    e.config.Clock.Now() + clock.Millis(forward.GetDeadlineMs()),
		Fingerprint: forward.GetFingerprint(),
		Admitted:    forward.GetAdmitted(),
		Forwarded:   true,
		Request:     request,
	})
	out := forwardResponse(forward.GetRequestId(), result)
	if err := e.config.LinkLimiter.Wait(ctx, forward.GetFromRegion(), len(out.GetResponse())); err != nil {
		return forwardResponse(forward.GetRequestId(), outcomeUnknown(CodeBackendFailed, err.Error()))
	}
	return out
}

// refuseLinkFull refuses a forwarded request because the link to the sender's region has
// no capacity for the response. The outcome of an action is unknown, since an earlier
// attempt may have run.
func (e *Executor) refuseLinkFull(forward *wire.Forward) Result {
	result := notRun(CodeNoCapacity, "the link between the regions is full")
	if forward.GetAction() != "" {
		return result.WithUnknown()
	}
	return result
}

// forwardResponse converts a result to the response to a forwarded request.
func forwardResponse(id string, result Result) *wire.ForwardAnswer {
	return &wire.ForwardAnswer{
		RequestId: id,
		Outcome:   result.Outcome,
		Status:    int32(result.Status()),
		Response:  encodeResponse(result.Response),
		Reason:    string(result.Code),
	}
}

// AcceptHandover implements peer.Executor.
func (e *Executor) AcceptHandover(handover *wire.Handover) {
	e.config.Actions.AcceptHandover(e.config.Clock.Now(), handover.GetIncarnation(), clock.Millis(handover.GetClockMs()), handover.GetActions())
}

// RecordSuspect implements peer.Executor.
func (e *Executor) RecordSuspect(suspect *wire.Suspect) {
	e.config.Pool.Quarantine().RecordCrash(suspect.GetFingerprint(), suspect.GetBackendServers()...)
}
