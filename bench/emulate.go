package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/bulrushferry/bulrushferry/emulator"
)

// emulatedRun is the result of one emulated run.
type emulatedRun struct {
	Policy string           `json:"policy"`
	Load   float64          `json:"load"`
	Seed   uint64           `json:"seed"`
	Result *emulator.Result `json:"result"`
}

// emulatePolicies emulates a deployment with every policy at the given loads. The
// deployment is read from a JSON file in the emulator's format, or is the built-in
// one. Fields that the file lacks keep their built-in values, also in the elements
// of lists, by index.
func (o *options) emulatePolicies() error {
	config := emulator.Villacres()
	if o.EmulatedFile != "" {
		raw, err := os.ReadFile(o.EmulatedFile)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(raw, &config); err != nil {
			return fmt.Errorf("reading %s: %w", o.EmulatedFile, err)
		}
	}
	started := time.Now()
	policies := o.policies()
	fmt.Println("| policy | load | seed | earned | worst domain | worst kind | unserved | p50 ms | p99 ms | busiest to mean |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	var runs []emulatedRun
	for _, name := range policies {
		for _, load := range o.EmulateLoads {
			for seed := range uint64(o.Seeds) {
				run := emulatedRun{Policy: name, Load: load, Seed: seed + 1}
				fmt.Fprintf(os.Stderr, "%s: run %d of %d, %s at load %.2f\n", time.Since(started).Round(time.Second), len(runs)+1, len(policies)*len(o.EmulateLoads)*o.Seeds, name, load)
				run.Result = emulator.Run(config.WithLoad(load).WithSeed(run.Seed), emulator.Policies[name])
				fmt.Println(run)
				runs = append(runs, run)
			}
		}
	}
	return o.writeEmulated(runs)
}

// policies returns the names of the policies to emulate, all by default.
func (o *options) policies() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(emulator.Policies)) {
		if isSelected(o.Policies, name) {
			names = append(names, name)
		}
	}
	return names
}

// writeEmulated writes the files that are named by the options.
func (o *options) writeEmulated(runs []emulatedRun) error {
	if o.JSONFile != "" {
		raw, err := json.MarshalIndent(runs, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.JSONFile, append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	if o.PlotFile == "" {
		return nil
	}
	results := make([]caseResult, len(runs))
	for i, run := range runs {
		results[i] = caseResult{Case: fmt.Sprintf("%s at load %.2f, earned %.3f", run.Policy, run.Load, run.Result.CreditShare), Seed: run.Seed, P50Ms: run.Result.P50Ms, P99Ms: run.Result.P99Ms}
	}
	return plot(o.PlotFile, results)
}

// String formats a run as a row of a table.
func (e emulatedRun) String() string {
	r := e.Result
	return fmt.Sprintf("| %s | %.2f | %d | %.3f | %.3f | %.3f | %.3f | %.0f | %.0f | %.2f |",
		e.Policy, e.Load, e.Seed, r.CreditShare, r.MinDomainShare, r.MinKindShare, float64(r.Unserved)/float64(max(r.Requests, 1)), r.P50Ms, r.P99Ms, r.BusiestToMean)
}
