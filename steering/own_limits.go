package steering

import (
	"runtime/metrics"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/directory"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/origin"
	"github.com/bulrushferry/bulrushferry/socket"
	"github.com/hashicorp/go-hclog"
	registry "github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

type (
	// ownLimits measures how much of its own limits this instance uses, and says in its
	// membership entry if it is near one. It is not safe for concurrent use.
	ownLimits struct {
		settings  *liveSettings
		members   *fleet.Members
		meter     *socket.Meter
		pool      *origin.Pool
		log       hclog.Logger
		metrics   registry.Registry
		watch     directory.Watch
		startedAt clock.Millis
		last      limitSample
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

	memoryTotal    = "/memory/classes/total:bytes"
	memoryReleased = "/memory/classes/heap/released:bytes"
	memoryLive     = "/gc/heap/live:bytes"
)

func newOwnLimits(l *liveSettings, members *fleet.Members, meter *socket.Meter, pool *origin.Pool, log hclog.Logger, metrics registry.Registry) *ownLimits {
	return &ownLimits{settings: l, members: members, meter: meter, pool: pool, log: log.Named("limits"), metrics: metrics, startedAt: clock.BootTime{}.Now()}
}

// update takes a sample if the last one is old enough, and changes the entry if needed.
func (o *ownLimits) update(now clock.Millis) {
	if o.last.at > 0 && now-o.last.at < limitSampleInterval {
		return
	}
	current := limitSample{at: now, cpuMs: processCPU(), bytes: o.meter.Bytes()}
	usage := o.usage(o.settings.get(), current)
	o.last = current
	near, changed := o.watch.Update(now, usage)
	if !changed {
		return
	}
	o.members.SetNearLimit(string(near))
	registry.GetOrRegisterCounter("limits.changes", o.metrics).Inc(1)
	gauge := registry.GetOrRegisterGauge("limits.near", o.metrics)
	if near == directory.NoLimit {
		gauge.Update(0)
		o.log.Info("this instance has recovered from being near a limit", "usage", usage)
		return
	}
	gauge.Update(1)
	o.log.Warn("this instance is near a limit", "limit", string(near), "usage", usage)
}

// usage returns how much of each known limit is used.
func (o *ownLimits) usage(s Settings, current limitSample) directory.Usage {
	usage := make(directory.Usage)
	if s.MaxFDs > reservedDescriptors {
		usage[directory.Descriptors] = float64(o.meter.Open()+o.pool.Open()) / float64(s.MaxFDs-reservedDescriptors)
	}
	if s.MemoryMB > 0 {
		usage[directory.Memory] = memoryUse(float64(s.MemoryMB) * mebibyte)
	}
	elapsed := float64(current.at - o.last.at)
	if o.last.at == 0 || elapsed <= 0 {
		return usage
	}
	if cores := s.processor(); cores > 0 && current.at-o.startedAt > startupTime {
		usage[directory.Processor] = (current.cpuMs - o.last.cpuMs) / elapsed / cores
	}
	if s.LinkMbitPerS > 0 {
		// What a caller sends goes on to a server, and back: each byte on a caller's
		// connection passes the link once in each direction.
		const bitsPerByte, bitPerMsPerMbit = 8, 1000
		usage[directory.Link] = float64(current.bytes-o.last.bytes) * bitsPerByte / elapsed / bitPerMsPerMbit / float64(s.LinkMbitPerS)
	}
	return usage
}

// processor returns how many cores the instance may use; zero if that is not known.
func (s Settings) processor() float64 {
	if s.CPUShare > 0 && s.Cores > 0 {
		return s.CPUShare * s.Cores
	}
	return max(s.CPUShare, s.Cores)
}

// memoryUse returns the larger of two fractions: of the limit that the process takes up, and
// of the collector's soft limit that is live. The collector lets the former reach the soft
// limit even if little is live.
func memoryUse(limit float64) float64 {
	samples := []metrics.Sample{{Name: memoryTotal}, {Name: memoryReleased}, {Name: memoryLive}}
	metrics.Read(samples)
	var values [3]float64
	for i, sample := range samples {
		if sample.Value.Kind() == metrics.KindUint64 {
			values[i] = float64(sample.Value.Uint64())
		}
	}
	return max((values[0]-values[1])/limit, values[2]*100/memoryLimitPercent/limit)
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
