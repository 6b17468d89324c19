package soak

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

var costFlag = flag.String("cost_instances", "", "comma-separated numbers of instances for which to measure the cost without traffic")

const (
	// serversPerInstance is how many backend servers are listed for each instance.
	serversPerInstance = 10
	startupDuration    = 6 * time.Second
	idleDuration       = 10 * time.Second
	// clockTicksPerSecond is USER_HZ, the number of units of CPU time per second in
	// /proc/PID/stat.
	clockTicksPerSecond = 100
)

// TestCostOfControl measures the CPU time that instances spend on each other and on the
// store during startup and when idle.
func TestCostOfControl(t *testing.T) {
	if *costFlag == "" {
		t.Skip("-cost_instances is not set")
	}
	for _, number := range strings.Split(*costFlag, ",") {
		count, err := strconv.Atoi(number)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(number, func(t *testing.T) { measureCPUCost(t, count) })
	}
}

func measureCPUCost(t *testing.T, count int) {
	f := prepareFleet(t, deployment{domains: threeRegions.domains, instances: count})
	for i := range count * serversPerInstance {
		d := threeRegions.domains[i%len(threeRegions.domains)]
		b := &backendServer{id: fmt.Sprintf("i-%d", i), address: "127.0.0.1:9", domain: d.name}
		f.store.put("servers", b.id, b.row("ready", 1))
	}
	f.start()
	time.Sleep(startupDuration)
	startupTimes := f.cpuTimes(t)
	time.Sleep(idleDuration)
	idleTotal, idleMax := 0.0, 0.0
	startupTotal, startupMax := 0.0, 0.0
	for i, after := range f.cpuTimes(t) {
		core := (after - startupTimes[i]).Seconds() / idleDuration.Seconds()
		idleTotal, idleMax = idleTotal+core, max(idleMax, core)
		startupTotal, startupMax = startupTotal+startupTimes[i].Seconds(), max(startupMax, startupTimes[i].Seconds())
	}
	n := float64(count)
	t.Logf("%d instances: CPU time at startup %.2f s on average, %.2f s at most; idle CPU usage %.4f cores on average, %.4f at most", count, startupTotal/n, startupMax, idleTotal/n, idleMax)
}

// cpuTimes returns the CPU time that each instance has used.
func (f *fleet) cpuTimes(t *testing.T) []time.Duration {
	t.Helper()
	var out []time.Duration
	for _, in := range f.instances {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", in.pid()))
		if err != nil {
			t.Fatal(err)
		}
		// User and system time are the 12th and 13th field after the process name, which
		// is in parentheses.
		fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
		user, _ := strconv.ParseInt(fields[11], 10, 64)
		system, _ := strconv.ParseInt(fields[12], 10, 64)
		out = append(out, time.Duration(user+system)*time.Second/clockTicksPerSecond)
	}
	return out
}
