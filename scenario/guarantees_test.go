package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/bulrushferry/bulrushferry/load"
	"github.com/bulrushferry/bulrushferry/wire"
)

// newLoadConfig returns a load of all workspaces at a share of their rate limits. The
// callers of the region with index i, whose instances are in 127.N.(11+i).0/24, send from
// 127.N.(31+i).1, so that address blocks in the rules can assign them to it.
func (f *fleet) newLoadConfig(rateShare float64, duration time.Duration) load.Config {
	config := load.NewConfig(f.rules, f.keys, rateShare)
	config.Duration, config.Seed, config.ResendShare = duration, 1, 0.2
	for _, name := range f.instances {
		config.BootstrapAddresses = append(config.BootstrapAddresses, f.settings[name].GetCallerAddress())
	}
	for i, region := range f.rules.GetRegions() {
		config.Regions = append(config.Regions, load.Region{Name: region.GetName(), SourceIP: fmt.Sprintf("%s%d.1", f.addressPrefix, 31+i)})
	}
	return config
}

// runUnderLoad calls during while a load runs, and checks the guarantees at the end of
// the load.
func (f *fleet) runUnderLoad(config load.Config, during func()) *load.Result {
	f.t.Helper()
	done := make(chan *load.Result, 1)
	go func() { done <- load.Run(context.Background(), config) }()
	during()
	result := <-done
	f.checkGuarantees(result)
	return result
}

// checkGuarantees compares the outcomes that callers received with the requests that the
// backend servers ran, and checks that no limit of a server or a workspace was exceeded.
func (f *fleet) checkGuarantees(result *load.Result) {
	f.t.Helper()
	report := f.standinReport()
	for action, runs := range report.GetRunsByAction() {
		if runs > 1 {
			f.t.Errorf("action %s ran %d times", action, runs)
		}
	}
	for _, nonce := range result.NotRunNonces {
		if runs := report.GetRunsByNonce()[nonce]; runs > 0 {
			f.t.Errorf("request %s was refused as not run, but ran %d times", nonce, runs)
		}
	}
	if result.Mismatched > 0 {
		f.t.Errorf("%d responses belong to other requests", result.Mismatched)
	}
	if report.GetKeysSeen() > 0 {
		f.t.Errorf("%d requests reached backend servers with an API key", report.GetKeysSeen())
	}
	if report.GetOverSlots() > 0 || report.GetOverConnections() > 0 {
		f.t.Errorf("slot limits were exceeded %d times, connection limits %d times", report.GetOverSlots(), report.GetOverConnections())
	}
	if report.GetAfterDrain() > 0 {
		f.t.Errorf("%d requests reached a draining backend server after its grace period", report.GetAfterDrain())
	}
	f.checkRates(report)
	summary, _ := json.Marshal(result)
	worst, workspace := result.MinServedShare()
	f.t.Logf("worst served workspace: %.3f (%s), unserved share of requests within the rate limits: %.4f, %s", worst, workspace, result.UnservedShare(), summary)
}

// checkRates checks the start times at the backend servers against each workspace's
// token bucket. A request may start up to its deadline after an entry instance admitted
// it, so the bucket is larger by the tokens of slackSeconds, the longest deadline of the
// examples' routes.
func (f *fleet) checkRates(report *wire.StandinReport) {
	f.t.Helper()
	for _, w := range f.rules.GetWorkspaces() {
		times := report.GetRunTimes()[w.GetName()].GetAtMs()
		sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
		const slackSeconds = 3
		tokens, lastMs := w.GetBurst()+w.GetRatePerS()*slackSeconds, int64(0)
		for _, ms := range times {
			tokens = min(w.GetBurst()+w.GetRatePerS()*slackSeconds, tokens+w.GetRatePerS()*float64(ms-lastMs)/1000)
			lastMs = ms
			tokens--
			if tokens < -1 {
				f.t.Errorf("workspace %s exceeded its rate at %d ms", w.GetName(), ms)
				return
			}
		}
	}
}
