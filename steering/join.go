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
	// announceRetry is the pause between tries to store this instance's entry.
	announceRetry = 500 * time.Millisecond
	announceTime  = 2 * time.Second
	// joinFanOut is how many instances a new one asks for news; they name the
	// others.
	joinFanOut = 8
	// joinWait is how long their answers are waited for.
	joinWait = 300 * time.Millisecond
	// joinPatience is how long an instance looks for others before it acts alone.
	joinPatience = 3 * time.Second
)

// join makes this instance known and finds the others, first through the
// platform's store; seeds are asked as long as it does not answer. The instance
// acts once it has heard the others, so that it knows its part of the limits.
func (p parts) join(ctx context.Context) {
	began := time.Now()
	announced := false
	for ctx.Err() == nil {
		if !announced {
			announced = p.announce(ctx)
		}
		if announced && p.discover(ctx) {
			p.joined("the platform's list")
			return
		}
		if p.askAll(ctx, p.Live.get().Seeds) > 0 {
			p.joined("a seed")
		}
		if time.Since(began) > joinPatience {
			p.joined("nobody")
		}
		clock.Pause(ctx, announceRetry)
	}
}

// joined lets the instance act.
func (p parts) joined(through string) {
	p.Membership.refresh()
	if p.Knowledge.Join() {
		p.Log.Info("joined the fleet", "through", through, "instances", p.Membership.count())
	}
}

// askAll asks peers for news at once and returns how many answered soon. Peers
// that are just starting themselves are not waited for.
func (p parts) askAll(ctx context.Context, addresses []string) int {
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
	case <-time.After(joinWait):
	}
	return int(answered.Load())
}

func (p parts) announce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	if err := p.Adapter.Store.Announce(ctx, p.Members.Self()); err != nil {
		p.Log.Warn("this instance's entry is not stored yet", "error", err.Error())
		return false
	}
	return true
}

// discover asks all instances that have an entry for news.
func (p parts) discover(ctx context.Context) bool {
	listCtx, cancel := context.WithTimeout(ctx, announceTime)
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
	p.askAll(ctx, addresses[:min(len(addresses), joinFanOut)])
	return true
}
