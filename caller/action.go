package caller

import (
	"context"
	"time"

	"github.com/bulrushferry/bulrushferry/once"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
)

const (
	// handoverTimeout bounds the wait for a stopping instance's list of actions.
	handoverTimeout      = 2 * time.Second
	handoverPollInterval = 20 * time.Millisecond
)

// executeOnce runs an action at the one incarnation that may run it.
func (e *Executor) executeOnce(ctx context.Context, job Job) Result {
	name, prefixed := once.ParseActionName(job.Action).Get()
	if !prefixed {
		return e.claimAndExecute(ctx, job)
	}
	ticket := e.config.Actions.Begin(e.config.Clock.Now(), onceRequest(&job))
	if ticket.Decision != once.NotOwner {
		return e.applyDecision(ctx, job, ticket)
	}
	if job.Forwarded {
		return outcomeUnknown(CodeActionUnknown, "the instance that may run this action is gone")
	}
	return e.forwardAction(ctx, job, name.Incarnation)
}

// forwardAction passes an action to its incarnation. An earlier attempt may have
// run there, so nothing that fails on the way proves that it did not.
func (e *Executor) forwardAction(ctx context.Context, job Job, incarnation string) Result {
	member, ok := e.config.Fleet.Member(incarnation).Get()
	if !ok {
		return outcomeUnknown(CodeActionUnknown, "the instance that may run this action cannot be reached")
	}
	answer := e.forward(ctx, job, member)
	if answer.Code == CodeHandedOver {
		return e.awaitHandover(ctx, job)
	}
	if answer.Code == CodeNoCapacity || answer.Code == CodeNoAuthority || answer.Code == CodeInvalidKey {
		return answer.WithUnknown()
	}
	return answer
}

// awaitHandover decides on an action whose instance stops and says that it has not
// run it: its list of actions is on the way here.
func (e *Executor) awaitHandover(ctx context.Context, job Job) Result {
	ctx, cancel := context.WithTimeout(ctx, min(handoverTimeout, (job.Deadline-e.config.Clock.Now()).Duration()))
	defer cancel()
	ticker := time.NewTicker(handoverPollInterval)
	defer ticker.Stop()
	for {
		ticket := e.config.Actions.Begin(e.config.Clock.Now(), onceRequest(&job))
		if ticket.Decision != once.NotOwner {
			return e.applyDecision(ctx, job, ticket)
		}
		select {
		case <-ctx.Done():
			return outcomeUnknown(CodeActionUnknown, "the instance that issued this action prefix stops and its list of actions has not arrived")
		case <-ticker.C:
		}
	}
}

// claimAndExecute runs an action whose name its caller chose freely. The name
// is claimed in the table service first.
func (e *Executor) claimAndExecute(ctx context.Context, job Job) Result {
	if ticket, ok := e.config.Actions.Lookup(onceRequest(&job)).Get(); ok {
		return e.applyDecision(ctx, job, ticket)
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
		ticket := e.config.Actions.BeginClaimed(e.config.Clock.Now(), onceRequest(&job))
		return e.applyDecision(ctx, job, ticket)
	}
	if claim.Holder == e.config.Fleet.Incarnation() {
		return outcomeUnknown(CodeActionUnknown, "an earlier attempt of this action has been forgotten")
	}
	return e.forwardAction(ctx, job, claim.Holder)
}

// applyDecision acts on the decision of the table of actions.
func (e *Executor) applyDecision(ctx context.Context, job Job, ticket once.Result) Result {
	switch ticket.Decision {
	case once.Run:
		return e.runAction(ctx, job)
	case once.Wait:
		return e.awaitAction(ctx, job, ticket)
	case once.Replay:
		return replay(ticket.Finished)
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

// runAction runs an action and records its answer whatever happens.
func (e *Executor) runAction(ctx context.Context, job Job) Result {
	answer := outcomeUnknown(CodeBackendFailed, "the request ended without an answer")
	defer func() {
		e.config.Actions.End(onceRequest(&job), &wire.FinishedAction{
			Action:      job.Action,
			Workspace:   job.Workspace,
			Fingerprint: job.Fingerprint,
			Outcome:     answer.Outcome,
			Status:      int32(answer.Status()),
			Response:    encodeResponse(answer.Response),
		})
	}()
	answer = e.admitAndRun(ctx, job)
	return answer
}

// awaitAction waits for the attempt that is running.
func (e *Executor) awaitAction(ctx context.Context, job Job, ticket once.Result) Result {
	timer := time.NewTimer((job.Deadline - e.config.Clock.Now()).Duration())
	defer timer.Stop()
	select {
	case <-ticket.Done:
	case <-timer.C:
	case <-ctx.Done():
	}
	if known, ok := e.config.Actions.Lookup(onceRequest(&job)).Get(); ok && known.Decision == once.Replay {
		return replay(known.Finished)
	}
	return outcomeUnknown(CodeActionUnknown, "another attempt of this action has not ended yet")
}

// replay returns the remembered answer of a finished action.
func replay(action *wire.FinishedAction) Result {
	if len(action.GetResponse()) == 0 {
		answer := outcomeUnknown(CodeActionUnknown, "an earlier attempt of this action ended without a whole answer")
		if action.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
			answer.Outcome = wire.Outcome_OUTCOME_NOT_RUN
			answer.Message = "the instance that issued this action prefix has stopped without running it: ask for a new prefix"
		}
		return answer
	}
	response, err := decodeResponse(action.GetResponse())
	if err != nil {
		return outcomeUnknown(CodeActionUnknown, "the remembered answer cannot be read")
	}
	return Result{Outcome: action.GetOutcome(), Response: response}
}
