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
	demoDuration = 14 * time.Second
	demoStep     = 2 * time.Second
)

// demo loads the deployment, edits the rules while traffic flows, issues and
// withdraws a key, kills one instance, stops another one gracefully, and prints
// the measures.
func (o *options) demo() error {
	fmt.Println("starting", o.Deployment)
	d, err := startDeployment(o.Deployment, o.Binaries)
	if err != nil {
		return err
	}
	defer d.stop()
	config := d.loadConfig(0.5, demoDuration, 1)
	done := make(chan *load.Result, 1)
	go func() { done <- load.Run(context.Background(), config) }()
	if err := d.demoSteps(); err != nil {
		return err
	}
	r, err := d.judge("demo", 1, <-done, 0)
	if err != nil {
		return err
	}
	status, _ := d.command("status")
	burn, _ := d.command("report", "burn")
	fmt.Printf("\n%s\n%s\n", status, firstLines(burn, 6))
	fmt.Println("| case | seed | sent | p50 ms | p99 ms | p99.9 ms | worst served | wrongful | unknown | drain ms | breaches |")
	fmt.Println(r)
	return broken([]row{r})
}

func (d *deployment) demoSteps() error {
	time.Sleep(demoStep)
	fmt.Println("editing the rules: draining", d.firstServer())
	text, err := os.ReadFile(filepath.Join(d.folder, "rules.txt"))
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
		out, err := d.command(step...)
		if err != nil {
			return err
		}
		if step[0] != "keys" || step[1] != "issue" {
			fmt.Print(out)
		}
	}
	time.Sleep(demoStep)
	fmt.Println("killing", d.names[1])
	d.kill(d.names[1])
	time.Sleep(demoStep)
	fmt.Println("stopping", d.names[3], "gracefully")
	return d.terminate(d.names[3])
}

// firstLines returns the first lines of a text.
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
