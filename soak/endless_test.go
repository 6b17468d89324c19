package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/bulrushferry/bulrushferry/http1/responsetest"
)

const (
	// endlessCallers is how many requests are sent at a time while servers answer without end.
	endlessCallers = 60
	// maxEndlessRounds is how often they are sent until each of the servers has been reached.
	maxEndlessRounds = 30
	// endlessPause is the time between two rounds, or between two looks.
	endlessPause = 200 * time.Millisecond
	// endlessStoreTime is how long the store goes on with its first answer without end.
	endlessStoreTime = 500 * time.Millisecond
	// maxStoreDelay is how long an instance may wait between two calls of the store.
	maxStoreDelay = 5 * time.Second
)

// TestEndlessServers guards against backend servers that answer without end, each in another
// way, and end the process or take it over the memory that its settings state. An ordinary
// request must be answered afterwards.
func TestEndlessServers(t *testing.T) {
	f := newFleet(t, deployment{domains: []domain{{"only", "one"}}, instances: 1, servers: 4, memoryMB: heavyMemoryMB})
	in := f.instances[0]
	servers := make(map[string]*responsetest.EndlessServer)
	for i, name := range slices.Sorted(maps.Keys(responsetest.Endless)) {
		server := responsetest.ServeEndless(t, "")
		server.Start(name)
		servers[name] = server
		b := &backendServer{id: fmt.Sprint("endless-", i), address: server.Address, domain: "only"}
		f.store.put("servers", b.id, b.row("ready", 1))
	}
	isMissed := func(s *responsetest.EndlessServer) bool { return s.Begun() == 0 }
	for round := range maxEndlessRounds {
		if !slices.ContainsFunc(slices.Collect(maps.Values(servers)), isMissed) {
			break
		}
		in.sendTogether(round * endlessCallers)
		time.Sleep(endlessPause)
	}
	for name, server := range servers {
		t.Logf("%s: %d answers", name, server.Begun())
		if isMissed(server) {
			t.Errorf("%s: the server was not reached", name)
		}
	}
	checkAlive(t, f)
}

// sendTogether sends ordinary requests at a time and waits for their ends.
func (in *instance) sendTogether(first int) {
	var callers sync.WaitGroup
	for n := range endlessCallers {
		callers.Go(func() { _, _ = in.sendOrdinary(first + n) })
	}
	callers.Wait()
}

// TestEndlessStore guards against a store that answers without end, in one way after the other,
// and ends the process or takes it over the memory that its settings state. The instance must
// follow the store again afterwards.
func TestEndlessStore(t *testing.T) {
	f := newFleet(t, deployment{domains: []domain{{"only", "one"}}, instances: 1, servers: 4, memoryMB: heavyMemoryMB})
	in := f.instances[0]
	target := in.proxy.target
	server := responsetest.ServeEndless(t, "")
	in.proxy.setTarget(server.Address)
	for name := range responsetest.Endless {
		before := server.Begun()
		server.Start(name)
		for waited := time.Now(); server.Begun() == before && time.Since(waited) < maxStoreDelay; {
			time.Sleep(endlessPause)
		}
		if server.Begun() == before {
			t.Errorf("%s: the store was not called", name)
		}
		time.Sleep(endlessStoreTime)
		if ended := f.endedInstances(); len(ended) > 0 {
			t.Fatalf("%s: %v ended by themselves", name, ended)
		}
	}
	in.proxy.setTarget(target)
	checkAlive(t, f)
}

// checkAlive checks that the only instance of a fleet has not ended, has kept to its memory and
// answers an ordinary request.
func checkAlive(t *testing.T, f *fleet) {
	t.Helper()
	in := f.instances[0]
	if !in.askOrdinary(t) {
		t.Error("no ordinary request was answered")
	}
	if ended := f.endedInstances(); len(ended) > 0 {
		t.Errorf("%v ended by themselves", ended)
	}
	memory := peakMemoryMB(in.pid())
	t.Logf("memory %d MiB at most", memory)
	if memory > heavyMemoryMB {
		t.Errorf("the process held %d MiB, more than its limit of %d", memory, heavyMemoryMB)
	}
	if t.Failed() {
		f.logTails()
	}
}
