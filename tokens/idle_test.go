package tokens

import (
	"math/rand/v2"
	"testing"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
	"pgregory.net/rapid"
)

// TestIdleBucketsKeepTheirTokens checks the tokens of a workspace that nobody has used for a
// while, right after another instance has changed its lease, against the limit of 100.
func TestIdleBucketsKeepTheirTokens(t *testing.T) {
	self, other := quota.Owner{Process: 1, Key: quota.Key("owner")}, quota.Owner{Process: 9, Key: quota.Key("another")}
	kept, lost := workspaceOf(t, self, other), workspaceOf(t, other, self)
	cases := map[string]struct {
		workspace string
		lease     quota.Lease
		want      float64
	}{
		"the same owners":              {workspace: kept, lease: quota.Lease{Owners: quota.Owners{self}, Paused: []uint64{1}}, want: 100},
		"the same owner in both lists": {workspace: kept, lease: quota.Lease{Owners: quota.Owners{self, other}, Former: quota.Owners{self}}, want: 100},
		"another owner":                {workspace: lost, lease: quota.Lease{Owners: quota.Owners{self, other}, Former: quota.Owners{self}}, want: 50},
		"no owner":                     {workspace: kept, lease: quota.Lease{Former: quota.Owners{self}}, want: 50},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			manual := &clock.Manual{}
			manual.Set(clock.Second)
			limiter, view, network := newTestLimiters(manual)
			lease(manual.Now(), limiter, view, network)
			for range 10 {
				manual.Advance(testTerm - 1)
				lease(manual.Now(), limiter, view, network)
			}
			c.lease.Term = testTerm
			network.owner.HandleTokenAsk(&wire.TokenAsk{Sender: 2, LeaseNumber: 2, Lease: leaseToWire(&c.lease), EchoProcess: 1, EchoMs: int64(manual.Now())})
			manual.Advance(1)
			grant := network.owner.HandleTokenAsk(&wire.TokenAsk{Sender: 2, LeaseNumber: 2, Wants: []*wire.TokenWant{{Workspace: c.workspace, Tokens: 1000, Waiting: 1000}}})
			if got := grant.GetParts()[0].GetTokens(); got != c.want {
				t.Errorf("%.1f tokens were granted, want %.1f", got, c.want)
			}
		})
	}
}

// workspaceOf returns a workspace whose bucket belongs to the first of two owners.
func workspaceOf(t *testing.T, owner, other quota.Owner) string {
	t.Helper()
	workspace := "w"
	for (quota.Owners{owner, other}).For(quota.Key(workspace)) != owner {
		workspace += "w"
	}
	return workspace
}

// TestIdleBucketsKeepTheRate is TestHandoversKeepTheRate for a workspace whose requests pause for
// long enough that no instance keeps its bucket, and then come all at once.
func TestIdleBucketsKeepTheRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		f := newModelFleet(random, 1+random.IntN(9), quota.Limit{RatePerS: 100, Burst: 50 + float64(random.IntN(100))})
		f.lossPercent, f.latePercent = random.IntN(30), random.IntN(10)
		f.disturb(40 * clock.Second)
		for range 4 {
			f.run(idleTime+clock.Millis(random.IntN(5000)), 0)
			f.run(clock.Millis(200+random.IntN(2000)), 10)
		}
		f.check(rt)
	})
}

// TestHistoryIsBounded guards against first requests that cost the more the larger the fleet is
// and the more its leases change.
func TestHistoryIsBounded(t *testing.T) {
	ledger := quota.NewLedger(1)
	history := newHistory(0, holding{})
	for n := range 2 * maxSteps {
		if n < maxSteps/2 {
			addLease(ledger, n)
		}
		history.add(clock.Millis(n/3), holding{leases: ledger.Holdings(), share: 0.01})
		steps := 0
		for _, p := range history.periods {
			steps += p.steps()
		}
		if steps != history.steps || (steps > maxSteps && len(history.periods) > 1) {
			t.Fatalf("after %d changes a bucket takes %d steps, counted as %d, want at most %d", n+1, steps, history.steps, maxSteps)
		}
	}
}

// TestTokensAreMovedOnce has a lessor pause an owner right after it has moved tokens to it. It
// guards against moving them again with the next lease, which an owner whose lease has ended
// meanwhile would take for new ones.
func TestTokensAreMovedOnce(t *testing.T) {
	manual := &clock.Manual{}
	manual.Set(clock.Second)
	limiter, _, _ := newTestLimiters(manual)
	limiter.Refresh()
	limiter.moved["w"] = 50
	limiter.publish(manual.Now(), true)
	limiter.peerAt("owner").process = 1
	if first := limiter.buildAsk("owner", nil); len(first.GetMoved()) != 1 {
		t.Fatalf("moved with the first lease: %v", first.GetMoved())
	}
	limiter.peerAt("owner").stating = false
	limiter.lessor.Pause([]uint64{1})
	limiter.publish(manual.Now(), false)
	if next := limiter.buildAsk("owner", nil); next.GetLease() == nil || len(next.GetMoved()) != 0 {
		t.Errorf("moved with the next lease: %v", next)
	}
}
