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

var costFlag = flag.String("cost_instances", "", "numbers of instances, separated by commas, whose cost without traffic is measured")

const (
	// costServers is how many backend servers are listed for each instance.
	costServers = 10
	costStart   = 6 * time.Second
	costIdle    = 10 * time.Second
	// ticksPerS is the unit of processor time that the kernel reports in.
	ticksPerS = 100
)

// TestCostOfControl measures what the instances spend on each other and on the
// store: at the start and when idle.
func TestCostOfControl(t *testing.T) {
	if *costFlag == "" {
		t.Skip("no numbers of instances are given")
	}
	for _, number := range strings.Split(*costFlag, ",") {
		count, err := strconv.Atoi(number)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(number, func(t *testing.T) { measureCost(t, count) })
	}
}

func measureCost(t *testing.T, count int) {
	f := prepareFleet(t, deployment{domains: threeRegions.domains, instances: count})
	for i := range count * costServers {
		d := threeRegions.domains[i%len(threeRegions.domains)]
		b := &backendServer{id: fmt.Sprintf("i-%d", i), address: "127.0.0.1:9", domain: d.name}
		f.store.put("servers", b.id, b.row("ready", 1))
	}
	f.start()
	time.Sleep(costStart)
	atStart := f.processorTimes(t)
	time.Sleep(costIdle)
	total, most := 0.0, 0.0
	start, mostStart := 0.0, 0.0
	for i, after := range f.processorTimes(t) {
		core := (after - atStart[i]).Seconds() / costIdle.Seconds()
		total, most = total+core, max(most, core)
		start, mostStart = start+atStart[i].Seconds(), max(mostStart, atStart[i].Seconds())
	}
	n := float64(count)
	t.Logf("%d instances: start %.2f s of a core each, most %.2f; idle %.4f of a core each, most %.4f", count, start/n, mostStart, total/n, most)
}

// processorTimes returns the processor time that each instance has used.
func (f *fleet) processorTimes(t *testing.T) []time.Duration {
	t.Helper()
	var out []time.Duration
	for _, in := range f.instances {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", in.pid()))
		if err != nil {
			t.Fatal(err)
		}
		// The fields after the name in brackets; user and system time are the
		// 12th and 13th of them.
		fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
		user, _ := strconv.ParseInt(fields[11], 10, 64)
		system, _ := strconv.ParseInt(fields[12], 10, 64)
		out = append(out, time.Duration(user+system)*time.Second/ticksPerS)
	}
	return out
}
