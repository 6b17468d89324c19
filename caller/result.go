package caller

import (
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

type (
	// Code is the reason for a refusal.
	Code string

	// Result is the result of a request: the complete response of a backend server, or
	// a refusal by bulrushferry.
	Result struct {
		Outcome wire.Outcome
		// Response is nil for a refusal.
		Response *fasthttp.Response
		// Code and Message are empty if there is a response.
		Code    Code
		Message string
	}
)

const (
	// CodeBadRequest means that the request is malformed or ambiguous, or exposes a key
	// to backend servers.
	CodeBadRequest Code = "bad_request"
	// CodeInvalidKey means that the key is missing, unknown or withdrawn.
	CodeInvalidKey Code = "key_refused"
	// CodeNoRoute means that no route matches the path, or that the service does not
	// exist.
	CodeNoRoute Code = "no_route"
	// CodeRateLimited means that the workspace has exceeded its rate limit.
	CodeRateLimited Code = "over_rate"
	// CodeNoAuthority means that this instance has no authority or no rules, so it must
	// not serve requests.
	CodeNoAuthority Code = "no_authority"
	// CodeNoCapacity means that no backend server, peer or inter-region link had
	// capacity for the request before its deadline, or that the instance responsible
	// for its action can start no more actions.
	CodeNoCapacity Code = "no_capacity"
	// CodeQuarantined means that the request has crashed backend servers.
	CodeQuarantined Code = "quarantined"
	// CodeActionMissing means that the request needs a valid Idempotency-Key.
	CodeActionMissing Code = "action_missing"
	// CodeActionConflict means that the Idempotency-Key was used for another request.
	CodeActionConflict Code = "action_conflict"
	// CodeActionUnknown means that it is not known whether an earlier attempt of the
	// action ran, or what its response was.
	CodeActionUnknown Code = "action_unknown"
	// CodeHandedOver means that the instance responsible for the action is stopping and
	// has not run it.
	CodeHandedOver Code = "handed_over"
	// CodeStopping means that this instance stops before the request's deadline.
	CodeStopping Code = "stopping"
	// CodeBackendFailed means that no valid response was received from a backend server
	// or from the peer that was to run the request.
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
	CodeStopping:       fasthttp.StatusServiceUnavailable,
	CodeBackendFailed:  fasthttp.StatusBadGateway,
}

// notRun returns the result of a request that was not run.
func notRun(code Code, message string) Result {
	return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Code: code, Message: message}
}

// outcomeUnknown returns the result of a request that may have been run.
func outcomeUnknown(code Code, message string) Result {
	return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Code: code, Message: message}
}

// Status returns the HTTP status of the response or the refusal.
func (r Result) Status() int {
	if r.Response != nil {
		return r.Response.StatusCode()
	}
	return httpStatuses[r.Code]
}

// WithUnknown returns the result with the outcome unknown in place of not run, for a
// request that an earlier attempt may have run.
func (r Result) WithUnknown() Result {
	if r.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		r.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return r
}

// outcomeName returns the name of an outcome in the Bulrushferry-Outcome header.
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
