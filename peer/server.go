package peer

import (
	"context"

	"github.com/bulrushferry/bulrushferry/wire"
)

type (
	// Executor runs the requests that peers pass on.
	Executor interface {
		// RunForwarded runs a caller's request for a peer.
		RunForwarded(ctx context.Context, forward *wire.Forward) *wire.ForwardAnswer
		// AcceptHandover remembers the actions of a stopping peer.
		AcceptHandover(handover *wire.Handover)
		// RecordSuspect takes in a peer's word on a request that crashes servers.
		RecordSuspect(suspect *wire.Suspect)
	}

	// Server answers peers.
	Server struct {
		fleet  *Fleet
		loans  *RateLimiter
		runner Executor
	}
)

// NewServer returns a server.
func NewServer(fleet *Fleet, loans *RateLimiter, runner Executor) *Server {
	return &Server{fleet: fleet, loans: loans, runner: runner}
}

// Handle answers one request. It implements Handler.
func (s *Server) Handle(ctx context.Context, request *wire.PeerRequest) *wire.PeerResponse {
	switch body := request.GetBody().(type) {
	case *wire.PeerRequest_Poll:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Poll{Poll: s.fleet.handlePoll(ctx, body.Poll)}}
	case *wire.PeerRequest_Push:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Push{Push: s.fleet.handlePush(body.Push)}}
	case *wire.PeerRequest_LoanAsk:
		return &wire.PeerResponse{Body: &wire.PeerResponse_LoanGrant{LoanGrant: s.loans.handleAsk(body.LoanAsk)}}
	case *wire.PeerRequest_LoanReturn:
		return &wire.PeerResponse{Body: &wire.PeerResponse_LoanReturn{LoanReturn: s.loans.handleReturn(body.LoanReturn)}}
	case *wire.PeerRequest_Forward:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Forward{Forward: s.runner.RunForwarded(ctx, body.Forward)}}
	case *wire.PeerRequest_Handover:
		s.runner.AcceptHandover(body.Handover)
		return &wire.PeerResponse{Body: &wire.PeerResponse_Handover{Handover: &wire.HandoverAnswer{}}}
	case *wire.PeerRequest_Suspect:
		s.runner.RecordSuspect(body.Suspect)
		return &wire.PeerResponse{Body: &wire.PeerResponse_Suspect{Suspect: &wire.SuspectAnswer{}}}
	default:
		return &wire.PeerResponse{Body: &wire.PeerResponse_Error{Error: "unknown request"}}
	}
}
