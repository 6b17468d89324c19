package steering

import (
	"math"
	"sync/atomic"

	"github.com/bulrushferry/bulrushferry/admission"
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// observations implements fleet.Observations with what this instance has learned from
// backend servers.
type observations struct {
	clock    clock.Clock
	crashes  *placement.CrashTracker
	balancer *placement.Balancer
	levels   *admission.Controller
	// config returns the configuration in force, or nil if there is none.
	config   func() *routing.Config
	log      hclog.Logger
	registry metrics.Registry
	// rejectedAt is when a rejected level was last logged, in milliseconds.
	rejectedAt atomic.Int64
}

const (
	// rejectedLevelInterval is the least time between two log lines on levels that are
	// rejected.
	rejectedLevelInterval = clock.Second
	percent               = 100
)

// Get implements fleet.Observations.
func (o *observations) Get() *wire.Observations {
	now := o.clock.Now()
	out := &wire.Observations{}
	for _, q := range o.crashes.Quarantined(now) {
		out.Crashing = append(out.Crashing, &wire.CrashingRequest{Fingerprint: uint64(q.Fingerprint), AgeMs: int64(q.Age)})
	}
	for _, d := range o.balancer.Departures(now) {
		out.Departures = append(out.Departures, &wire.ServerDeparture{Server: d.ID, StartUnixMs: d.StartUnixMs, AgeMs: int64(d.Age)})
	}
	for _, l := range o.levels.Levels(now) {
		out.Levels = append(out.Levels, &wire.ServiceLevel{
			Service: l.Service, Priority: int32(l.Level.Priority), SharePercent: int32(math.Round(l.Level.Share * percent)), AgeMs: int64(l.Age),
		})
	}
	return out
}

// Record implements fleet.Observations.
func (o *observations) Record(from string, received *wire.Observations, transit clock.Millis) {
	now := o.clock.Now()
	for _, r := range received.GetCrashing() {
		o.crashes.Quarantine(now, placement.QuarantinedRequest{Fingerprint: placement.Fingerprint(r.GetFingerprint()), Age: age(r.GetAgeMs(), transit)})
	}
	for _, l := range received.GetLevels() {
		o.recordLevel(from, l, transit)
	}
	for _, r := range received.GetDepartures() {
		incarnation := placement.Incarnation{ID: r.GetServer(), StartUnixMs: r.GetStartUnixMs()}
		if o.balancer.MarkLeaving(now, placement.Departure{Incarnation: incarnation, Age: age(r.GetAgeMs(), transit)}) {
			metrics.GetOrRegisterCounter("servers.leaving", o.registry).Inc(1)
			o.log.Info("peer reports that backend server leaves", "server", r.GetServer(), "peer", from, "age_ms", r.GetAgeMs())
		}
	}
}

// recordLevel takes in the admission level of a service that a peer reports. One of a service
// that the configuration does not have may come from a peer with another version.
func (o *observations) recordLevel(from string, received *wire.ServiceLevel, transit clock.Millis) {
	now := o.clock.Now()
	level := admission.ReportedLevel{
		Service: received.GetService(), Age: clock.Millis(received.GetAgeMs()),
		Level: admission.Level{Priority: int(received.GetPriority()), Share: float64(received.GetSharePercent()) / percent},
	}
	config := o.config()
	if config == nil {
		return
	}
	fields := []any{"service", level.Service, "priority", level.Level.Priority, "share", level.Level.Share, "age_ms", int64(level.Age), "peer", from}
	if _, known := config.Services[level.Service]; !known || !level.IsPlausible() {
		metrics.GetOrRegisterCounter("admission.levels_rejected", o.registry).Inc(1)
		if last := o.rejectedAt.Load(); now-clock.Millis(last) >= rejectedLevelInterval && o.rejectedAt.CompareAndSwap(last, int64(now)) {
			o.log.Warn("admission level of a peer is rejected", append(fields, "service_known", known)...)
		}
		return
	}
	level.Age += transit
	if o.levels.Record(now, level) {
		metrics.GetOrRegisterCounter("admission.levels_of_peers", o.registry).Inc(1)
		o.log.Info("peer reports that service is short of capacity", fields...)
	}
}

// age adds the time that a message may have taken to the age that it states.
func age(stated int64, transit clock.Millis) clock.Millis {
	return clock.Millis(max(stated, 0)) + transit
}
