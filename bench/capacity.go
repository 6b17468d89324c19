package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

type (
	// footprint holds the resources that an idle fleet uses.
	footprint struct {
		Instances int `json:"instances"`
		// The next three are averages for each instance. The network traffic
		// includes that of all other processes on the loopback interface.
		CPUPercent    float64 `json:"cpu_percent_of_a_core"`
		MemoryMB      float64 `json:"memory_mb"`
		NetworkKBPerS float64 `json:"network_kb_per_s"`
		// StoreReadsPerS is the rate at which the whole fleet reads the table service.
		StoreReadsPerS float64 `json:"store_reads_per_s"`
	}

	// resourceUsage holds the sums over all entry processes, as of a time.
	resourceUsage struct {
		at           time.Time
		cpu          time.Duration
		memoryBytes  int64
		networkBytes int64
		storeReads   int64
	}
)

const (
	capacityDuration = 15 * time.Second
	// clockTick is the unit of CPU times in /proc, and pageBytes that of memory sizes.
	clockTick = 10 * time.Millisecond
	pageBytes = 4096
	// hostsPerSubnet is how many addresses of each subnet 127.0.N.0/24 are used,
	// from N = firstCapacitySubnet on.
	hostsPerSubnet      = 200
	firstCapacitySubnet = 200
	// These are the indexes of fields in /proc/PID/stat, from zero.
	statUtimeIndex = 13
	statStimeIndex = 14
	statRSSIndex   = 23
)

// measureCapacity measures idle fleets of the given sizes and prints a line of JSON
// for each.
func (o *options) measureCapacity() error {
	for _, size := range o.CapacitySizes {
		f, err := o.measureFleet(size)
		if err != nil {
			return err
		}
		line, _ := json.Marshal(f)
		fmt.Println(string(line))
	}
	return nil
}

// measureFleet starts a fleet and measures what it uses without load.
func (o *options) measureFleet(size int) (footprint, error) {
	dir, err := os.MkdirTemp("", "bulrushferry-capacity")
	if err != nil {
		return footprint{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := o.writeFleetFiles(dir, size); err != nil {
		return footprint{}, err
	}
	d, err := startDeployment(dir, o.BinDir)
	if err != nil {
		return footprint{}, err
	}
	defer d.stop()
	before, err := d.readUsage()
	if err != nil {
		return footprint{}, err
	}
	time.Sleep(capacityDuration)
	after, err := d.readUsage()
	if err != nil {
		return footprint{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	instances := float64(size)
	return footprint{
		Instances:      size,
		CPUPercent:     100 * (after.cpu - before.cpu).Seconds() / seconds / instances,
		MemoryMB:       float64(after.memoryBytes) / instances / 1e6,
		NetworkKBPerS:  float64(after.networkBytes-before.networkBytes) / seconds / instances / 1e3,
		StoreReadsPerS: float64(after.storeReads-before.storeReads) / seconds,
	}, nil
}

// writeFleetFiles writes the files of a deployment with the given number of
// instances. Their settings are copied, round robin, from those of the instances of
// the deployment in the options.
func (o *options) writeFleetFiles(dir string, size int) error {
	d := &deployment{dir: o.DeploymentDir, settings: make(map[string]*wire.EntrySettings)}
	if err := d.readFiles(); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(dir, "entries"), 0o755); err != nil {
		return err
	}
	for _, name := range []string{"rules.txt", "deployment.json"} {
		raw, err := os.ReadFile(filepath.Join(o.DeploymentDir, name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), raw, 0o644); err != nil {
			return err
		}
	}
	var certs []string
	seeds := []string{instanceIP(0) + ":7000", instanceIP(1) + ":7000", instanceIP(2) + ":7000"}
	for i := range size {
		s := proto.CloneOf(d.settings[d.instances[i%len(d.instances)]])
		s.Instance = fmt.Sprintf("node-%d", i+1)
		s.CallerAddress, s.PeerAddress, s.OperatorAddress = instanceIP(i)+":8080", instanceIP(i)+":7000", instanceIP(i)+":9000"
		s.SeedPeers = seeds
		s.PeerTls.CertificateFile = "../certs/" + s.GetInstance() + ".pem"
		s.PeerTls.KeyFile = "../certs/" + s.GetInstance() + ".key"
		s.FleetSlots = int32(max(size, 42))
		raw, _ := protojson.Marshal(s)
		if err := os.WriteFile(filepath.Join(dir, "entries", s.GetInstance()+".json"), raw, 0o644); err != nil {
			return err
		}
		certs = append(certs, s.GetInstance()+"="+instanceIP(i))
	}
	return os.WriteFile(filepath.Join(dir, "certs.txt"), []byte(strings.Join(certs, "\n")), 0o644)
}

// instanceIP returns the loopback address of the instance with index i.
func instanceIP(i int) string {
	return fmt.Sprintf("127.0.%d.%d", firstCapacitySubnet+i/hostsPerSubnet, 1+i%hostsPerSubnet)
}

// readUsage adds up the CPU time and memory of the entry processes, and reads the
// counters of the standin program and of the loopback interface.
func (d *deployment) readUsage() (resourceUsage, error) {
	u := resourceUsage{at: time.Now()}
	for _, name := range d.instances {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.processes[name].Process.Pid))
		if err != nil {
			return u, err
		}
		fields := strings.Fields(string(raw))
		user, _ := strconv.ParseInt(fields[statUtimeIndex], 10, 64)
		system, _ := strconv.ParseInt(fields[statStimeIndex], 10, 64)
		pages, _ := strconv.ParseInt(fields[statRSSIndex], 10, 64)
		u.cpu += time.Duration(user+system) * clockTick
		u.memoryBytes += pages * pageBytes
	}
	report, err := d.standinReport()
	if err != nil {
		return u, err
	}
	u.storeReads = report.GetStoreReads()
	u.networkBytes, err = loopbackReceivedBytes()
	return u, err
}

// loopbackReceivedBytes returns how many bytes the loopback interface has received.
func loopbackReceivedBytes() (int64, error) {
	file, err := os.Open("/proc/net/dev")
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, counters, ok := strings.Cut(lines.Text(), ":")
		if ok && strings.TrimSpace(name) == "lo" {
			return strconv.ParseInt(strings.Fields(counters)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("the machine has no loopback interface")
}
