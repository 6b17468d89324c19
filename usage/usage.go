// Package usage measures how much of its own limits this process uses.
package usage

import (
	runtimemetrics "runtime/metrics"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/directory"
	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

type (
	// Monitor measures how much of its own limits this instance uses, and says in its
	// membership entry if it is near one. It is not safe for concurrent use.
	Monitor struct {
		config    Config
		watch     directory.Watch
		startedAt clock.Millis
		last      limitSample
	}

	// Config configures a Monitor.
	Config struct {
		Clock   clock.Clock
		Log     hclog.Logger
		Metrics metrics.Registry
		// Limits returns the limits in force.
		Limits func() Limits
		// SetNearLimit sets the limit that the membership entry names; empty for none.
		SetNearLimit func(limit string)
		// Meter counts callers' connections and what they carry.
		Meter *socket.Meter
		// ServerConnections returns the number of open connections to backend servers.
		ServerConnections func() int
	}

	// Limits are the limits of this process. Zero values are unknown.
	Limits struct {
		MemoryMB int
		MaxFDs   int
		// Cores is the processor time in cores, such as 0.8.
		Cores        float64
		LinkMbitPerS int
	}

	// limitSample holds the counters at a time.
	limitSample struct {
		at clock.Millis
		// cpuMs is the processor time of the process, bytes what callers' connections
		// have carried.
		cpuMs float64
		bytes int64
	}
)

const (
	// limitSampleInterval is the time between two samples.
	limitSampleInterval = clock.Second
	// startupTime is how long the use of the processor is ignored after the start, when
	// each instance connects to its peers.
	startupTime = 5 * clock.Second
	// reservedDescriptors are kept for files and peers.
	reservedDescriptors = 200
	bytesPerMB          = 1 << 20

	memoryTotal    = "/memory/classes/total:bytes"
	memoryReleased = "/memory/classes/heap/released:bytes"
	memoryLive     = "/gc/heap/live:bytes"
)

// NewMonitor returns a Monitor of a process that starts now.
func NewMonitor(config Config) *Monitor {
	return &Monitor{config: config, startedAt: config.Clock.Now()}
}

// Update takes a sample if the last one is old enough, and changes the entry if needed.
func (m *Monitor) Update() {
	now := m.config.Clock.Now()
	if m.last.at > 0 && now-m.last.at < limitSampleInterval {
		return
	}
	current := limitSample{at: now, cpuMs: processCPU(), bytes: m.config.Meter.Bytes()}
	usage := m.usage(m.config.Limits(), current)
	m.last = current
	near, changed := m.watch.Update(now, usage)
	if !changed {
		return
	}
	m.config.SetNearLimit(string(near))
	metrics.GetOrRegisterCounter("limits.changes", m.config.Metrics).Inc(1)
	gauge := metrics.GetOrRegisterGauge("limits.near", m.config.Metrics)
	if near == directory.NoLimit {
		gauge.Update(0)
		m.config.Log.Info("this instance has recovered from being near a limit", "usage", usage)
		return
	}
	gauge.Update(1)
	m.config.Log.Warn("this instance is near a limit", "limit", string(near), "usage", usage)
}

// usage returns how much of each known limit is used.
func (m *Monitor) usage(l Limits, current limitSample) directory.Usage {
	usage := make(directory.Usage)
	if l.MaxFDs > reservedDescriptors {
		usage[directory.Descriptors] = float64(m.config.Meter.Open()+m.config.ServerConnections()) / float64(l.MaxFDs-reservedDescriptors)
	}
	if l.MemoryMB > 0 {
		usage[directory.Memory] = memoryUse(float64(l.MemoryMB) * bytesPerMB)
	}
	elapsed := float64(current.at - m.last.at)
	if m.last.at == 0 || elapsed <= 0 {
		return usage
	}
	if l.Cores > 0 && current.at-m.startedAt > startupTime {
		usage[directory.Processor] = (current.cpuMs - m.last.cpuMs) / elapsed / l.Cores
	}
	if l.LinkMbitPerS > 0 {
		// What a caller sends goes on to a server, and back: each byte on a caller's
		// connection passes the link once in each direction.
		const bitsPerByte, bitPerMsPerMbit = 8, 1000
		usage[directory.Link] = float64(current.bytes-m.last.bytes) * bitsPerByte / elapsed / bitPerMsPerMbit / float64(l.LinkMbitPerS)
	}
	return usage
}

// memoryUse returns the larger of two fractions: of the limit that the process takes up, and
// of the collector's soft limit that is live. The collector lets the former reach the soft
// limit even if little is live.
func memoryUse(limit float64) float64 {
	samples := []runtimemetrics.Sample{{Name: memoryTotal}, {Name: memoryReleased}, {Name: memoryLive}}
	runtimemetrics.Read(samples)
	var values [3]float64
	for i, sample := range samples {
		if sample.Value.Kind() == runtimemetrics.KindUint64 {
			values[i] = float64(sample.Value.Uint64())
		}
	}
	return max((values[0]-values[1])/limit, values[2]*100/memory.CollectorPercent/limit)
}

// processCPU returns the processor time that this process has used, in milliseconds.
func processCPU() float64 {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	const nanosPerMs = 1e6
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / nanosPerMs
}
