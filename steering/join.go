package steering

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/rcrowley/go-metrics"
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
	// uncertainTime is how long an instance that has heard of no other counts those that the
	// fleet's roster counts.
	uncertainTime = 60 * clock.Second
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
	for ctx.Err() == nil {
		if !registered {
			registered = p.register(ctx, &how)
		}
		if registered && p.discover(ctx, &how) {
			return
		}
		if len(p.askPeers(ctx, p.LiveSettings.get().Seeds)) > 0 {
			p.markJoined("a seed")
			p.allowPart(joining{registeredAt: clock.BootTime{}.Now(), unlisted: true})
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

// allowPart lets the instance use its own part of the limits on workspaces.
func (p process) allowPart(how joining) {
	wait, reason := p.Membership.allowPart(how)
	p.Membership.refresh()
	if !how.restarted {
		p.RateLimiter.Sync()
	}
	p.Log.Info("part of the limits on workspaces", "instances", p.Members.PartHolders(clock.BootTime{}.Now()), "wait_ms", int64(wait), "reason", reason)
}

// list reads the list of the registered instances, which counts them among those that share
// the limits. It reports whether it could be read.
func (p process) list(ctx context.Context) (Listing, fleet.StoreRead, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	read := fleet.StoreRead{SentAt: clock.BootTime{}.Now()}
	listing, err := p.Adapter.Store.Instances(ctx)
	if err != nil {
		p.Log.Warn("listing the registered instances failed", "error", err.Error())
		return Listing{}, read, false
	}
	read.ReceivedAt, read.Now = clock.BootTime{}.Now(), listing.Now
	p.Registry.entries.Apply(listing.Table, read.SentAt)
	return listing, read, true
}

// discover reads the list of the registered instances, lets this one serve, and tells some of
// the others of it. It reports whether the list and the fleet's roster could be read. Until peers
// have answered, this instance takes its share of the limits as one of all that are registered.
func (p process) discover(ctx context.Context, how *joining) bool {
	rosterRead := p.startReadingRoster(ctx)
	listing, read, ok := p.list(ctx)
	if !ok {
		return false
	}
	for _, row := range listing.Invalid {
		p.ControlState.OnInvalidRow(row)
	}
	p.markJoined("the platform's list")
	addresses := make([]string, 0, len(listing.Instances))
	for _, info := range listing.Instances {
		if info.GetInstance() != p.Adapter.Settings.Instance {
			addresses = append(addresses, info.GetPeerAddress())
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	told := make(chan struct{})
	go func() {
		defer close(told)
		p.askPeers(ctx, addresses[:min(len(addresses), joinFanout)])
	}()
	roster, ok := (<-rosterRead).Get()
	if !ok {
		return false
	}
	if p.restartTogether(ctx, how, roster, listing, read) {
		return true
	}
	<-told
	how.uncertain = !fleet.IsComplete(listing.Instances, roster, listing.Now) && !p.Members.OthersHoldParts()
	if how.uncertain {
		p.Members.SetLeastHolders(int(roster.GetInstances()) + 1)
	}
	p.allowPart(*how)
	if !p.startNewFleet(ctx, *how) && how.uncertain {
		p.awaitCertainty(ctx, *how)
	}
	return true
}

// restartTogether looks for the proof that all instances have restarted in the platform's list,
// and if there is one has this instance use its share of the limits at once. It reports whether
// there was.
func (p process) restartTogether(ctx context.Context, how *joining, roster *wire.Roster, listing Listing, read fleet.StoreRead) bool {
	for ctx.Err() == nil {
		self := p.Members.Self()
		restart, final := fleet.FindRestart(self, p.Members.Known(), p.Members.Alive(read.ReceivedAt), listing.Instances, roster, listing.Now)
		if len(listing.Invalid) > 0 || !read.Agrees(how.registered) {
			restart, final = nil, true
		}
		if restart != nil {
			how.restarted = true
			p.Membership.restartTogether(restart, read.Latest(restart.First+fleet.RestartTerm))
			p.allowPart(*how)
			p.RateLimiter.StartTogether(restart, read)
			return true
		}
		if final {
			return false
		}
		clock.Sleep(ctx, fleet.LookPause(self, listing.Instances, read.ReceivedAt-p.Membership.startedAt).Duration())
		next, nextRead, ok := p.list(ctx)
		if !ok {
			return false
		}
		listing, read = next, nextRead
	}
	return false
}

// startNewFleet has one of the first instances of a new fleet use its share of the limits once
// all others count it, by the fleet's roster, a second look at the platform's list, and what the
// seeds have heard. It reports whether the fleet is new.
func (p process) startNewFleet(ctx context.Context, how joining) bool {
	if p.Members.Self().GetStart() != wire.Start_START_NEW || p.Members.OthersHoldParts() {
		return false
	}
	roster := p.foundFleet(ctx)
	p.askPeers(ctx, p.LiveSettings.get().Seeds)
	clock.Sleep(ctx, (how.registeredAt + fleet.NewFleetWait - clock.BootTime{}.Now()).Duration())
	listing, read, ok := p.list(ctx)
	if !ok || len(listing.Invalid) > 0 || !read.Agrees(how.registered) {
		return false
	}
	registeredBy := how.registered.Now + how.registeredAt - how.registered.SentAt
	how.newFleet = fleet.IsNewFleet(p.Members.Self(), p.Members.Known(), listing.Instances, roster, registeredBy)
	if how.newFleet {
		p.Members.SetLeastHolders(0)
		p.allowPart(how)
	}
	return how.newFleet
}

// awaitCertainty looks for instances that the platform's list may lack, until one that uses its
// share has been heard, and this instance knows of all others by it.
func (p process) awaitCertainty(ctx context.Context, how joining) {
	bootClock := clock.BootTime{}
	until := bootClock.Now() + uncertainTime
	p.Log.Warn("entries of other instances may be missing", "listed", p.Registry.size(), "counted", p.Members.PartHolders(bootClock.Now()))
	metrics.GetOrRegisterCounter("fleet.uncertain_starts", p.Metrics).Inc(1)
	for ctx.Err() == nil && bootClock.Now() < until && !p.Members.OthersHoldParts() {
		p.askPeers(ctx, p.LiveSettings.get().Seeds)
		clock.Sleep(ctx, joinRetryDelay)
	}
	how.uncertain = false
	p.Members.SetLeastHolders(0)
	p.allowPart(how)
}
