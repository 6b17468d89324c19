// Package caller serves callers: look-ups of the instances to use, and their
// requests, each with an outcome that can be relied on.
package caller

import (
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

type (
	// Code names the reason of a refusal.
	Code string

	// Result is what a request comes to: either a backend server's whole
	// response or a refusal by bulrushferry itself.
	Result struct {
		Outcome wire.Outcome
		// Response is nil for a refusal.
		Response *fasthttp.Response
		Code     Code
		Message  string
	}
)

const (
	// CodeBadRequest marks a request that cannot be passed on safely.
	CodeBadRequest Code = "bad_request"
	// CodeInvalidKey marks a missing, unknown or withdrawn key.
	CodeInvalidKey Code = "key_refused"
	// CodeNoRoute marks a path or service that no route covers.
	CodeNoRoute Code = "no_route"
	// CodeRateLimited marks a workspace beyond its rate.
	CodeRateLimited Code = "over_rate"
	// CodeNoAuthority marks an instance that may not act on what it knows.
	CodeNoAuthority Code = "no_authority"
	// CodeNoCapacity marks a service without room before the deadline.
	CodeNoCapacity Code = "no_capacity"
	// CodeQuarantined marks a request that has crashed backend servers.
	CodeQuarantined Code = "quarantined"
	// CodeActionMissing marks a request that needs an Idempotency-Key.
	CodeActionMissing Code = "action_missing"
	// CodeActionConflict marks an Idempotency-Key used for another request.
	CodeActionConflict Code = "action_conflict"
	// CodeActionUnknown marks an action whose fate cannot be learned.
	CodeActionUnknown Code = "action_unknown"
	// CodeHandedOver marks an action whose instance stops and has not run it.
	CodeHandedOver Code = "handed_over"
	// CodeBackendFailed marks a request whose backend server gave no whole answer.
	CodeBackendFailed Code = "backend_failed"
)

var httpStatuses = map[Code]int{
	CodeBadRequest:     fasthttp.StatusBadRequest,
	CodeInvalidKey:     fasthttp.StatusUnauthorized,
	CodeNoRoute:        fasthttp.StatusNotFound,
	CodeRateLimited:    fasthttp.StatusTooManyRequests,
	CodeNoAuthority:    fasthttp.StatusServiceUnavailable,
	CodeNoCapacity:     fasthttp.StatusServiceUnavailable,
	CodeQuarantined:    fasthttp.StatusUnprocessableEntity,
	CodeActionMissing:  fasthttp.StatusBadRequest,
	CodeActionConflict: fasthttp.StatusConflict,
	CodeActionUnknown:  fasthttp.StatusConflict,
	CodeHandedOver:     fasthttp.StatusServiceUnavailable,
	CodeBackendFailed:  fasthttp.StatusBadGateway,
}

// notRun returns an answer for a request that was not run.
func notRun(code Code, message string) Result {
	return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Code: code, Message: message}
}

// outcomeUnknown returns an answer for a request that may have been run.
func outcomeUnknown(code Code, message string) Result {
	return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Code: code, Message: message}
}

// Status returns the HTTP status of the answer.
func (a Result) Status() int {
	if a.Response != nil {
		return a.Response.StatusCode()
	}
	return httpStatuses[a.Code]
}

// WithUnknown returns the answer as one of a request that may have been run
// by an earlier attempt.
func (a Result) WithUnknown() Result {
	if a.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		a.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return a
}

// outcomeName returns the name of an outcome in an answer's header.
func outcomeName(outcome wire.Outcome) string {
	switch outcome {
	case wire.Outcome_OUTCOME_DONE:
		return "done"
	case wire.Outcome_OUTCOME_NOT_RUN:
		return "not_run"
	default:
		return "unknown"
	}
}
