package caller

import (
	"context"

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

	// Executor runs checked requests, here or at a peer.
	Executor struct {
		config ExecutorConfig
		ramps  *shiftRamps
	}
)

var (
	errorSpace = errorx.NewNamespace("caller")

	errNoAuthority  = errorSpace.NewType("no_authority")
	errKeyWithdrawn = errorSpace.NewType("key_withdrawn")
)

// NewExecutor returns an executor.
func NewExecutor(config ExecutorConfig) *Executor {
	return &Executor{config: config, ramps: newShiftRamps()}
}

// Execute runs a job to its answer.
func (e *Executor) Execute(ctx context.Context, job Job) Result {
	if job.Action != "" {
		return e.executeOnce(ctx, job)
	}
	return e.admitAndRun(ctx, job)
}

func (e *Executor) admitAndRun(ctx context.Context, job Job) Result {
	if !e.config.Fleet.HasAuthority() {
		return noAuthority()
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

// runLocally runs a job on a backend server that this instance holds units of.
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

// checkBeforeSend is asked again just before a request is sent, for it may have
// waited and this process may have been stopped for a while.
func (e *Executor) checkBeforeSend(job Job) error {
	if !e.config.Fleet.HasAuthority() {
		return errNoAuthority.New("authority was lost while the request waited")
	}
	if job.KeyHash == nil {
		return nil
	}
	if _, ok := e.config.Keys.workspace(e.config.Fleet.State(), *job.KeyHash); !ok {
		return errKeyWithdrawn.New("the key was withdrawn while the request waited")
	}
	return nil
}

// resultFromBackend turns the backend layer's result into an answer.
func resultFromBackend(result backend.Result) Result {
	answer := Result{Outcome: result.Outcome, Code: CodeBackendFailed, Message: result.Err.Error()}
	switch {
	case errorx.IsOfType(result.Err, errNoAuthority):
		answer.Code = CodeNoAuthority
	case errorx.IsOfType(result.Err, errKeyWithdrawn):
		answer.Code = CodeInvalidKey
	case errorx.IsOfType(result.Err, backend.ErrNoCapacity):
		answer.Code = CodeNoCapacity
	case errorx.IsOfType(result.Err, backend.ErrQuarantined):
		answer.Code = CodeQuarantined
	}
	return answer
}

// forward runs a job at a peer. When the peer cannot be reached nothing was run;
// when its answer is lost the outcome is unknown.
func (e *Executor) forward(ctx context.Context, job Job, member peer.Member) Result {
	now := e.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, (job.Deadline - now).Duration())
	defer cancel()
	forward := job.toWire(now)
	forward.FromRegion = e.config.Fleet.Region()
	if err := e.config.LinkLimiter.Wait(ctx, member.Seat.GetRegion(), len(forward.GetRequest())); err != nil {
		return notRun(CodeNoCapacity, err.Error())
	}
	if err := e.checkBeforeSend(job); err != nil {
		return resultFromBackend(backend.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: err})
	}
	response, err := e.config.Network.Call(ctx, member.Seat.GetPeerAddress(), &wire.PeerRequest{
		Body: &wire.PeerRequest_Forward{Forward: forward},
	})
	if errorx.IsOfType(err, peer.ErrUnreachable) {
		return notRun(CodeNoCapacity, "the peer that was to run the request cannot be reached")
	}
	if err != nil {
		return outcomeUnknown(CodeBackendFailed, "the peer that was to run the request gave no answer")
	}
	return resultFromPeer(job, response.GetForward())
}

func resultFromPeer(job Job, forwarded *wire.ForwardAnswer) Result {
	if forwarded.GetRequestId() != job.ID {
		return outcomeUnknown(CodeBackendFailed, "the peer answered another request")
	}
	answer := Result{Outcome: forwarded.GetOutcome(), Code: Code(forwarded.GetReason())}
	if len(forwarded.GetResponse()) == 0 {
		answer.Message = "refused by the peer that was to run the request"
		return answer
	}
	response, err := decodeResponse(forwarded.GetResponse())
	if err != nil {
		return outcomeUnknown(CodeBackendFailed, "the peer's answer cannot be read")
	}
	answer.Response = response
	return answer
}

// RunForwarded implements peer.Executor.
func (e *Executor) RunForwarded(ctx context.Context, forward *wire.Forward) *wire.ForwardAnswer {
	request, err := decodeRequest(forward.GetRequest())
	if err != nil {
		return forwardAnswer(forward.GetRequestId(), notRun(CodeBadRequest, "the passed on request cannot be read"))
	}
	defer fasthttp.ReleaseRequest(request)
	if !e.config.LinkLimiter.HasCapacity(forward.GetFromRegion()) {
		return forwardAnswer(forward.GetRequestId(), e.refuseLinkFull(forward))
	}
	answer := e.Execute(ctx, Job{
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
	out := forwardAnswer(forward.GetRequestId(), answer)
	if err := e.config.LinkLimiter.Wait(ctx, forward.GetFromRegion(), len(out.GetResponse())); err != nil {
		return forwardAnswer(forward.GetRequestId(), outcomeUnknown(CodeBackendFailed, err.Error()))
	}
	return out
}

// refuseLinkFull refuses a passed on request whose answer the link back has no room
// for. Of an action, an earlier attempt may have run.
func (e *Executor) refuseLinkFull(forward *wire.Forward) Result {
	answer := notRun(CodeNoCapacity, "the link between the regions is full")
	if forward.GetAction() != "" {
		return answer.WithUnknown()
	}
	return answer
}

func forwardAnswer(id string, answer Result) *wire.ForwardAnswer {
	return &wire.ForwardAnswer{
		RequestId: id,
		Outcome:   answer.Outcome,
		Status:    int32(answer.Status()),
		Response:  encodeResponse(answer.Response),
		Reason:    string(answer.Code),
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
