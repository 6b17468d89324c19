package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/bulrushferry/bulrushferry/wire"
)

// Broadcast sends a request to all members concurrently and returns how many of
// them responded without an error before the context ended.
func Broadcast(ctx context.Context, network Network, members []Member, request *wire.PeerRequest) int {
	var responded atomic.Int64
	var group sync.WaitGroup
	for _, member := range members {
		group.Go(func() {
			if _, err := network.Call(ctx, member.Seat.GetPeerAddress(), request); err == nil {
				responded.Add(1)
			}
		})
	}
	group.Wait()
	return int(responded.Load())
}
