package steering

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
)

const (
	// registerRetry is the pause between tries to store this instance's entry.
	registerRetry   = 500 * time.Millisecond
	registryTimeout = 2 * time.Second
	// joinFanOut is how many instances a new one asks for news; they name the
	// others.
	joinFanOut = 8
	// joinResponseTimeout is how long their answers are waited for.
	joinResponseTimeout = 300 * time.Millisecond
	// joinTimeout is how long an instance looks for others before it acts alone.
	joinTimeout = 3 * time.Second
)

// join makes this instance known and finds the others, first through the
// platform's store; seeds are asked as long as it does not answer. The instance
// acts once it has heard the others, so that it knows its part of the limits.
func (p process) join(ctx context.Context) {
	began := time.Now()
	announced := false
	for ctx.Err() == nil {
		if !announced {
			announced = p.register(ctx)
		}
		if announced && p.discover(ctx) {
			p.markJoined("the platform's list")
			return
		}
		if p.askPeers(ctx, p.LiveSettings.get().Seeds) > 0 {
			p.markJoined("a seed")
		}
		if time.Since(began) > joinTimeout {
			p.markJoined("nobody")
		}
		clock.Pause(ctx, registerRetry)
	}
}

// markJoined lets the instance act.
func (p process) markJoined(through string) {
	p.Membership.refresh()
	if p.ControlState.MarkJoined() {
		p.Log.Info("joined the fleet", "through", through, "instances", p.Membership.sharerCount())
	}
}

// askPeers asks peers for news at once and returns how many answered soon. Peers
// that are just starting themselves are not waited for.
func (p process) askPeers(ctx context.Context, addresses []string) int {
	var group sync.WaitGroup
	var answered atomic.Int64
	for _, address := range addresses {
		if address == p.Adapter.Settings.PeerAddress {
			continue
		}
		group.Go(func() {
			if p.Gossip.Exchange(ctx, address) {
				answered.Add(1)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(joinResponseTimeout):
	}
	return int(answered.Load())
}

func (p process) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	if err := p.Adapter.Store.Register(ctx, p.Members.Self()); err != nil {
		p.Log.Warn("this instance's entry is not stored yet", "error", err.Error())
		return false
	}
	return true
}

// discover asks all instances that have an entry for news.
func (p process) discover(ctx context.Context) bool {
	listCtx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	list, err := p.Adapter.Store.Instances(listCtx)
	if err != nil {
		p.Log.Warn("the entries of the instances cannot be read", "error", err.Error())
		return false
	}
	addresses := make([]string, 0, len(list))
	for _, info := range list {
		addresses = append(addresses, info.GetPeerAddress())
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	p.askPeers(ctx, addresses[:min(len(addresses), joinFanOut)])
	return true
}
