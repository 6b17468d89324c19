package peer

import (
	"context"

	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// Executor handles the requests of peers that concern callers' requests.
	Executor interface {
		// RunForwarded runs a caller's request that a peer has forwarded.
		RunForwarded(ctx context.Context, forward *wire.Forward) *wire.ForwardAnswer
		// AcceptHandover stores the list of the actions that a stopping peer ran.
		AcceptHandover(handover *wire.Handover)
		// RecordSuspect records a peer's report of a request during which
		// backend servers were lost.
		RecordSuspect(suspect *wire.Suspect)
	}

	// Server dispatches the requests of peers to the components that handle them.
	Server struct {
		fleet       *Fleet
		rateLimiter *RateLimiter
		executor    Executor
	}
)

// NewServer returns a Server that dispatches to the given components.
func NewServer(fleet *Fleet, limiter *RateLimiter, executor Executor) *Server {
	return &Server{fleet: fleet, rateLimiter: limiter, executor: executor}
}

// Handle handles a peer's request. It is a Handler.
func (s *Server) Handle(ctx context.Context, request *wire.PeerRequest) *wire.PeerResponse {
	switch body := request.GetBody().(type) {
	case *wire.PeerRequest_Poll:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Poll{Poll: s.fleet.handlePoll(ctx, body.Poll)}}
	case *wire.PeerRequest_Push:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Push{Push: s.fleet.handlePush(body.Push)}}
	case *wire.PeerRequest_LoanAsk:
		return &wire.PeerResponse{Body: &wire.PeerResponse_LoanGrant{LoanGrant: s.rateLimiter.handleLoanRequest(body.LoanAsk)}}
	case *wire.PeerRequest_LoanReturn:
		return &wire.PeerResponse{Body: &wire.PeerResponse_LoanReturn{LoanReturn: s.rateLimiter.handleLoanReturn(body.LoanReturn)}}
	case *wire.PeerRequest_Forward:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Forward{Forward: s.executor.RunForwarded(ctx, body.Forward)}}
	case *wire.PeerRequest_Handover:
		s.executor.AcceptHandover(body.Handover)
		return &wire.PeerResponse{Body: &wire.PeerResponse_Handover{Handover: &wire.HandoverAnswer{}}}
	case *wire.PeerRequest_Suspect:
		s.executor.RecordSuspect(body.Suspect)
		return &wire.PeerResponse{Body: &wire.PeerResponse_Suspect{Suspect: &wire.SuspectAnswer{}}}
	default:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Error{Error: "unknown request"}}
	}
}
