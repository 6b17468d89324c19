// Command bench runs experiments on a deployment of real processes, or on an
// emulated one, and reports the measurements. It is not part of the product.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	DeploymentDir string        `long:"deployment" default:"example/villacres" description:"folder of the deployment"`
	BinDir        string        `long:"binaries" default:"bin" description:"folder of the programs"`
	Cases         []string      `long:"case" description:"case to run; all by default"`
	Seeds         int           `long:"seeds" default:"1" description:"runs of each case"`
	Duration      time.Duration `long:"duration" default:"15s" description:"length of each run"`
	JSONFile      string        `long:"json" description:"file for the results"`
	PlotFile      string        `long:"plot" description:"file for a plot as SVG"`
	CapacitySizes []int         `long:"capacity" description:"measure idle fleets of these sizes instead"`
	EmulateLoads  []float64     `long:"emulate" description:"emulate a deployment on a simulated clock at these loads instead"`
	EmulatedFile  string        `long:"emulated" description:"JSON file of the deployment to emulate; by default that of Villacrés"`
	Policies      []string      `long:"policy" description:"policy to emulate; all by default"`
	Demo          bool          `long:"demo" description:"short run that edits rules, withdraws a key and kills an instance"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func (o *options) run() error {
	if o.Demo {
		return o.runDemo()
	}
	if len(o.CapacitySizes) > 0 {
		return o.measureCapacity()
	}
	if len(o.EmulateLoads) > 0 {
		return o.emulatePolicies()
	}
	var results []caseResult
	for _, c := range append(cases, baselineCases()...) {
		if !isSelected(o.Cases, c.name) {
			continue
		}
		for seed := range o.Seeds {
			r, err := o.runCase(c, uint64(seed+1))
			if err != nil {
				return fmt.Errorf("case %s, seed %d: %w", c.name, seed+1, err)
			}
			results = append(results, r)
			fmt.Println(r)
		}
	}
	if err := o.writeResults(results); err != nil {
		return err
	}
	return checkViolations(results)
}

// isSelected reports whether a case is to be run; all are if none is named.
func isSelected(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

// writeResults writes the files that are named by the options.
func (o *options) writeResults(results []caseResult) error {
	if o.JSONFile != "" {
		raw, err := json.MarshalIndent(results, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.JSONFile, append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	if o.PlotFile != "" {
		return plot(o.PlotFile, results)
	}
	return nil
}

// checkViolations returns an error if a run violated guarantees. Runs with baseline
// balancers are ignored.
func checkViolations(results []caseResult) error {
	for _, r := range results {
		if r.Violations > 0 && !r.Baseline {
			return fmt.Errorf("case %s, seed %d violated %d guarantees", r.Case, r.Seed, r.Violations)
		}
	}
	return nil
}
