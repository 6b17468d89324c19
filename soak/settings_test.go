package soak

import (
	"context"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestChangedSettings changes the settings file under load, with and without a
// signal, and then breaks it: good settings come into force, bad ones do not,
// and no request is lost.
func TestChangedSettings(t *testing.T) {
	f := newFleet(t, deployment{domains: []domain{{"only", "one"}}, instances: 1, servers: 4})
	in := f.instances[0]
	c := &callers{f: f, withdrawn: make(map[string]time.Time)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { c.run(ctx, 1) })
	began := time.Now()
	steps := []struct {
		old, new string
		signal   bool
		logged   string
	}{
		{old: "revoke=4s", new: "revoke=3s", signal: true, logged: `"Authority":3000`},
		{old: "revoke=3s", new: "revoke=2s", logged: `"Authority":2000`},
		{old: "revoke=2s", new: "revoke=soon", signal: true, logged: "the settings cannot be read and are not taken"},
	}
	for _, step := range steps {
		in.changeSettings(t, step.old, step.new)
		if step.signal {
			in.signal(syscall.SIGHUP)
		}
		if !in.awaitLog(step.logged, 4*time.Second) {
			t.Errorf("%s: the log does not say %s", step.new, step.logged)
		}
	}
	cancel()
	group.Wait()
	if lost := c.lost(began, time.Now()); lost > 0 {
		t.Errorf("%d requests got no answer", lost)
	}
	for _, b := range c.check(f.ledger) {
		t.Error(b)
	}
}

// changeSettings replaces a text in the instance's settings file.
func (in *instance) changeSettings(t *testing.T, from, to string) {
	t.Helper()
	raw, err := os.ReadFile(in.nodeFile)
	if err == nil {
		err = os.WriteFile(in.nodeFile, []byte(strings.Replace(string(raw), from, to, 1)), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// awaitLog waits until the instance's log holds a text.
func (in *instance) awaitLog(text string, most time.Duration) bool {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		raw, _ := os.ReadFile(in.log)
		if strings.Contains(string(raw), text) {
			return true
		}
	}
	return false
}
