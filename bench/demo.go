package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/bulrushferry/bulrushferry/load"
)

const (
	demoDuration  = 14 * time.Second
	demoStepDelay = 2 * time.Second
)

// runDemo puts a deployment under load, makes changes to it meanwhile, and prints the
// measurements.
func (o *options) runDemo() error {
	fmt.Println("starting", o.DeploymentDir)
	d, err := startDeployment(o.DeploymentDir, o.BinDir)
	if err != nil {
		return err
	}
	defer d.stop()
	config := d.newLoadConfig(0.5, demoDuration, 1)
	done := make(chan *load.Result, 1)
	go func() { done <- load.Run(context.Background(), config) }()
	if err := d.runDemoSteps(); err != nil {
		return err
	}
	r, err := d.evaluate("demo", 1, <-done, 0)
	if err != nil {
		return err
	}
	status, _ := d.runCommand("status")
	burn, _ := d.runCommand("report", "burn")
	fmt.Printf("\n%s\n%s\n", status, firstLines(burn, 6))
	fmt.Println("| case | seed | sent | p50 ms | p99 ms | p99.9 ms | worst served | wrongful | unknown | drain ms | breaches |")
	fmt.Println(r)
	return checkViolations([]caseResult{r})
}

// runDemoSteps edits the rules, issues and withdraws a key, kills one instance and
// stops another one gracefully.
func (d *deployment) runDemoSteps() error {
	time.Sleep(demoStepDelay)
	fmt.Println("editing the rules: draining", d.firstServer())
	text, err := os.ReadFile(filepath.Join(d.dir, "rules.txt"))
	if err != nil {
		return err
	}
	edited := filepath.Join(os.TempDir(), "bulrushferry-demo-rules.txt")
	line := fmt.Sprintf("drain demo backend_server=%s # asked by demo: shows an edit under traffic\n", d.firstServer())
	if err := os.WriteFile(edited, append(text, line...), 0o644); err != nil {
		return err
	}
	steps := [][]string{
		{"rules", "diff", edited},
		{"rules", "apply", "--who", "demo", edited},
		{"keys", "issue", "--id", "demo", "--workspace", d.rules.GetWorkspaces()[0].GetName()},
		{"keys", "withdraw", "demo"},
	}
	for _, step := range steps {
		out, err := d.runCommand(step...)
		if err != nil {
			return err
		}
		if step[0] != "keys" || step[1] != "issue" {
			fmt.Print(out)
		}
	}
	time.Sleep(demoStepDelay)
	fmt.Println("killing", d.instances[1])
	d.kill(d.instances[1])
	time.Sleep(demoStepDelay)
	fmt.Println("stopping", d.instances[3], "gracefully")
	return d.terminate(d.instances[3])
}

// firstLines returns the first n lines of a text.
func firstLines(text string, n int) string {
	for i, r := range text {
		if r == '\n' {
			n--
		}
		if n == 0 {
			return text[:i+1]
		}
	}
	return text
}
