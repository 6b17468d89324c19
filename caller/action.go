package caller

import (
	"context"
	"time"

	"github.com/bulrushferry/bulrushferry/once"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
)

const (
	// handoverTimeout bounds the wait for the handover of a stopping instance.
	handoverTimeout      = 2 * time.Second
	handoverPollInterval = 20 * time.Millisecond
)

// executeOnce runs an action on the only incarnation that may run it: the one that
// issued the prefix of the action's name, or the one that claimed the name.
func (e *Executor) executeOnce(ctx context.Context, job Job) Result {
	name, prefixed := once.ParseActionName(job.Action).Get()
	if !prefixed {
		return e.claimAndExecute(ctx, job)
	}
	decided := e.config.Actions.Begin(e.config.Clock.Now(), onceRequest(&job))
	if decided.Decision != once.NotOwner {
		return e.applyDecision(ctx, job, decided)
	}
	if job.Forwarded {
		return outcomeUnknown(CodeActionUnknown, "the instance that may run this action is gone")
	}
	return e.forwardAction(ctx, job, name.Incarnation)
}

// forwardAction forwards an action to the incarnation that may run it. An earlier
// attempt may have run there, so if this attempt is not run for lack of capacity,
// authority or a valid key, the outcome of the action is unknown.
func (e *Executor) forwardAction(ctx context.Context, job Job, incarnation string) Result {
	member, ok := e.config.Fleet.Member(incarnation).Get()
	if !ok {
		return outcomeUnknown(CodeActionUnknown, "the instance that may run this action cannot be reached")
	}
	result := e.forward(ctx, job, member)
	if result.Code == CodeHandedOver {
		return e.awaitHandover(ctx, job)
	}
	if result.Code == CodeNoCapacity || result.Code == CodeNoAuthority || result.Code == CodeInvalidKey {
		return result.WithUnknown()
	}
	return result
}

// awaitHandover handles an action that a stopping instance declined to run. It waits
// for that instance's handover, which tells whether an earlier attempt ran.
func (e *Executor) awaitHandover(ctx context.Context, job Job) Result {
	ctx, cancel := context.WithTimeout(ctx, min(handoverTimeout, (job.Deadline-e.config.Clock.Now()).Duration()))
	defer cancel()
	ticker := time.NewTicker(handoverPollInterval)
	defer ticker.Stop()
	for {
		decided := e.config.Actions.Begin(e.config.Clock.Now(), onceRequest(&job))
		if decided.Decision != once.NotOwner {
			return e.applyDecision(ctx, job, decided)
		}
		select {
		case <-ctx.Done():
			return outcomeUnknown(CodeActionUnknown, "the instance that issued this action prefix stops and its list of actions has not arrived")
		case <-ticker.C:
		}
	}
}

// claimAndExecute runs an action whose name was chosen by its caller. It first claims
// the name in the table service; if another incarnation holds the claim, it forwards
// the action there.
func (e *Executor) claimAndExecute(ctx context.Context, job Job) Result {
	if decided, ok := e.config.Actions.Lookup(onceRequest(&job)).Get(); ok {
		return e.applyDecision(ctx, job, decided)
	}
	if job.Forwarded {
		return outcomeUnknown(CodeActionUnknown, "the instance that claimed this action no longer knows it")
	}
	if !e.config.Fleet.HasAuthority() {
		return noAuthority().WithUnknown()
	}
	ctx, cancel := context.WithTimeout(ctx, (job.Deadline - e.config.Clock.Now()).Duration())
	defer cancel()
	claim, err := e.config.Claimer.Claim(ctx, onceRequest(&job), job.ID)
	if err != nil {
		if errorx.IsOfType(err, once.ErrNotClaimed) || errorx.IsOfType(err, once.ErrUnresolved) {
			return outcomeUnknown(CodeActionUnknown, "the action's claim cannot be read: use the action prefix of a look-up instead")
		}
		return outcomeUnknown(CodeActionUnknown, err.Error())
	}
	if claim.Created {
		decided := e.config.Actions.BeginClaimed(e.config.Clock.Now(), onceRequest(&job))
		return e.applyDecision(ctx, job, decided)
	}
	if claim.Holder == e.config.Fleet.Incarnation() {
		return outcomeUnknown(CodeActionUnknown, "an earlier attempt of this action has been forgotten")
	}
	return e.forwardAction(ctx, job, claim.Holder)
}

// applyDecision proceeds as the action table decided: it runs the action, waits for a
// running attempt, replays a finished one or refuses the job.
func (e *Executor) applyDecision(ctx context.Context, job Job, decided once.Result) Result {
	switch decided.Decision {
	case once.Run:
		return e.runAction(ctx, job)
	case once.Wait:
		return e.awaitAttempt(ctx, job, decided)
	case once.Replay:
		return replay(decided.Finished)
	case once.Conflict:
		return notRun(CodeActionConflict, "the Idempotency-Key was used for another request")
	case once.NeverRun:
		return notRun(CodeNoCapacity, "the instance that issued this action prefix has stopped without running it: ask for a new prefix")
	case once.HandedOver:
		return notRun(CodeHandedOver, "this instance stops without running the action: ask for a new prefix")
	case once.TableFull:
		return notRun(CodeNoCapacity, "this instance remembers too many actions to take another one")
	default:
		return outcomeUnknown(CodeActionUnknown, "the action prefix is too old: an earlier attempt may have run")
	}
}

// runAction runs an action and records its result in the action table. After a panic it
// records an unknown outcome.
func (e *Executor) runAction(ctx context.Context, job Job) Result {
	result := outcomeUnknown(CodeBackendFailed, "the request ended without an answer")
	defer func() {
		e.config.Actions.End(onceRequest(&job), &wire.FinishedAction{
			Action:      job.Action,
			Workspace:   job.Workspace,
			Fingerprint: job.Fingerprint,
			Outcome:     result.Outcome,
			Status:      int32(result.Status()),
			Response:    encodeResponse(result.Response),
		})
	}()
	result = e.admitAndRun(ctx, job)
	return result
}

// awaitAttempt waits until the running attempt of an action ends, or until the job's
// deadline, and replays the response.
func (e *Executor) awaitAttempt(ctx context.Context, job Job, decided once.Result) Result {
	timer := time.NewTimer((job.Deadline - e.config.Clock.Now()).Duration())
	defer timer.Stop()
	select {
	case <-decided.Done:
	case <-timer.C:
	case <-ctx.Done():
	}
	if known, ok := e.config.Actions.Lookup(onceRequest(&job)).Get(); ok && known.Decision == once.Replay {
		return replay(known.Finished)
	}
	return outcomeUnknown(CodeActionUnknown, "another attempt of this action has not ended yet")
}

// replay returns the recorded result of a finished action. The outcome is unknown if no
// response was recorded, unless the record says that the action was not run.
func replay(action *wire.FinishedAction) Result {
	if len(action.GetResponse()) == 0 {
		result := outcomeUnknown(CodeActionUnknown, "an earlier attempt of this action ended without a whole answer")
		if action.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
			result.Outcome = wire.Outcome_OUTCOME_NOT_RUN
			result.Message = "the instance that issued this action prefix has stopped without running it: ask for a new prefix"
		}
		return result
	}
	response, err := decodeResponse(action.GetResponse())
	if err != nil {
		return outcomeUnknown(CodeActionUnknown, "the remembered answer cannot be read")
	}
	return Result{Outcome: action.GetOutcome(), Response: response}
}
