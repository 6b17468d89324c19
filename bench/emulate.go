package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/bulrushferry/bulrushferry/emulator"
)

// emulated is the result of one emulated run.
type emulated struct {
	Policy string           `json:"policy"`
	Load   float64          `json:"load"`
	Seed   uint64           `json:"seed"`
	Result *emulator.Result `json:"result"`
}

// emulate plays a deployment on a simulated clock with each policy at some loads.
// The deployment is a JSON file in the emulator's format, or the built-in one.
func (o *options) emulate() error {
	config := emulator.Villacres()
	if o.Emulated != "" {
		raw, err := os.ReadFile(o.Emulated)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(raw, &config); err != nil {
			return fmt.Errorf("reading %s: %w", o.Emulated, err)
		}
	}
	fmt.Println("| policy | load | seed | earned | worst domain | worst kind | unserved | p50 ms | p99 ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	var runs []emulated
	for _, name := range slices.Sorted(maps.Keys(emulator.Policies)) {
		for _, load := range o.Emulate {
			for seed := range uint64(o.Seeds) {
				run := emulated{Policy: name, Load: load, Seed: seed + 1}
				run.Result = emulator.Run(config.WithLoad(load).WithSeed(run.Seed), emulator.Policies[name])
				fmt.Println(run)
				runs = append(runs, run)
			}
		}
	}
	if o.JSON == "" {
		return nil
	}
	raw, err := json.MarshalIndent(runs, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(o.JSON, append(raw, '\n'), 0o644)
}

// String formats a run as a row of a table.
func (e emulated) String() string {
	r := e.Result
	return fmt.Sprintf("| %s | %.2f | %d | %.3f | %.3f | %.3f | %.3f | %.0f | %.0f |",
		e.Policy, e.Load, e.Seed, r.CreditShare, r.MinDomainShare, r.MinKindShare, float64(r.Unserved)/float64(max(r.Requests, 1)), r.P50Ms, r.P99Ms)
}
