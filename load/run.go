package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
)

// runner holds the state of one run.
type runner struct {
	config    Config
	clients   map[string]*regionClient
	result    *Result
	startedAt time.Time
	requests  sync.WaitGroup
}

// Run generates the load until its duration has passed or the context ends, and
// waits for the last responses.
func Run(ctx context.Context, config Config) *Result {
	r := &runner{
		config:    config,
		clients:   make(map[string]*regionClient),
		result:    newResult(config.Workspaces),
		startedAt: time.Now(),
	}
	for i, region := range config.Regions {
		// Each region starts with a different instance, to spread the first lookups.
		addresses := append(append([]string(nil), config.BootstrapAddresses[i%len(config.BootstrapAddresses):]...), config.BootstrapAddresses[:i%len(config.BootstrapAddresses)]...)
		r.clients[region.Name] = newRegionClient(region, addresses)
	}
	ctx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	var generators sync.WaitGroup
	for i, w := range config.Workspaces {
		generators.Go(func() { r.generate(ctx, w, rand.New(rand.NewPCG(config.Seed, uint64(i)))) })
	}
	generators.Wait()
	r.requests.Wait()
	r.result.summarize()
	return r.result
}

// generate sends the requests of one workspace as a Poisson process.
func (r *runner) generate(ctx context.Context, w Workspace, random *rand.Rand) {
	if w.OfferedPerS <= 0 {
		return
	}
	arriveAt := time.Now()
	for n := 0; ; n++ {
		arriveAt = arriveAt.Add(time.Duration(random.ExpFloat64() / w.OfferedPerS * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(arriveAt)):
		}
		target := r.drawTarget(random)
		client := r.drawClient(w, random)
		nonce := fmt.Sprintf("%s-%d-%d", w.Name, r.config.Seed, n)
		resend := random.Float64() < r.config.ResendShare
		arrival := arriveAt.Sub(r.startedAt)
		r.requests.Go(func() { r.sendRequest(w, target, client, nonce, arrival, resend) })
	}
}

// drawTarget draws a target by weight.
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

// drawClient draws a region of the workspace's callers and returns its client.
func (r *runner) drawClient(w Workspace, random *rand.Rand) *regionClient {
	if len(w.Regions) > 0 {
		return r.clients[w.Regions[random.IntN(len(w.Regions))]]
	}
	return r.clients[r.config.Regions[random.IntN(len(r.config.Regions))].Name]
}

// sendRequest sends one request and records its result.
func (r *runner) sendRequest(w Workspace, t Target, c *regionClient, nonce string, arrival time.Duration, resend bool) {
	withinRate := r.result.takeToken(w, arrival)
	started := time.Now()
	last := r.sendWithRetries(w, t, c, nonce, resend)
	r.result.add(requestResult{
		nonce:      nonce,
		workspace:  w.Name,
		outcome:    last.outcome,
		code:       last.code,
		errorText:  fmt.Sprint(last.err),
		matched:    last.echoesNonce(nonce),
		withinRate: withinRate,
		latency:    time.Since(started),
	})
}

// sendWithRetries sends a request to one instance after another until it need not
// be retried, and returns the last response. If resend is set, a request with an
// idempotency key is then sent again in any case; that response is returned if the
// request was not done before.
func (r *runner) sendWithRetries(w Workspace, t Target, c *regionClient, nonce string, resend bool) response {
	list := c.lookup(w, t.Service)
	idempotencyKey := newIdempotencyKey(t, list, nonce)
	notSent := true
	var last response
	for attempt, entry := range list.GetEntries() {
		if attempt >= maxAttempts {
			break
		}
		last = c.send(entry.GetAddress(), w, t, nonce, idempotencyKey, r.config.Timeout)
		if last.err != nil {
			c.expire(w, t.Service)
		}
		notSent = notSent && last.notSent()
		if notSent {
			// Nothing was sent with this key, so a new one cannot run the request
			// twice.
			idempotencyKey = newIdempotencyKey(t, c.queryEntries(w, t.Service, list), nonce)
		}
		if !shouldRetry(t, last) {
			break
		}
	}
	if resend && t.Once {
		lastEntry := list.GetEntries()[len(list.GetEntries())-1]
		resent := c.send(lastEntry.GetAddress(), w, t, nonce, idempotencyKey, r.config.Timeout)
		if last.outcome != outcomeDone && resent.outcome == outcomeDone {
			return resent
		}
	}
	return last
}

// newIdempotencyKey returns a key with the action prefix of the lookup, or none
// if the target does not need one.
func newIdempotencyKey(t Target, list *wire.EntryList, nonce string) string {
	if !t.Once {
		return ""
	}
	return list.GetActionPrefix() + nonce
}

// shouldRetry reports whether a caller would try another instance: without a
// response, if the instance had no authority or no capacity, or if the outcome is
// unknown and the idempotency key prevents a second run.
func shouldRetry(t Target, last response) bool {
	if last.err != nil || (last.outcome == outcomeUnknown && t.Once) {
		return true
	}
	return last.outcome == outcomeNotRun && (last.code == "no_authority" || last.code == "no_capacity")
}
