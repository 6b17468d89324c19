package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
)

// runner is one run of a load.
type runner struct {
	config  Config
	regions map[string]*callers
	result  *Result
	started time.Time
	group   sync.WaitGroup
}

// Run sends the load until its duration has passed or the context ends, and
// waits for the last answers.
func Run(ctx context.Context, config Config) *Result {
	r := &runner{
		config:  config,
		regions: make(map[string]*callers),
		result:  newResult(config.Workspaces),
		started: time.Now(),
	}
	for i, region := range config.Regions {
		// Callers of different regions know different instances first.
		lookups := append(append([]string(nil), config.BootstrapAddresses[i%len(config.BootstrapAddresses):]...), config.BootstrapAddresses[:i%len(config.BootstrapAddresses)]...)
		r.regions[region.Name] = newCallers(region, lookups)
	}
	ctx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	var sources sync.WaitGroup
	for i, w := range config.Workspaces {
		sources.Go(func() { r.source(ctx, w, rand.New(rand.NewPCG(config.Seed, uint64(i)))) })
	}
	sources.Wait()
	r.group.Wait()
	r.result.finish()
	return r.result
}

// source sends one workspace's requests at random times.
func (r *runner) source(ctx context.Context, w Workspace, random *rand.Rand) {
	if w.OfferedPerS <= 0 {
		return
	}
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / w.OfferedPerS * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		target := r.drawTarget(random)
		region := r.drawRegion(w, random)
		nonce := fmt.Sprintf("%s-%d-%d", w.Name, r.config.Seed, n)
		resend := random.Float64() < r.config.ResendShare
		arrival := next.Sub(r.started)
		r.group.Go(func() { r.request(w, target, region, nonce, arrival, resend) })
	}
}

func (r *runner) drawTarget(random *rand.Rand) Target {
	total := 0.0
	for _, t := range r.config.Targets {
		total += t.Weight
	}
	draw := random.Float64() * total
	for _, t := range r.config.Targets {
		if draw < t.Weight {
			return t
		}
		draw -= t.Weight
	}
	return r.config.Targets[0]
}

func (r *runner) drawRegion(w Workspace, random *rand.Rand) *callers {
	if len(w.Regions) > 0 {
		return r.regions[w.Regions[random.IntN(len(w.Regions))]]
	}
	return r.regions[r.config.Regions[random.IntN(len(r.config.Regions))].Name]
}

// request sends one request, and tries other instances where the answer or the
// lack of one allows it.
func (r *runner) request(w Workspace, t Target, c *callers, nonce string, arrival time.Duration, resend bool) {
	entitled := r.result.entitle(w, arrival)
	started := time.Now()
	last := r.attempts(w, t, c, nonce, resend)
	r.result.add(verdict{
		nonce:     nonce,
		workspace: w.Name,
		outcome:   last.outcome,
		code:      last.code,
		failure:   fmt.Sprint(last.err),
		matched:   last.matches(nonce),
		entitled:  entitled,
		took:      time.Since(started),
	})
}

func (r *runner) attempts(w Workspace, t Target, c *callers, nonce string, resend bool) reply {
	list := c.lookup(w, t.Service)
	action := actionName(t, list, nonce)
	neverSent := true
	var last reply
	for try, entry := range list.GetEntries() {
		if try >= maxTries {
			break
		}
		last = c.send(entry.GetAddress(), w, t, nonce, action, r.config.Timeout)
		if last.err != nil {
			c.forget(w, t.Service)
		}
		neverSent = neverSent && last.neverSent()
		if neverSent {
			// Nothing was sent under this name, so another one is safe.
			action = actionName(t, c.ask(w, t.Service, list), nonce)
		}
		if !mayTryElsewhere(t, last) {
			break
		}
	}
	if resend && t.Once {
		other := list.GetEntries()[len(list.GetEntries())-1]
		again := c.send(other.GetAddress(), w, t, nonce, action, r.config.Timeout)
		if last.outcome != outcomeDone && again.outcome == outcomeDone {
			return again
		}
	}
	return last
}

// actionName starts a name with the prefix of a look-up.
func actionName(t Target, list *wire.EntryList, nonce string) string {
	if !t.Once {
		return ""
	}
	return list.GetActionPrefix() + nonce
}

// mayTryElsewhere reports whether a caller would turn to another instance. A
// request that may run once is sent again under the same name.
func mayTryElsewhere(t Target, last reply) bool {
	if last.err != nil || (last.outcome == outcomeUnknown && t.Once) {
		return true
	}
	return last.outcome == outcomeNotRun && (last.code == "no_authority" || last.code == "no_capacity")
}
