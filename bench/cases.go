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
	// benchCase is one experiment.
	benchCase struct {
		name string
		// baseline replaces the entry instances by those of a simple balancer.
		baseline string
		// share is the offered part of every workspace's rate.
		share float64
		// shape changes the load, where the case asks for it.
		shape func(config *load.Config)
		// during runs beside the load; it returns a drain time, if it measured one.
		during func(d *deployment, duration time.Duration) (time.Duration, error)
	}

	// row is what one run of a case measured.
	row struct {
		Case        string  `json:"case"`
		Seed        uint64  `json:"seed"`
		Sent        int64   `json:"sent"`
		P50Ms       float64 `json:"p50_ms"`
		P99Ms       float64 `json:"p99_ms"`
		P999Ms      float64 `json:"p999_ms"`
		WorstServed float64 `json:"worst_served"`
		Worst       string  `json:"worst"`
		Wrongful    float64 `json:"wrongful"`
		Unknown     float64 `json:"unknown"`
		DrainMs     int64   `json:"drain_ms"`
		Breaches    int     `json:"breaches"`
		Baseline    bool    `json:"baseline"`
	}
)

const (
	steadyShare   = 0.7
	floodFactor   = 5
	settleInRun   = 2 * time.Second
	slowFactor    = 10
	floodedIndex  = 2
	crowdedIndex  = 4
	moveCloseTime = time.Second
)

var cases = []benchCase{
	{name: "steady", share: steadyShare},
	{name: "flood", share: steadyShare, shape: func(c *load.Config) {
		c.Workspaces[floodedIndex].OfferedPerS = floodFactor * c.Workspaces[floodedIndex].RatePerS
	}},
	{name: "crowd at one region", share: steadyShare, shape: func(c *load.Config) {
		for i := crowdedIndex; i < len(c.Workspaces); i++ {
			c.Workspaces[i].Regions = []string{c.Regions[i%len(c.Regions)].Name}
		}
	}},
	{name: "store down", share: steadyShare, during: func(d *deployment, duration time.Duration) (time.Duration, error) {
		return 0, d.forAWhile(duration, &wire.FaultRequest{StoreDown: proto.Bool(true)}, &wire.FaultRequest{StoreDown: proto.Bool(false)})
	}},
	{name: "instance killed", share: steadyShare, during: func(d *deployment, _ time.Duration) (time.Duration, error) {
		time.Sleep(settleInRun)
		d.kill(d.names[1])
		return 0, nil
	}},
	{name: "slow server says it is idle", share: steadyShare, during: func(d *deployment, _ time.Duration) (time.Duration, error) {
		return 0, d.fault(&wire.FaultRequest{
			Server: d.firstServer(), SlowFactor: proto.Float64(slowFactor), ReportIdle: proto.Bool(true),
		})
	}},
	{name: "planned stop", share: steadyShare, during: func(d *deployment, _ time.Duration) (time.Duration, error) {
		time.Sleep(settleInRun)
		started := time.Now()
		err := d.terminate(d.names[0])
		return time.Since(started), err
	}},
	{name: "server drained by a rule", share: steadyShare, during: func(d *deployment, _ time.Duration) (time.Duration, error) {
		time.Sleep(settleInRun)
		return d.drainServer(d.firstServer())
	}},
}

func (d *deployment) firstServer() string {
	return d.plan.GetServices()[0].GetName() + "-1"
}

// forAWhile brings a fault about for the middle part of a run.
func (d *deployment) forAWhile(duration time.Duration, begin, end *wire.FaultRequest) error {
	time.Sleep(settleInRun)
	if err := d.fault(begin); err != nil {
		return err
	}
	time.Sleep(duration / 2)
	return d.fault(end)
}

// drainServer drains a server by a rule and returns the time until it has run
// nothing new for a second.
func (d *deployment) drainServer(server string) (time.Duration, error) {
	started := time.Now()
	if _, err := d.command("drain", "bench-drain", "--backend-server", server, "--who", "bench"); err != nil {
		return 0, err
	}
	last, lastAt := int64(-1), time.Now()
	for time.Since(lastAt) < moveCloseTime {
		report, err := d.report()
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

// measure runs one case on a fresh deployment.
func (o *options) measure(c benchCase, seed uint64) (row, error) {
	d, err := startDeployment(o.Deployment, o.Binaries)
	if err != nil {
		return row{}, err
	}
	defer d.stop()
	if c.baseline != "" {
		if err := d.serveBaseline(c.baseline); err != nil {
			return row{}, err
		}
	}
	config := d.loadConfig(c.share, o.Duration, seed)
	c.adapt(&config)
	if c.shape != nil {
		c.shape(&config)
	}
	done := make(chan *load.Result, 1)
	go func() { done <- load.Run(context.Background(), config) }()
	var drained time.Duration
	if c.during != nil {
		if drained, err = c.during(d, o.Duration); err != nil {
			return row{}, err
		}
	}
	r, err := d.judge(c.name, seed, <-done, drained)
	r.Baseline = c.baseline != ""
	return r, err
}

// judge turns a run's result into a row and counts the promises it broke.
func (d *deployment) judge(name string, seed uint64, result *load.Result, drained time.Duration) (row, error) {
	report, err := d.report()
	if err != nil {
		return row{}, err
	}
	worst, workspace := result.MinServedShare()
	return row{
		Case: name, Seed: seed, Sent: result.Sent,
		P50Ms: result.P50Ms, P99Ms: result.P99Ms, P999Ms: result.P999Ms,
		WorstServed: worst, Worst: workspace, Wrongful: result.UnservedShare(),
		Unknown:  float64(result.Unknown+result.Failed) / float64(max(result.Sent, 1)),
		DrainMs:  drained.Milliseconds(),
		Breaches: breaches(result, report),
	}, nil
}

// breaches counts the promises that a run broke.
func breaches(result *load.Result, report *wire.StandinReport) int {
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

// String is one line of the table of measures.
func (r row) String() string {
	return fmt.Sprintf("| %-27s | %d | %5d | %6.1f | %6.1f | %6.1f | %.3f (%s) | %.4f | %.4f | %5d | %d |",
		r.Case, r.Seed, r.Sent, r.P50Ms, r.P99Ms, r.P999Ms, r.WorstServed, r.Worst, r.Wrongful, r.Unknown, r.DrainMs, r.Breaches)
}
