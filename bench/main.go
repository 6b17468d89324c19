// Command bench runs experiments against a deployment of real processes and
// reports what was measured. It is not part of the product.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Deployment string        `long:"deployment" default:"example/villacres" description:"folder of the deployment"`
	Binaries   string        `long:"binaries" default:"bin" description:"folder of the programs"`
	Cases      []string      `long:"case" description:"case to run; all by default"`
	Seeds      int           `long:"seeds" default:"1" description:"runs of each case"`
	Duration   time.Duration `long:"duration" default:"15s" description:"length of each run"`
	JSON       string        `long:"json" description:"file for the results"`
	Plot       string        `long:"plot" description:"file for a plot as SVG"`
	Capacity   []int         `long:"capacity" description:"measure idle fleets of these sizes instead"`
	Emulate    []float64     `long:"emulate" description:"play a deployment on a simulated clock at these loads instead"`
	Emulated   string        `long:"emulated" description:"JSON file of the deployment to emulate; by default that of Villacrés"`
	Demo       bool          `long:"demo" description:"short run that edits rules, withdraws a key and kills an instance"`
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
		return o.demo()
	}
	if len(o.Capacity) > 0 {
		return o.capacity()
	}
	if len(o.Emulate) > 0 {
		return o.emulate()
	}
	var rows []row
	for _, c := range append(cases, baselineCases()...) {
		if !wanted(o.Cases, c.name) {
			continue
		}
		for seed := range o.Seeds {
			r, err := o.measure(c, uint64(seed+1))
			if err != nil {
				return fmt.Errorf("case %s, seed %d: %w", c.name, seed+1, err)
			}
			rows = append(rows, r)
			fmt.Println(r)
		}
	}
	if err := o.write(rows); err != nil {
		return err
	}
	return broken(rows)
}

func wanted(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

func (o *options) write(rows []row) error {
	if o.JSON != "" {
		raw, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.JSON, append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	if o.Plot != "" {
		return plot(o.Plot, rows)
	}
	return nil
}

func broken(rows []row) error {
	for _, r := range rows {
		if r.Breaches > 0 && !r.Baseline {
			return fmt.Errorf("case %s, seed %d broke %d promises", r.Case, r.Seed, r.Breaches)
		}
	}
	return nil
}
