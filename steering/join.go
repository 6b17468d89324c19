package steering

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/values"
)

const (
	// joinRetryDelay is the pause between rounds of registration and discovery.
	joinRetryDelay = 500 * time.Millisecond
	// storeTimeout limits one call to the platform's store.
	storeTimeout = 2 * time.Second
	// joinFanout is how many registered instances a new one sends a gossip request
	// to; they report the others.
	joinFanout = 8
	// joinResponseTimeout limits the wait for their responses.
	joinResponseTimeout = 300 * time.Millisecond
	// maxTold is the size of the largest fleets in which a starting instance tells all others.
	maxTold = 100
	// joinTimeout is how long an instance looks for peers before it starts to serve
	// without them.
	joinTimeout = 3 * time.Second
)

// join registers this instance and reads the list of the others, which may share the
// fleet-wide limits with it; from then on it serves. While the store is unavailable, it
// asks the configured seeds instead, until one has answered or joinTimeout has passed.
// Registration and discovery are retried until both have succeeded.
func (p process) join(ctx context.Context) {
	startedAt := time.Now()
	registered := false
	how := joining{}
	for attempts := 0; ctx.Err() == nil; attempts++ {
		if !registered {
			registered, how.replaced = p.register(ctx)
			// An earlier attempt may have stored the entry although it failed.
			how.replaced = how.replaced && attempts == 0
			how.registeredAt = clock.BootTime{}.Now()
		}
		if registered && p.discover(ctx, &how) {
			p.allowPart(how)
			return
		}
		if len(p.askPeers(ctx, p.LiveSettings.get().Seeds)) > 0 {
			p.markJoined("a seed")
			p.allowPart(joining{registeredAt: clock.BootTime{}.Now()})
		}
		if time.Since(startedAt) > joinTimeout {
			p.markJoined("nobody")
		}
		clock.Sleep(ctx, joinRetryDelay)
	}
}

// markJoined allows the instance to serve requests. The source of the peer list is
// logged.
func (p process) markJoined(source string) {
	p.Membership.refresh()
	if p.ControlState.MarkJoined() {
		p.Log.Info("joined the fleet", "through", source, "instances", p.Membership.shareHolderCount())
	}
}

// askPeers sends gossip requests to peers in parallel and returns the addresses of those that
// responded within joinResponseTimeout. Peers that are starting up themselves may be slower
// and are not waited for.
func (p process) askPeers(ctx context.Context, addresses []string) []string {
	responded := make(chan string, len(addresses))
	asked := 0
	for _, address := range addresses {
		if address == p.Adapter.Settings.PeerAddress {
			continue
		}
		asked++
		go func() {
			if !p.Gossip.Exchange(ctx, address) {
				address = ""
			}
			responded <- address
		}()
	}
	timeout := time.After(joinResponseTimeout)
	var out []string
	for range asked {
		select {
		case address := <-responded:
			if address != "" {
				out = append(out, address)
			}
		case <-timeout:
			return out
		}
	}
	return out
}

// tellPeers sends gossip requests to up to joinFanout of the listed peers, which are in
// random order. In fleets of up to maxTold instances it tells all of them, as long as that
// can let this instance use its part of the limits on workspaces sooner. It reports whether
// all have answered.
func (p process) tellPeers(ctx context.Context, addresses []string, how *joining) bool {
	told := values.NewSet(p.askPeers(ctx, addresses[:min(len(addresses), joinFanout)])...)
	for told.Len() < len(addresses) && len(addresses) <= maxTold && p.Membership.tellingHelps(*how) && ctx.Err() == nil {
		var missing []string
		for _, address := range addresses {
			if !told.Has(address) {
				missing = append(missing, address)
			}
		}
		for _, address := range p.askPeers(ctx, missing) {
			told = told.With(address)
		}
	}
	return told.Len() == len(addresses)
}

// allowPart lets the instance use its own part of the limits on workspaces.
func (p process) allowPart(how joining) {
	wait, reason := p.Membership.allowPart(how)
	p.Membership.refresh()
	p.Log.Info("part of the limits on workspaces", "instances", p.Members.PartHolders(clock.BootTime{}.Now()), "wait_ms", int64(wait), "reason", reason)
}

// register stores this instance's entry in the platform's store. It reports whether that
// succeeded, and whether it replaced the entry of an earlier process.
func (p process) register(ctx context.Context) (registered, replaced bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	era := p.Adapter.Store.Era()
	replaced, err := p.Adapter.Store.Register(ctx, p.Members.Self())
	if err != nil {
		p.Log.Warn("registering this instance failed", "error", err.Error())
		return false, false
	}
	p.Membership.setRegisteredEra(era)
	return true, replaced
}

// discover reads the list of the registered instances, lets this one serve, and tells
// the others of it. It reports whether the list could be read. Until peers have answered,
// this instance takes its share of the limits as one of all that are registered. It records
// whether all listed instances have answered.
func (p process) discover(ctx context.Context, how *joining) bool {
	listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, invalid, err := p.Adapter.Store.Instances(listCtx)
	for _, row := range invalid {
		p.ControlState.OnInvalidRow(row)
	}
	if err != nil {
		p.Log.Warn("listing the registered instances failed", "error", err.Error())
		return false
	}
	p.Members.RecordRegistered(list, clock.BootTime{}.Now())
	p.markJoined("the platform's list")
	addresses := make([]string, 0, len(list))
	for _, info := range list {
		if info.GetInstance() != p.Adapter.Settings.Instance {
			addresses = append(addresses, info.GetPeerAddress())
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	how.allTold = p.tellPeers(ctx, addresses, how)
	return true
}
