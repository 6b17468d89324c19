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
	// footprint is what one instance of an idle fleet costs.
	footprint struct {
		Instances     int     `json:"instances"`
		CPUPercent    float64 `json:"cpu_percent_of_a_core"`
		MemoryMB      float64 `json:"memory_mb"`
		NetworkKBPerS float64 `json:"network_kb_per_s"`
		StoreReads    float64 `json:"store_reads_per_s"`
	}

	usage struct {
		at         time.Time
		cpu        time.Duration
		memory     int64
		network    int64
		storeReads int64
	}
)

const (
	capacitySpan     = 15 * time.Second
	clockTick        = 10 * time.Millisecond
	pageBytes        = 4096
	hostsPerNet      = 200
	firstCapacityNet = 200
	statUserField    = 13
	statSystemField  = 14
	statMemoryField  = 23
)

// capacity measures idle fleets of several sizes.
func (o *options) capacity() error {
	for _, size := range o.Capacity {
		f, err := o.measureFleet(size)
		if err != nil {
			return err
		}
		line, _ := json.Marshal(f)
		fmt.Println(string(line))
	}
	return nil
}

func (o *options) measureFleet(size int) (footprint, error) {
	folder, err := os.MkdirTemp("", "bulrushferry-capacity")
	if err != nil {
		return footprint{}, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := o.writeFleet(folder, size); err != nil {
		return footprint{}, err
	}
	d, err := startDeployment(folder, o.Binaries)
	if err != nil {
		return footprint{}, err
	}
	defer d.stop()
	before, err := d.usage()
	if err != nil {
		return footprint{}, err
	}
	time.Sleep(capacitySpan)
	after, err := d.usage()
	if err != nil {
		return footprint{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	each := float64(size)
	return footprint{
		Instances:     size,
		CPUPercent:    100 * (after.cpu - before.cpu).Seconds() / seconds / each,
		MemoryMB:      float64(after.memory) / each / 1e6,
		NetworkKBPerS: float64(after.network-before.network) / seconds / each / 1e3,
		StoreReads:    float64(after.storeReads-before.storeReads) / seconds,
	}, nil
}

// writeFleet writes a deployment of many instances after the example's.
func (o *options) writeFleet(folder string, size int) error {
	d := &deployment{folder: o.Deployment, entries: make(map[string]*wire.EntrySettings)}
	if err := d.load(); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(folder, "entries"), 0o755); err != nil {
		return err
	}
	for _, name := range []string{"rules.txt", "deployment.json"} {
		raw, err := os.ReadFile(filepath.Join(o.Deployment, name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, name), raw, 0o644); err != nil {
			return err
		}
	}
	var certs []string
	seeds := []string{host(0) + ":7000", host(1) + ":7000", host(2) + ":7000"}
	for i := range size {
		s := proto.CloneOf(d.entries[d.names[i%len(d.names)]])
		s.Instance = fmt.Sprintf("node-%d", i+1)
		s.CallerAddress, s.PeerAddress, s.OperatorAddress = host(i)+":8080", host(i)+":7000", host(i)+":9000"
		s.SeedPeers = seeds
		s.PeerTls.CertificateFile = "../certs/" + s.GetInstance() + ".pem"
		s.PeerTls.KeyFile = "../certs/" + s.GetInstance() + ".key"
		s.FleetSlots = int32(max(size, 42))
		raw, _ := protojson.Marshal(s)
		if err := os.WriteFile(filepath.Join(folder, "entries", s.GetInstance()+".json"), raw, 0o644); err != nil {
			return err
		}
		certs = append(certs, s.GetInstance()+"="+host(i))
	}
	return os.WriteFile(filepath.Join(folder, "certs.txt"), []byte(strings.Join(certs, "\n")), 0o644)
}

func host(i int) string {
	return fmt.Sprintf("127.0.%d.%d", firstCapacityNet+i/hostsPerNet, 1+i%hostsPerNet)
}

// usage adds up what the entry processes have used, and reads the loopback
// interface's counter.
func (d *deployment) usage() (usage, error) {
	u := usage{at: time.Now()}
	for _, name := range d.names {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.procs[name].Process.Pid))
		if err != nil {
			return u, err
		}
		fields := strings.Fields(string(raw))
		user, _ := strconv.ParseInt(fields[statUserField], 10, 64)
		system, _ := strconv.ParseInt(fields[statSystemField], 10, 64)
		pages, _ := strconv.ParseInt(fields[statMemoryField], 10, 64)
		u.cpu += time.Duration(user+system) * clockTick
		u.memory += pages * pageBytes
	}
	report, err := d.report()
	if err != nil {
		return u, err
	}
	u.storeReads = report.GetStoreReads()
	u.network, err = loopbackBytes()
	return u, err
}

func loopbackBytes() (int64, error) {
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
