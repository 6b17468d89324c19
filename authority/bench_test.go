package authority

import (
	"fmt"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

// BenchmarkHasAuthority measures HasAuthority with authority based on peers'
// responses.
func BenchmarkHasAuthority(b *testing.B) {
	for _, slots := range []int{42, 590, 5300} {
		b.Run(fmt.Sprint(slots, " slots"), func(b *testing.B) {
			v := NewView(Config{Incarnation: "0", AuthorityTerm: clock.Second})
			state := &wire.State{Revision: 1}
			for i := range slots {
				state.Seats = append(state.Seats, &wire.Seat{Slot: int32(i), Incarnation: fmt.Sprint(i % 1000)})
			}
			v.AdoptIfNewer(0, state)
			for i := range 1000 {
				v.OnPeerResponse(0, 0, PeerResponse{Incarnation: fmt.Sprint(i), PeerAddress: fmt.Sprint(i), Revision: 1})
			}
			for b.Loop() {
				v.HasAuthority(1)
			}
		})
	}
}

// BenchmarkStateSize reports the encoded size that a slot, a key and a workspace
// add to a state.
func BenchmarkStateSize(b *testing.B) {
	seat := &wire.State{Seats: []*wire.Seat{{
		Slot: 4000, Incarnation: "sierra-a-0001-0123456789ab", Instance: "sierra-a-0001", Region: "sierra",
		PeerAddress: "10.100.100.100:7000", CallerAddress: "10.100.100.100:8080",
	}}}
	key := &wire.State{Keys: []*wire.Key{{Id: "tiendas-2026-12", Hash: make([]byte, 32), Workspace: "tiendas"}}}
	workspace := &wire.State{
		RulesText: "workspace tiendas rate=400 burst=200 weight=4 # asked by Ana: shops of the capital\n",
		Rules:     &wire.Rules{Workspaces: []*wire.WorkspaceRule{{Name: "tiendas", RatePerS: 400, Burst: 200, Weight: 4}}},
	}
	for b.Loop() {
		proto.Size(seat)
	}
	b.ReportMetric(float64(proto.Size(seat)), "bytes/slot")
	b.ReportMetric(float64(proto.Size(key)), "bytes/key")
	b.ReportMetric(float64(proto.Size(workspace)), "bytes/workspace")
}
