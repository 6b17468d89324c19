// The stand-ins of the second review's scripts: the platform's store, targets, clients, and the
// cases that run the project's processes among them.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// outcome is what a case has shown.
type outcome struct {
	// broken are the breaches of the rule, in the order of their times.
	broken []string
	// lines describe what was done, beside the requests and runs.
	lines []string
}

// longest is how long a case may take. The processes that it has started end with it.
const longest = 115 * time.Second

const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

var cases = map[string]func(w *world, l *load, trouble bool) (outcome, error){
	"missing-field": missingField,
	"stopping-node": stoppingNode,
	"slow-reader":   slowReader,
	"late-removal":  lateRemoval,
}

func main() {
	name := flag.String("case", "", "the case")
	binary := flag.String("binary", "target/bulrushferry", "the project's program")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	time.AfterFunc(longest, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(exitCannotRun)
	})
	code, err := play(*name, *binary, *record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

// play runs a case and returns the exit status.
func play(name, binary, record string, trouble bool) (int, error) {
	run, ok := cases[name]
	if !ok {
		return exitCannotRun, fmt.Errorf("there is no case %q", name)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitCannotRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w, err := newWorld(dir, binary)
	if err != nil {
		return exitCannotRun, err
	}
	defer w.stop()
	l := newLoad(w)
	startedAt := time.Now()
	result, err := run(w, l, trouble)
	if err != nil {
		return exitCannotRun, err
	}
	if err := writeRecord(record, startedAt, trouble, w, l, result); err != nil {
		return exitCannotRun, err
	}
	sent, served := l.served()
	fmt.Printf("%s: %d requests sent, %d served, %d breaches\n", name, sent, served, len(result.broken))
	switch {
	case len(result.broken) > 0:
		fmt.Println(result.broken[0])
		return exitBroken, nil
	case w.ratePerS == 0 && served*10 < sent*9:
		return exitCannotRun, fmt.Errorf("only %d of %d requests were served", served, sent)
	default:
		return exitHeld, nil
	}
}

// startAll starts three nodes, one in each region, and waits until they are ready.
func (w *world) startAll() error {
	for _, zone := range zoneNames {
		if _, err := w.startNode(zone); err != nil {
			return err
		}
	}
	return w.awaitReady(15 * time.Second)
}

// during runs the load while a function runs, from a second before it to a second after it.
func (l *load) during(do func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run(ctx)
	}()
	time.Sleep(time.Second)
	do()
	time.Sleep(time.Second)
	cancel()
	<-ended
}
