package peer

import (
	"github.com/bulrushferry/bulrushferry/authority"
	"github.com/bulrushferry/bulrushferry/share"
	"github.com/bulrushferry/bulrushferry/wire"
)

// Bases implements LoanFleet. Only the share of the slots has to wait for
// former holders: a changed rate takes effect at once, for the parts of all
// instances still add up to no more than the higher of the two rates.
func (f *Fleet) Bases() map[string]share.Part {
	incarnation := f.Incarnation()
	slots := f.RatePart(func(state *wire.State) float64 {
		return authority.SlotShare(state, incarnation)
	})
	bases := make(map[string]share.Part)
	for _, workspace := range f.State().GetRules().GetWorkspaces() {
		whole := share.Part{Rate: workspace.GetRatePerS(), Burst: workspace.GetBurst()}
		bases[workspace.GetName()] = whole.WithScale(slots)
	}
	return bases
}
