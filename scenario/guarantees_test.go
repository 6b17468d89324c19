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

// loadConfig is a load of all workspaces at a share of their rates.
func (f *fleet) loadConfig(share float64, duration time.Duration) load.Config {
	config := load.NewConfig(f.rules, f.keys, share)
	config.Duration, config.Seed, config.ResendShare = duration, 1, 0.2
	for _, name := range f.names {
		config.Lookups = append(config.Lookups, f.entries[name].GetCallerAddress())
	}
	for i, region := range f.rules.GetRegions() {
		config.Regions = append(config.Regions, load.Region{Name: region.GetName(), Source: fmt.Sprintf("%s%d.1", f.net, 31+i)})
	}
	return config
}

// underLoad runs a load while break runs, then checks the promises.
func (f *fleet) underLoad(config load.Config, during func()) *load.Result {
	f.t.Helper()
	done := make(chan *load.Result, 1)
	go func() { done <- load.Run(context.Background(), config) }()
	during()
	result := <-done
	f.checkPromises(result)
	return result
}

// checkPromises holds what callers were told against what the backend servers saw.
func (f *fleet) checkPromises(result *load.Result) {
	f.t.Helper()
	report := f.report()
	for action, runs := range report.GetRunsByAction() {
		if runs > 1 {
			f.t.Errorf("action %s ran %d times", action, runs)
		}
	}
	for _, nonce := range result.NotRunNonces {
		if runs := report.GetRunsByNonce()[nonce]; runs > 0 {
			f.t.Errorf("request %s was refused as not run and ran %d times", nonce, runs)
		}
	}
	if result.Mismatched > 0 {
		f.t.Errorf("%d answers belong to other requests", result.Mismatched)
	}
	if report.GetKeysSeen() > 0 {
		f.t.Errorf("%d keys reached backend servers", report.GetKeysSeen())
	}
	if report.GetOverSlots() > 0 || report.GetOverConnections() > 0 {
		f.t.Errorf("slots exceeded %d times, connections %d times", report.GetOverSlots(), report.GetOverConnections())
	}
	if report.GetAfterDrain() > 0 {
		f.t.Errorf("%d requests reached a leaving backend server late", report.GetAfterDrain())
	}
	f.checkRates(report)
	summary, _ := json.Marshal(result)
	worst, who := result.WorstServed()
	f.t.Logf("worst served %.3f (%s), wrongful %.4f, %s", worst, who, result.WrongfulShare(), summary)
}

// checkRates holds the starts at the backend servers against each workspace's
// bucket. A request starts up to its deadline after it was admitted, so a
// window is that much longer at the servers than at the entry instances.
func (f *fleet) checkRates(report *wire.StandinReport) {
	f.t.Helper()
	for _, w := range f.rules.GetWorkspaces() {
		times := report.GetRunTimes()[w.GetName()].GetAtMs()
		sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
		const slackSeconds = 3
		level, at := w.GetBurst()+w.GetRatePerS()*slackSeconds, int64(0)
		for _, ms := range times {
			level = min(w.GetBurst()+w.GetRatePerS()*slackSeconds, level+w.GetRatePerS()*float64(ms-at)/1000)
			at = ms
			level--
			if level < -1 {
				f.t.Errorf("workspace %s ran past its rate at %d ms", w.GetName(), ms)
				return
			}
		}
	}
}
