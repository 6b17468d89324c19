package soak

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestSettingsReload checks that a change of the settings file is applied under load, with
// and without SIGHUP, that invalid settings are rejected, and that every request gets a
// response.
func TestSettingsReload(t *testing.T) {
	f := newFleet(t, deployment{domains: []domain{{"only", "one"}}, instances: 1, servers: 4})
	in := f.instances[0]
	load := &loadGenerator{fleet: f, withdrawnAt: make(map[string]time.Time)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { load.run(ctx, 1) })
	startedAt := time.Now()
	steps := []struct {
		from, to string
		signal   bool
		wantLog  string
	}{
		{from: "revoke=4s", to: "revoke=3s", signal: true, wantLog: `"Authority":3000`},
		{from: "revoke=3s", to: "revoke=2s", wantLog: `"Authority":2000`},
		{from: "revoke=2s", to: "revoke=soon", signal: true, wantLog: "the settings cannot be read and are not taken"},
	}
	for _, step := range steps {
		in.replaceInSettings(t, step.from, step.to)
		if step.signal {
			in.signal(syscall.SIGHUP)
		}
		if !in.waitForLog(step.wantLog, 4*time.Second) {
			t.Errorf("%s: the log does not contain %s", step.to, step.wantLog)
		}
	}
	cancel()
	group.Wait()
	if unanswered := load.countUnanswered(startedAt, time.Now()); unanswered > 0 {
		t.Errorf("%d requests got no response", unanswered)
	}
	for _, v := range load.violations(f.requestLog) {
		t.Error(v)
	}
}

// replaceInSettings replaces the first occurrence of a text in the settings file.
func (in *instance) replaceInSettings(t *testing.T, from, to string) {
	t.Helper()
	raw, err := os.ReadFile(in.settingsFile)
	if err == nil {
		err = os.WriteFile(in.settingsFile, []byte(strings.Replace(string(raw), from, to, 1)), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// waitForLog waits until the instance's log contains a text and reports whether it does.
func (in *instance) waitForLog(text string, timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		raw, _ := os.ReadFile(in.logFile)
		if strings.Contains(string(raw), text) {
			return true
		}
	}
	return false
}

// TestHangupRightAfterStart sends SIGHUP as soon as an instance listens. It must not end the
// process, which may have just begun to run.
func TestHangupRightAfterStart(t *testing.T) {
	f := newFleet(t, deployment{domains: []domain{{"only", "one"}}, instances: 1, servers: 1})
	in := f.instances[0]
	for range 10 {
		in.restart(t, syscall.SIGKILL, 0)
		f.waitListening()
		for range 3 {
			in.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(300 * time.Millisecond)
	if ended := f.endedInstances(); len(ended) > 0 {
		t.Fatalf("%v ended by themselves", ended)
	}
}

// TestHangupBeforeStart sends SIGHUP to processes that have not run their first line yet and that
// were started with SIGHUP ignored. It must not end them, and they must heed a later one.
func TestHangupBeforeStart(t *testing.T) {
	ignoreHangups(t)
	f := newFleet(t, deployment{domains: []domain{{"only", "one"}}, instances: 1, servers: 1})
	in := f.instances[0]
	for range 10 {
		in.restart(t, syscall.SIGKILL, 0)
		in.signal(syscall.SIGHUP)
		f.waitListening()
	}
	in.signal(syscall.SIGHUP)
	if !in.waitForLog("received SIGHUP", 4*time.Second) {
		t.Error("a SIGHUP after the start was not heeded")
	}
	if ended := f.endedInstances(); len(ended) > 0 {
		t.Fatalf("%v ended by themselves", ended)
	}
}

// ignoreHangups has the processes that the test starts ignore SIGHUP until they catch it, like
// those that nohup starts. By default SIGHUP ends a process that has not run its first line yet.
func ignoreHangups(t *testing.T) {
	signal.Ignore(syscall.SIGHUP)
	t.Cleanup(func() { signal.Reset(syscall.SIGHUP) })
}
