package main

import (
	"context"
	"fmt"
	"time"

	"github.com/bulrushferry/bulrushferry/load"
	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

type (
	// benchCase describes an experiment.
	benchCase struct {
		name string
		// baselinePolicy is the policy of the baseline balancers that replace the
		// entry instances. If it is empty, the instances stay.
		baselinePolicy string
		// loadShare is the load as a share of each workspace's rate limit.
		loadShare float64
		// adjustLoad changes the load; it may be nil.
		adjustLoad func(config *load.Config)
		// disrupt runs during the load and returns the time that a drain or a
		// graceful shutdown took, or zero; it may be nil.
		disrupt func(d *deployment, duration time.Duration) (time.Duration, error)
	}

	// caseResult holds the measurements of one run of a case.
	caseResult struct {
		Case               string  `json:"case"`
		Seed               uint64  `json:"seed"`
		Sent               int64   `json:"sent"`
		P50Ms              float64 `json:"p50_ms"`
		P99Ms              float64 `json:"p99_ms"`
		P999Ms             float64 `json:"p999_ms"`
		MinServedShare     float64 `json:"worst_served"`
		MinServedWorkspace string  `json:"worst"`
		UnservedShare      float64 `json:"wrongful"`
		// UnknownShare is the share of requests of unknown outcome or without a
		// response.
		UnknownShare float64 `json:"unknown"`
		// DrainMs is the time that the drain or the shutdown of the case took.
		DrainMs int64 `json:"drain_ms"`
		// Violations counts violated guarantees.
		Violations int  `json:"breaches"`
		Baseline   bool `json:"baseline"`
	}
)

const (
	defaultLoadShare = 0.7
	// floodFactor is the offered rate of a flooding workspace, relative to its
	// rate limit.
	floodFactor = 5
	// disruptionDelay is the time from the start of a run to its disruption.
	disruptionDelay = 2 * time.Second
	slowFactor      = 10
	// floodedWorkspace is the index of the workspace that exceeds its rate limit.
	floodedWorkspace = 2
	// firstCrowdedWorkspace is the index from which on a workspace has all its
	// callers in one region.
	firstCrowdedWorkspace = 4
	// drainQuietTime is the time without a new run after which a server counts as
	// drained.
	drainQuietTime = time.Second
)

// cases are the experiments with the product. Their names are the values of --case
// and appear in the results.
var cases = []benchCase{
	{name: "steady", loadShare: defaultLoadShare},
	{name: "flood", loadShare: defaultLoadShare, adjustLoad: func(c *load.Config) {
		c.Workspaces[floodedWorkspace].OfferedPerS = floodFactor * c.Workspaces[floodedWorkspace].RatePerS
	}},
	{name: "crowd at one region", loadShare: defaultLoadShare, adjustLoad: func(c *load.Config) {
		for i := firstCrowdedWorkspace; i < len(c.Workspaces); i++ {
			c.Workspaces[i].Regions = []string{c.Regions[i%len(c.Regions)].Name}
		}
	}},
	{name: "store down", loadShare: defaultLoadShare, disrupt: func(d *deployment, duration time.Duration) (time.Duration, error) {
		return 0, d.setFaultTemporarily(duration, &wire.FaultRequest{StoreDown: proto.Bool(true)}, &wire.FaultRequest{StoreDown: proto.Bool(false)})
	}},
	{name: "instance killed", loadShare: defaultLoadShare, disrupt: func(d *deployment, _ time.Duration) (time.Duration, error) {
		time.Sleep(disruptionDelay)
		d.kill(d.instances[1])
		return 0, nil
	}},
	{name: "slow server says it is idle", loadShare: defaultLoadShare, disrupt: func(d *deployment, _ time.Duration) (time.Duration, error) {
		return 0, d.setFault(&wire.FaultRequest{
			Server: d.firstServer(), SlowFactor: proto.Float64(slowFactor), ReportIdle: proto.Bool(true),
		})
	}},
	{name: "planned stop", loadShare: defaultLoadShare, disrupt: func(d *deployment, _ time.Duration) (time.Duration, error) {
		time.Sleep(disruptionDelay)
		started := time.Now()
		err := d.terminate(d.instances[0])
		return time.Since(started), err
	}},
	{name: "server drained by a rule", loadShare: defaultLoadShare, disrupt: func(d *deployment, _ time.Duration) (time.Duration, error) {
		time.Sleep(disruptionDelay)
		return d.drainServer(d.firstServer())
	}},
}

// firstServer returns the name of the first service's first backend server.
func (d *deployment) firstServer() string {
	return d.standin.GetServices()[0].GetName() + "-1"
}

// setFaultTemporarily starts a fault and ends it after half of a run's duration.
func (d *deployment) setFaultTemporarily(duration time.Duration, begin, end *wire.FaultRequest) error {
	time.Sleep(disruptionDelay)
	if err := d.setFault(begin); err != nil {
		return err
	}
	time.Sleep(duration / 2)
	return d.setFault(end)
}

// drainServer drains a server by a rule and returns the time until its last run
// started.
func (d *deployment) drainServer(server string) (time.Duration, error) {
	started := time.Now()
	if _, err := d.runCommand("drain", "bench-drain", "--backend-server", server, "--who", "bench"); err != nil {
		return 0, err
	}
	last, lastAt := int64(-1), time.Now()
	for time.Since(lastAt) < drainQuietTime {
		report, err := d.standinReport()
		if err != nil {
			return 0, err
		}
		if runs := report.GetRunsByServer()[server]; runs != last {
			last, lastAt = runs, time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return lastAt.Sub(started), nil
}

// runCase runs one case on a fresh deployment.
func (o *options) runCase(c benchCase, seed uint64) (caseResult, error) {
	d, err := startDeployment(o.DeploymentDir, o.BinDir)
	if err != nil {
		return caseResult{}, err
	}
	defer d.stop()
	if c.baselinePolicy != "" {
		if err := d.replaceInstances(c.baselinePolicy); err != nil {
			return caseResult{}, err
		}
	}
	config := d.newLoadConfig(c.loadShare, o.Duration, seed)
	c.adjustForBaseline(&config)
	if c.adjustLoad != nil {
		c.adjustLoad(&config)
	}
	done := make(chan *load.Result, 1)
	go func() { done <- load.Run(context.Background(), config) }()
	var drained time.Duration
	if c.disrupt != nil {
		if drained, err = c.disrupt(d, o.Duration); err != nil {
			return caseResult{}, err
		}
	}
	r, err := d.evaluate(c.name, seed, <-done, drained)
	r.Baseline = c.baselinePolicy != ""
	return r, err
}

// evaluate combines the measurements of a run with the report of the standin program.
func (d *deployment) evaluate(name string, seed uint64, result *load.Result, drained time.Duration) (caseResult, error) {
	report, err := d.standinReport()
	if err != nil {
		return caseResult{}, err
	}
	minServedShare, workspace := result.MinServedShare()
	return caseResult{
		Case: name, Seed: seed, Sent: result.Sent,
		P50Ms: result.P50Ms, P99Ms: result.P99Ms, P999Ms: result.P999Ms,
		MinServedShare: minServedShare, MinServedWorkspace: workspace, UnservedShare: result.UnservedShare(),
		UnknownShare: float64(result.Unknown+result.Failed) / float64(max(result.Sent, 1)),
		DrainMs:      drained.Milliseconds(),
		Violations:   countViolations(result, report),
	}, nil
}

// countViolations counts violated guarantees: responses that belong to another
// request, API keys that reached backend servers, exceeded limits of slots and
// connections, requests that reached a draining server late, actions that ran more
// than once, and requests that ran although they were refused as not run.
func countViolations(result *load.Result, report *wire.StandinReport) int {
	count := int(result.Mismatched + report.GetKeysSeen() + report.GetOverSlots() + report.GetOverConnections() + report.GetAfterDrain())
	for _, runs := range report.GetRunsByAction() {
		if runs > 1 {
			count++
		}
	}
	for _, nonce := range result.NotRunNonces {
		if report.GetRunsByNonce()[nonce] > 0 {
			count++
		}
	}
	return count
}

// String formats a result as a row of a table.
func (r caseResult) String() string {
	return fmt.Sprintf("| %-27s | %d | %5d | %6.1f | %6.1f | %6.1f | %.3f (%s) | %.4f | %.4f | %5d | %d |",
		r.Case, r.Seed, r.Sent, r.P50Ms, r.P99Ms, r.P999Ms, r.MinServedShare, r.MinServedWorkspace, r.UnservedShare, r.UnknownShare, r.DrainMs, r.Violations)
}
